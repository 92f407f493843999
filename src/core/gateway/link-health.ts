/**
 * Whether the link to a peer is to be made anew.
 *
 * Load pattern: daemons that tell each other what they know several times a second, over connections
 * that may fall silent for good without an error while new ones work. Bytes that are written to such a
 * link wait in buffers for minutes, and the peer, which is heard no more, counts as gone: its requests are
 * not counted, and a leader that is not heard is not followed. A peer that answered before and is silent
 * for half of the time in which daemons are to be in order again is therefore spoken to over a new link.
 */

import { later } from '../ids';
import type { MonoTime } from '../ids';

/** Part of the settling time after which a peer counts as silent; the rest is for the new link. */
const SILENT_SHARE = 0.5;

/** What this daemon tells one peer, again and again. */
export interface LinkActivity {
  /** No answer before this instant is missed: the peer was not told anything, or over another link. */
  readonly since: MonoTime;
  readonly lastSentAt: MonoTime;
}

/** Enters that the peer is told something now. After a pause a conversation begins anew. */
export function noteLinkSend(
  before: LinkActivity | undefined,
  now: MonoTime,
  settleMs: number,
): LinkActivity {
  const isRunning = before && now < later(before.lastSentAt, settleMs * SILENT_SHARE);
  return { since: isRunning ? before.since : now, lastSentAt: now };
}

/** `heardAt`: when the peer was last heard of over any link; one that never was is not known to answer. */
export function isLinkUnresponsive(
  { since }: LinkActivity,
  heardAt: MonoTime | undefined,
  now: MonoTime,
  settleMs: number,
): boolean {
  if (heardAt === undefined) return false;
  const latest = heardAt > since ? heardAt : since;
  return now >= later(latest, settleMs * SILENT_SHARE);
}

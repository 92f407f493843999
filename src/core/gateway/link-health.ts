/**
 * Decides whether the link to a peer must be replaced.
 *
 * Load pattern: daemons send each other their state several times a second, over connections that may stop
 * delivering without an error while new ones work. Bytes written to such a link wait in buffers for minutes,
 * and the peer, whose messages no longer arrive, counts as removed: its requests aren't counted, and a leader
 * whose messages don't arrive isn't followed. A peer that has sent messages before and is silent for half of
 * the settling time, in which daemons must have recovered, is therefore contacted over a new link.
 */

import { later } from '../ids';
import type { MonoTime } from '../ids';

/** Part of the settling time after which a peer counts as unresponsive; the rest is for the new link. */
const UNRESPONSIVE_SHARE = 0.5;

/** This daemon's periodic sends to one peer. */
export interface LinkActivity {
  /** No response is expected before this instant: nothing was sent to the peer, or over another link. */
  readonly since: MonoTime;
  readonly lastSentAt: MonoTime;
}

/** Records a send to the peer. After a pause in sending, the activity starts again. */
export function noteLinkSend(
  before: LinkActivity | undefined,
  now: MonoTime,
  settleMs: number,
): LinkActivity {
  const isOngoing = before && now < later(before.lastSentAt, settleMs * UNRESPONSIVE_SHARE);
  return { since: isOngoing ? before.since : now, lastSentAt: now };
}

/**
 * Whether the peer has been silent for too long.
 *
 * @param receivedAt When the last message of the peer was received, over any link. If never, it isn't known to
 * respond at all and doesn't count as unresponsive.
 */
export function isLinkUnresponsive(
  { since }: LinkActivity,
  receivedAt: MonoTime | undefined,
  now: MonoTime,
  settleMs: number,
): boolean {
  if (receivedAt === undefined) return false;
  const latest = receivedAt > since ? receivedAt : since;
  return now >= later(latest, settleMs * UNRESPONSIVE_SHARE);
}

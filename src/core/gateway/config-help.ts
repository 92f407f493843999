/**
 * Decides when a daemon sends the configuration to a peer that lacks it.
 *
 * Load pattern: an operator writes several versions of some hundred kilobytes a second. The store sends each to
 * every daemon, which takes a slow link most of a second, so the reports of nearly all daemons show an older
 * version all the time. Peers that sent it as well would fill their own links and those of the daemons behind, a
 * leader's first: its reports are then late, more daemons seem to be behind, and sound servers seem silent.
 *
 * A peer is therefore helped only once its version has not changed for longer than the store needs to bring it a
 * new one; by one helper at first and by others later, as helpers do not know which of them have the version and
 * reach the peer; not again while the last message is on its way; and within a budget of bytes.
 */

import { later } from '../ids';
import type { MonoTime } from '../ids';
import { pollDelayMs } from './polling';

/** The store informs all daemons of a version within milliseconds. */
const HELP_DELAY_MS = 250;
/** Minimum time between two messages of one helper to the same peer, beyond the transfer of the first. */
const HELP_INTERVAL_MS = 500;
/**
 * Time from a helper's message until its effect is reported to the others, beyond the transfer: two reports of
 * 200 ms through a relay.
 */
const STEP_MS = 400;
/**
 * A peer without a report for this long is observed anew. Helpers would otherwise find it overdue all at once
 * when it is heard from again.
 */
const REPORT_GAP_MS = 1_500;
/** Rate at which a version reaches a daemon whose link of 10 Mbit/s is busy with requests. */
const TRANSFER_BYTES_PER_MS = 350;
/** Size of a version in an answer of the store, which is JSON in base64, relative to a message of a peer. */
const STORE_BYTES_RATIO = 1.2;
/** Part of the time in which a version must be in force after which the store is not waited for. */
const MAX_WAIT_SHARE = 0.4;
/** What one daemon may spend on help: a quarter of a link of 10 Mbit/s. */
const BUDGET_BYTES_PER_MS = 300;
/** Budget of a daemon that has not helped for a while; one message may exceed what is left. */
const MAX_BUDGET_BYTES = 300_000;

/** A peer that lacks a version that this daemon has. */
export interface LaggingPeer {
  readonly version: number;
  /** Since when it has reported that version while this daemon had a newer one. */
  readonly since: MonoTime;
  /** When it last reported. */
  readonly seenAt: MonoTime;
}

/** What is known about the peer and the version. */
export interface HelpParams {
  /** When the store last answered the peer about the configuration. */
  readonly answeredAt: MonoTime;
  readonly isStoreLost: boolean;
  /** Bytes of the message that helps. */
  readonly bytes: number;
  /** Time in which a version must be in force everywhere, milliseconds. */
  readonly configMs: number;
  /** Helpers that come before this daemon. */
  readonly rank: number;
}

/** Notes a peer's report; undefined if it lacks nothing. */
export function noteLag(
  before: LaggingPeer | undefined,
  version: number,
  newest: number,
  now: MonoTime,
): LaggingPeer | undefined {
  if (version >= newest) return undefined;
  const isSame = before?.version === version && now < later(before.seenAt, REPORT_GAP_MS);
  return { version, since: isSame ? before.since : now, seenAt: now };
}

/** Whether a report of the peer may call for help at all; spares encoding the message. */
export function mayNeedHelp({ version, since }: LaggingPeer, now: MonoTime): boolean {
  return version === 0 || now >= later(since, HELP_DELAY_MS);
}

/** When a helper may send the peer another message after one of this size. */
export function nextHelpAt(bytes: number, now: MonoTime): MonoTime {
  return later(now, HELP_INTERVAL_MS + transferMs(bytes));
}

/** How long a version of this size takes to reach a daemon over a slow link, milliseconds. */
function transferMs(bytes: number): number {
  return bytes / TRANSFER_BYTES_PER_MS;
}

/**
 * Until when the store is waited for. It answers a peer that has a poll open at once, and one that it answered a
 * moment ago once its pause is over. A peer that it does not answer is waited for as long as daemons normally
 * take to learn of a version; one without any version serves nobody and is not waited for.
 */
function waitUntil({ version, since }: LaggingPeer, params: HelpParams): MonoTime {
  const { answeredAt, isStoreLost, bytes, configMs } = params;
  if (version === 0) return since;
  if (isStoreLost) return later(since, HELP_DELAY_MS);
  const polledAt = later(answeredAt, pollDelayMs(configMs, bytes * STORE_BYTES_RATIO));
  const askedAt = polledAt > since ? polledAt : since;
  const arrivedBy = later(askedAt, HELP_DELAY_MS + transferMs(bytes));
  const longest = later(since, configMs * MAX_WAIT_SHARE);
  return arrivedBy < longest ? arrivedBy : longest;
}

/**
 * When this daemon helps the peer if it still lags then. The number of helpers grows with the square of the time:
 * of a hundred, the only one that has the version helps within eleven steps, and a peer whose link is full gets a
 * few copies meanwhile.
 */
export function helpDueAt(peer: LaggingPeer, params: HelpParams): MonoTime {
  const stepMs = STEP_MS + transferMs(params.bytes);
  return later(waitUntil(peer, params), stepMs * Math.sqrt(params.rank));
}

/** Bytes that may be spent, which may be negative, as of an instant. */
export interface HelpBudget {
  readonly bytes: number;
  readonly at: MonoTime;
}

export function createHelpBudget(now: MonoTime): HelpBudget {
  return { bytes: MAX_BUDGET_BYTES, at: now };
}

/** Spends bytes; undefined if earlier help has used up the budget. */
export function spendHelp(
  { bytes: before, at }: HelpBudget,
  bytes: number,
  now: MonoTime,
): HelpBudget | undefined {
  const available = Math.min(MAX_BUDGET_BYTES, before + (now - at) * BUDGET_BYTES_PER_MS);
  return available > 0 ? { bytes: available - bytes, at: now } : undefined;
}

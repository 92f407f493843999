/**
 * One daemon's share of a limit that a backend server set for all daemons together.
 *
 * A request is whole: divided evenly, a limit of a few requests a second gives each of hundreds of daemons a turn
 * in minutes, and one turn at hand for each of them is a hundredfold of it. So a few daemons send for all, about as
 * many as the limit has requests in a second. All work out the same ones from the same names, by rendezvous hashing,
 * without a word; where their views differ by a daemon or two, so do the senders. Other servers have other senders.
 */

import type { DaemonId, InstanceId, MonoTime } from '../../ids';
import { rankByRendezvous, rankOf } from '../../membership/rendezvous';

export interface RateShare {
  /** Turns a second; 0 for a daemon that does not send to the server. */
  readonly perSecond: number;
  /** Turns that may be saved up. */
  readonly burst: number;
}

/** A server that takes less is still asked this often, requests a second: its answer tells when it takes more. */
const LEAST_PER_S = 0.2;
/**
 * A turn comes due while the last one still waits for a request. Half of one is saved, so that a sender uses its
 * share although requests come at random.
 */
const LEAST_SAVED = 1.5;
/** Turns of so long may be saved by a sender with many a second. */
const SAVED_S = 0.25;

const MS_PER_S = 1_000;
const NO_SHARE: RateShare = { perSecond: 0, burst: 0 };

export function countSenders(limitPerS: number, daemons: number): number {
  return Math.max(1, Math.min(daemons, Math.ceil(limitPerS)));
}

/** The daemons that send to the server for all. */
export function sendersOf(
  server: InstanceId,
  limitPerS: number,
  daemons: readonly DaemonId[],
): readonly DaemonId[] {
  return rankByRendezvous<string>(server, daemons).slice(
    0,
    countSenders(limitPerS, daemons.length),
  ) as DaemonId[];
}

export interface ShareParams {
  readonly server: InstanceId;
  readonly limitPerS: number;
  readonly self: DaemonId;
  /** All that share the limit, this one included. */
  readonly daemons: readonly DaemonId[];
}

export function shareOf({ server, limitPerS, self, daemons }: ShareParams): RateShare {
  const senders = countSenders(limitPerS, daemons.length);
  if (rankOf(server, self, daemons) >= senders) return NO_SHARE;
  const perSecond = Math.max(limitPerS, LEAST_PER_S) / senders;
  return { perSecond, burst: Math.max(LEAST_SAVED, perSecond * SAVED_S) };
}

/** Turns that a daemon has saved. Where its share begins anew there are none: others may have had them. */
export interface ShareBucket {
  readonly tokens: number;
  readonly at: MonoTime;
}

export function refill(
  { tokens: saved, at }: ShareBucket,
  { perSecond, burst: mostSaved }: RateShare,
  now: MonoTime,
): ShareBucket {
  const gained = (Math.max(0, now - at) / MS_PER_S) * perSecond;
  return { tokens: Math.min(mostSaved, saved + gained), at: now };
}

/** Time until a whole turn is there, milliseconds; infinite without a share. */
export function msUntilToken({ tokens: saved }: ShareBucket, { perSecond }: RateShare): number {
  if (saved >= 1) return 0;
  return perSecond === 0 ? Infinity : ((1 - saved) / perSecond) * MS_PER_S;
}

/** Time in which the server takes one more request from any daemon, milliseconds. */
export function requestIntervalMs(limitPerS: number): number {
  return MS_PER_S / Math.max(limitPerS, LEAST_PER_S);
}

/**
 * Daemons that are entered and give no sign. Nothing is said where the entered ones that are heard are not the
 * most: then it is this daemon that may be cut off, and the others that go on without it.
 */
export function listUnresponsive(
  entered: readonly DaemonId[],
  heard: ReadonlySet<DaemonId>,
): readonly DaemonId[] {
  const silent = entered.filter((id) => !heard.has(id));
  return 2 * silent.length < entered.length ? silent : [];
}

/**
 * Computes one daemon's share of a rate limit that a backend server set for all daemons together.
 *
 * Requests are indivisible: divided evenly among hundreds of daemons, a limit of a few requests per second
 * would give each a token only every few minutes, and one saved token in each would be a hundred times the
 * limit. So only a few daemons send to the server, about as many as the limit in requests per second. All
 * daemons derive the same senders from the same ids by rendezvous hashing, without communication; if their
 * views differ by a daemon or two, so do the senders. Different servers have different senders.
 */

import type { DaemonId, InstanceId, MonoTime } from '../../ids';
import { rankByRendezvous, rankOf } from '../../membership/rendezvous';

/** One daemon's share of a rate limit, as the parameters of a token bucket. */
export interface RateShare {
  /** Refill rate, tokens per second; 0 for a daemon that doesn't send to the server. */
  readonly perSecond: number;
  /** Capacity of the bucket, tokens. */
  readonly burst: number;
}

/** Requests per second sent even to a server with a lower limit: its response tells when the limit rises. */
const MIN_PROBE_RATE_PER_S = 0.2;
/**
 * Minimum burst, tokens. The next token may be due while one still waits for a request; half a token more
 * is kept, so that a sender uses its share although requests arrive at random.
 */
const MIN_BURST = 1.5;
/** Burst of a sender with many tokens per second, as a time. */
const BURST_WINDOW_S = 0.25;

const MS_PER_S = 1_000;
const NO_SHARE: RateShare = { perSecond: 0, burst: 0 };

/** Number of daemons that send to a server with this limit. */
export function countSenders(limitPerS: number, daemons: number): number {
  return Math.max(1, Math.min(daemons, Math.ceil(limitPerS)));
}

/** The daemons that send to the server. */
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

/** Input of a daemon's share. */
export interface ShareParams {
  readonly server: InstanceId;
  readonly limitPerS: number;
  readonly self: DaemonId;
  /** All daemons that share the limit, this one included. */
  readonly daemons: readonly DaemonId[];
}

/** This daemon's share of the server's limit. */
export function shareOf({ server, limitPerS, self, daemons }: ShareParams): RateShare {
  const senders = countSenders(limitPerS, daemons.length);
  if (rankOf(server, self, daemons) >= senders) return NO_SHARE;
  const perSecond = Math.max(limitPerS, MIN_PROBE_RATE_PER_S) / senders;
  return { perSecond, burst: Math.max(MIN_BURST, perSecond * BURST_WINDOW_S) };
}

/** A daemon's token bucket for a server. A new share starts empty, as other daemons may have used its tokens. */
export interface ShareBucket {
  readonly tokens: number;
  /** When it was last refilled. */
  readonly at: MonoTime;
}

/** The bucket with the tokens added since the last refill. */
export function refill(
  { tokens, at }: ShareBucket,
  { perSecond, burst }: RateShare,
  now: MonoTime,
): ShareBucket {
  const gained = (Math.max(0, now - at) / MS_PER_S) * perSecond;
  return { tokens: Math.min(burst, tokens + gained), at: now };
}

/** Time until a complete token is available, milliseconds; infinite without a share. */
export function msUntilToken({ tokens }: ShareBucket, { perSecond }: RateShare): number {
  if (tokens >= 1) return 0;
  return perSecond === 0 ? Infinity : ((1 - tokens) / perSecond) * MS_PER_S;
}

/** Interval at which the server accepts requests from all daemons together, milliseconds. */
export function requestIntervalMs(limitPerS: number): number {
  return MS_PER_S / Math.max(limitPerS, MIN_PROBE_RATE_PER_S);
}

/**
 * Registered daemons from which nothing was received. Empty unless a majority of the registered daemons is
 * responsive: otherwise it may be this daemon that is partitioned, while the others continue without it.
 */
export function listUnresponsive(
  registered: readonly DaemonId[],
  responsive: ReadonlySet<DaemonId>,
): readonly DaemonId[] {
  const silent = registered.filter((id) => !responsive.has(id));
  return 2 * silent.length < registered.length ? silent : [];
}

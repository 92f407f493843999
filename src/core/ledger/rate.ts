/** Limits this daemon to its share of the table's commit rate, with a token bucket. */

import type { MonoTime } from '../ids';

/** Rate and capacity of the token bucket; one token is one commit. */
export interface CommitRate {
  /** Commits per second. */
  readonly perSecond: number;
  /** Maximum tokens. */
  readonly burst: number;
}

/** State of the token bucket. */
export interface CommitBucket {
  readonly tokens: number;
  /** When it was last refilled. */
  readonly at: MonoTime;
}

/** This daemon's share of the commits that claims may use, with `daemons` daemons alive. */
export function commitRateOf(
  commitsPerSecond: number,
  claimShare: number,
  daemons: number,
): CommitRate {
  const perSecond = (commitsPerSecond * claimShare) / Math.max(1, daemons);
  return { perSecond, burst: Math.max(1, perSecond / 4) };
}

function refill(bucket: CommitBucket, share: CommitRate, now: MonoTime): CommitBucket {
  const added = ((now - bucket.at) / 1_000) * share.perSecond;
  return { tokens: Math.min(share.burst, bucket.tokens + added), at: now };
}

/** Takes one token; if there is none, `waitMs` is the time until there is one, milliseconds. */
export function takeCommit(
  bucket: CommitBucket,
  share: CommitRate,
  now: MonoTime,
): { readonly bucket: CommitBucket; readonly waitMs: number } {
  const filled = refill(bucket, share, now);
  if (filled.tokens >= 1) return { bucket: { ...filled, tokens: filled.tokens - 1 }, waitMs: 0 };
  return { bucket: filled, waitMs: ((1 - filled.tokens) / share.perSecond) * 1_000 };
}

/**
 * How long a write waits for its commit behind `queued` others, `batch` per commit, milliseconds.
 */
export function expectedWaitMs(
  bucket: CommitBucket,
  share: CommitRate,
  queued: number,
  batch: number,
  now: MonoTime,
): number {
  const commits = Math.floor(queued / batch) + 1;
  const missing = Math.max(0, commits - refill(bucket, share, now).tokens);
  return (missing / share.perSecond) * 1_000;
}

/** A share of a common limit on commits, as a token bucket. */

import type { MonoTime } from '../ids';

export interface CommitRate {
  /** Commits a second. */
  readonly perSecond: number;
  /** Commits saved up at most. */
  readonly burst: number;
}

export interface CommitBucket {
  readonly tokens: number;
  readonly at: MonoTime;
}

/** This daemon's share of the table's commits, given how many daemons there are. */
export function commitRateOf(
  commitsPerSecond: number,
  claimShare: number,
  daemons: number,
): CommitRate {
  const perSecond = (commitsPerSecond * claimShare) / Math.max(1, daemons);
  return { perSecond, burst: Math.max(1, perSecond / 4) };
}

function refill(bucket: CommitBucket, share: CommitRate, now: MonoTime): CommitBucket {
  const gained = ((now - bucket.at) / 1_000) * share.perSecond;
  return { tokens: Math.min(share.burst, bucket.tokens + gained), at: now };
}

/** Takes one commit if there is one; else says how long until there is, milliseconds. */
export function takeCommit(
  bucket: CommitBucket,
  share: CommitRate,
  now: MonoTime,
): { readonly bucket: CommitBucket; readonly waitMs: number } {
  const filled = refill(bucket, share, now);
  if (filled.tokens >= 1) return { bucket: { ...filled, tokens: filled.tokens - 1 }, waitMs: 0 };
  return { bucket: filled, waitMs: ((1 - filled.tokens) / share.perSecond) * 1_000 };
}

/** How long a write that joins `queued` others waits for its commit, milliseconds. */
export function expectedWaitMs(
  bucket: CommitBucket,
  share: CommitRate,
  queued: number,
  batch: number,
  now: MonoTime,
): number {
  const commits = Math.floor(queued / batch) + 1;
  const lacking = Math.max(0, commits - refill(bucket, share, now).tokens);
  return (lacking / share.perSecond) * 1_000;
}

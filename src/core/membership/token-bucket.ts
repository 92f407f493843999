/** A token bucket that limits the bytes sent; messages that cannot wait may overdraw it. */

import type { MonoTime } from '../ids';

/** Tokens, one per byte, at the instant of the last refill; negative if overdrawn. */
export interface TokenBucket {
  readonly tokens: number;
  readonly at: MonoTime;
}

/** Refill rate and capacity of a bucket. */
export interface BucketLimits {
  readonly bytesPerSecond: number;
  readonly burstBytes: number;
}

/** A bucket at its capacity. */
export function fullBucket(limits: BucketLimits, now: MonoTime): TokenBucket {
  return { tokens: limits.burstBytes, at: now };
}

/** The bucket refilled up to `now`. */
export function refill(bucket: TokenBucket, limits: BucketLimits, now: MonoTime): TokenBucket {
  const refilled = (Math.max(0, now - bucket.at) / 1000) * limits.bytesPerSecond;
  return { tokens: Math.min(limits.burstBytes, bucket.tokens + refilled), at: now };
}

/** The bucket after `bytes` were sent. */
export function spend(bucket: TokenBucket, bytes: number): TokenBucket {
  return { ...bucket, tokens: bucket.tokens - bytes };
}

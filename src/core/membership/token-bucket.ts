/** A token bucket that bounds the bytes sent; it may be overdrawn by what cannot wait. */

import type { MonoTime } from '../ids';

export interface TokenBucket {
  readonly tokens: number;
  readonly at: MonoTime;
}

export interface BucketLimits {
  readonly bytesPerSecond: number;
  readonly burstBytes: number;
}

export function fullBucket(limits: BucketLimits, now: MonoTime): TokenBucket {
  return { tokens: limits.burstBytes, at: now };
}

/** The bucket as it is at `now`. */
export function refill(bucket: TokenBucket, limits: BucketLimits, now: MonoTime): TokenBucket {
  const gained = (Math.max(0, now - bucket.at) / 1000) * limits.bytesPerSecond;
  return { tokens: Math.min(limits.burstBytes, bucket.tokens + gained), at: now };
}

export function spend(bucket: TokenBucket, bytes: number): TokenBucket {
  return { ...bucket, tokens: bucket.tokens - bytes };
}

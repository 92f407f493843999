/** A token bucket that holds one second's worth. */

export interface RateLimit {
  /** Takes one; false when the rate is used up. */
  take(): boolean;
}

export function createRateLimit(perSecond: number): RateLimit {
  let tokens = perSecond;
  let lastAt = performance.now();
  return {
    take: () => {
      const now = performance.now();
      tokens = Math.min(perSecond, tokens + ((now - lastAt) * perSecond) / 1000);
      lastAt = now;
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}

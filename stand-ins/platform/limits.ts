/** Token bucket rate limit with a capacity of one second's tokens. */

export interface RateLimit {
  /** Takes one token; false when none is available. */
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

import { describe, expect, it } from 'vitest';

import { noteFirstEvent, slackMs } from '../../src/core/gateway/first-event';
import type { FirstEventStats } from '../../src/core/gateway/first-event';

function statsOf(...samples: readonly number[]): FirstEventStats | undefined {
  return samples.reduce<FirstEventStats | undefined>(noteFirstEvent, undefined);
}

describe('the slack of a request', () => {
  it('is the complete objective without samples', () => {
    expect(slackMs(undefined, 300)).toBe(300);
  });

  it('is the objective less the mean time to the first event and its deviation', () => {
    const steady = statsOf(...Array.from({ length: 200 }, () => 100));
    expect(slackMs(steady, 300)).toBeCloseTo(200, 0);
    const uneven = statsOf(...Array.from({ length: 200 }, (_, n) => (n % 2 === 0 ? 60 : 140)));
    expect(slackMs(uneven, 300)).toBeLessThan(175);
  });

  it('is half of the objective if groups take longer than all of it', () => {
    expect(slackMs(statsOf(900, 900, 900), 300)).toBe(150);
  });

  it('grows soon after groups have become fast again', () => {
    const slow = Array.from({ length: 50 }, () => 600);
    const fast = Array.from({ length: 60 }, () => 80);
    expect(slackMs(statsOf(...slow, ...fast), 400)).toBeGreaterThan(200);
  });
});

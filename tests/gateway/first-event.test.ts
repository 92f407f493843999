import { describe, expect, it } from 'vitest';

import { noteFirstEvent, slackMs } from '../../src/core/gateway/first-event';
import type { FirstEventStats } from '../../src/core/gateway/first-event';

function seen(...samples: readonly number[]): FirstEventStats | undefined {
  return samples.reduce<FirstEventStats | undefined>(noteFirstEvent, undefined);
}

describe('the time that a request may wait and still be on time', () => {
  it('is the whole objective while nothing is known', () => {
    expect(slackMs(undefined, 300)).toBe(300);
  });

  it('is what groups leave of it, with their deviation taken off', () => {
    const steady = seen(...Array.from({ length: 200 }, () => 100));
    expect(slackMs(steady, 300)).toBeCloseTo(200, 0);
    const uneven = seen(...Array.from({ length: 200 }, (_, n) => (n % 2 === 0 ? 60 : 140)));
    expect(slackMs(uneven, 300)).toBeLessThan(175);
  });

  it('is half of the objective where groups take longer than all of it', () => {
    expect(slackMs(seen(900, 900, 900), 300)).toBe(150);
  });

  it('grows again soon after groups are quick again', () => {
    const slow = Array.from({ length: 50 }, () => 600);
    const quick = Array.from({ length: 60 }, () => 80);
    expect(slackMs(seen(...slow, ...quick), 400)).toBeGreaterThan(200);
  });
});

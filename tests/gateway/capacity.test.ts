import { describe, expect, it } from 'vitest';

import { createRandom } from '../../src/adapters/runtime';
import {
  slotAccessFor,
  departuresIn,
  expectLoad,
  grantSlots,
  lateQuota,
  maxQueued,
  onTimeShare,
  reuseProbability,
  freeCapacityOf,
} from '../../src/core/gateway/capacity';
import { instance } from './support';

const BUSY = {
  ...{
    running: 12,
    batchSize: 18,
    queued: 2,
    departing: 0,
    pendingPrefill: 0,
    maxPendingPrefill: 8_000,
  },
  ...{ meanPromptTokens: 1_000, prefillsUntilUpdate: 4 },
};

describe('the free capacity of a group', () => {
  it('is its free slots and a short queue that reuses each slot as soon as it is released', () => {
    expect(freeCapacityOf(BUSY)).toBe(8);
    expect(freeCapacityOf({ ...BUSY, queued: 0 })).toBe(6);
  });

  it('includes a queue that requests pass within half of their slack', () => {
    expect(maxQueued(18, { slackMs: 200, holdMs: 1_800 })).toBe(1);
    expect(maxQueued(34, { slackMs: 200, holdMs: 400 })).toBe(9);
    expect(maxQueued(34, { slackMs: 500, holdMs: 100 })).toBe(17);
    expect(maxQueued(18, { slackMs: 0, holdMs: 0 })).toBe(0);
  });

  it('is limited by prefill while prompts are pending', () => {
    expect(freeCapacityOf({ ...BUSY, pendingPrefill: 7_000, prefillsUntilUpdate: 1 })).toBe(2);
    expect(freeCapacityOf({ ...BUSY, pendingPrefill: 9_000, prefillsUntilUpdate: 0 })).toBe(0);
  });

  it('is 0 in an overfull group', () => {
    expect(freeCapacityOf({ ...BUSY, running: 40 })).toBe(0);
  });

  it('includes the departures expected before the next load update', () => {
    expect(freeCapacityOf({ ...BUSY, running: 18, departing: 5 })).toBe(7);
    expect(departuresIn({ running: 18, batchSize: 18 }, 400, 1_200)).toBe(6);
    expect(departuresIn({ running: 30, batchSize: 18 }, 400, 1_200)).toBe(6);
    expect(departuresIn({ running: 18, batchSize: 18 }, 400, 100)).toBe(18);
  });
});

describe('the expected load', () => {
  it('is on time as far as it arrived within the slack, and otherwise late', () => {
    const ages = { agedMs: 500, slackMs: 200 };
    expect(expectLoad({ waiting: 30, perSecond: 50 }, ages)).toEqual({ onTime: 35, late: 20 });
    expect(expectLoad({ waiting: 4, perSecond: 50 }, ages)).toEqual({ onTime: 29, late: 0 });
  });
});

describe('the slots that a request may use', () => {
  const contention = {
    freeCapacity: 20,
    local: { onTime: 2, late: 1 },
    remote: { onTime: 10, late: 5 },
  };
  const scarce = { ...contention, remote: { onTime: 30, late: 5 } };
  const backlog = { ...contention, remote: { onTime: 10, late: 50 } };

  it('are all while there are enough for all requests', () => {
    expect(slotAccessFor(contention, false)).toBe('all');
    expect(slotAccessFor(contention, true)).toBe('all');
  });

  it('are those granted to its daemon if not all requests can be on time', () => {
    expect(slotAccessFor(scarce, false)).toBe('granted');
  });

  it('are what others leave over if it is late', () => {
    expect(slotAccessFor(scarce, true)).toBe('surplus');
    expect(lateQuota(scarce, 0.99)).toBe(0);
    expect(slotAccessFor(backlog, true)).toBe('surplus');
    expect(slotAccessFor(backlog, false)).toBe('all');
  });

  it('are a share of the surplus by need, which adds up to the surplus over all daemons', () => {
    const random = createRandom(3);
    const [daemons, rounds] = [70, 200];
    const contention = {
      freeCapacity: 40,
      local: { onTime: 0.4, late: 3 },
      remote: { onTime: 0.4 * (daemons - 1), late: 3 * (daemons - 1) },
    };
    let sent = 0;
    for (let n = 0; n < daemons * rounds; n++) sent += lateQuota(contention, random.next());
    expect(sent / rounds).toBeGreaterThan(0.95 * 12);
    expect(sent / rounds).toBeLessThan(1.05 * 12);
  });
});

describe('the slots granted to daemons', () => {
  const groups = [3, 0, 7, 2].map((slots, n) => ({ head: instance(`${n}`), slots }));

  it('add up to the free slots of each group, however many daemons there are', () => {
    const random = createRandom(5);
    const [daemons, rounds] = [70, 400];
    const share = onTimeShare({
      freeCapacity: 12,
      local: { onTime: 2, late: 9 },
      remote: { onTime: 2 * (daemons - 1), late: 0 },
    });
    const granted = new Map<string, number>();
    for (let n = 0; n < daemons * rounds; n++) {
      for (const [head, slots] of grantSlots(groups, share, random.next())) {
        granted.set(head, (granted.get(head) ?? 0) + slots);
      }
    }
    for (const { head, slots } of groups) {
      const mean = (granted.get(head) ?? 0) / rounds;
      expect(mean).toBeGreaterThanOrEqual(0.95 * slots);
      expect(mean).toBeLessThanOrEqual(1.05 * slots);
    }
  });

  it('are all of them without load from others', () => {
    expect(grantSlots(groups, 1, 0)).toEqual([
      ['0', 3],
      ['2', 7],
      ['3', 2],
    ]);
  });
});

describe('a slot released by a stream', () => {
  const full = { batchSize: 18, queued: 2, departing: 6 };

  it('is reused in a group that is not overfull', () => {
    expect(reuseProbability({ ...full, running: 20 })).toBe(1);
  });

  it('is reused less often the more overfull the group is', () => {
    expect(reuseProbability({ ...full, running: 20 + 3 })).toBe(0.5);
    expect(reuseProbability({ ...full, running: 20 + 9 })).toBe(0);
    expect(reuseProbability({ ...full, departing: 0, running: 20 + 1 })).toBe(0);
  });
});

import { describe, expect, it } from 'vitest';

import { createRandom } from '../../src/adapters/runtime';
import { createPeerLoads } from '../../src/app/gateway/peer-loads';
import { hasSlotWithoutLoads } from '../../src/core/gateway/unknown-loads';
import { brandAs } from '../../src/core/ids';
import type { EpochTime } from '../../src/core/ids';
import { at, makeContext } from './support';

const GROUPS = 7;
const BATCH_SIZE = 34;
const NO_SUMS = { running: [], paces: [], waiting: [] };
const ALL = { coversMost: true, isLeaderless: false };

/** Requests that all daemons send to empty groups before any has received loads. */
function sendAfterRestart(daemons: number, callersOfEach: number): number {
  const random = createRandom(daemons);
  let sent = 0;
  for (let daemon = 0; daemon < daemons; daemon++) {
    const chance = random.next();
    const groups = Array.from({ length: GROUPS }, () => ({ batchSize: BATCH_SIZE, running: 0 }));
    for (let caller = 0; caller < callersOfEach; caller++) {
      if (!hasSlotWithoutLoads(groups, daemons, chance)) break;
      const group = groups[caller % GROUPS];
      if (group) group.running += 1;
      sent += 1;
    }
  }
  return sent;
}

describe('daemons that restart together and know nothing of each other', () => {
  // Guards against the queue in the engines that the callers of some seconds fill at once: with all slots
  // open to each daemon, 660 requests went to 238 slots.
  it.each([7, 66, 122, 670])(
    '%i of them fill the slots, and no more than a tenth above',
    (daemons) => {
      const sent = sendAfterRestart(daemons, Math.ceil(1_000 / daemons));
      expect(sent).toBeGreaterThan(0.9 * GROUPS * BATCH_SIZE);
      expect(sent).toBeLessThan(1.1 * GROUPS * BATCH_SIZE);
    },
  );
});

describe('the loads of the other daemons', () => {
  it('are unknown until the first sum over most of them', () => {
    const loads = createPeerLoads(makeContext());
    expect(loads.areStillUnknown()).toBe(true);
    loads.apply(NO_SUMS, { coversMost: false, isLeaderless: true });
    expect(loads.areStillUnknown()).toBe(true);
    loads.apply(NO_SUMS, ALL);
    expect(loads.areStillUnknown()).toBe(false);
  });

  // Guards against a daemon that stays limited because the others are gone for good.
  it('are taken as none if nothing is received for some seconds', () => {
    let now = at(0);
    const clock = { now: () => now, epoch: () => brandAs<EpochTime>(0) };
    const loads = createPeerLoads(makeContext({ clock }));
    now = at(4_000);
    expect(loads.areStillUnknown()).toBe(false);
  });
});

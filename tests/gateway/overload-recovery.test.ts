import { describe, expect, it } from 'vitest';

import { createFleetModel } from './fleet-model';
import { fakeTime } from './fake-time';

fakeTime();

const DAEMONS = 40;
const GROUPS = 15;
const LOST = 3;
const WARM_UP_MS = 3_000;
const TRIGGER_MS = 3_000;
const RECOVERY_MS = 5_000;
const WATCHED_MS = 4_000;
/** All that arrived while it was watched has ended after this. */
const REST_MS = 3_000;

/** A fifth of the groups is lost, and as many are formed three seconds later. */
function playLoss(load: number, seed: number) {
  const fleet = createFleetModel({ daemons: DAEMONS, groups: GROUPS, load, seed });
  fleet.run(WARM_UP_MS);
  fleet.loseGroups(LOST);
  fleet.run(TRIGGER_MS);
  fleet.formGroups(LOST);
  fleet.run(RECOVERY_MS);
  fleet.longestQueue();
  fleet.run(WATCHED_MS);
  const longestQueue = fleet.longestQueue();
  fleet.run(REST_MS);
  const from = WARM_UP_MS + TRIGGER_MS + RECOVERY_MS;
  return { onTime: fleet.onTime(from, from + WATCHED_MS), longestQueue };
}

describe('a fleet of many daemons with groups enough for its callers', () => {
  // Guards against a backlog in the engines' own queues that outlives the loss of groups that led to it.
  it.each([
    [0.8, 1],
    [0.8, 2],
    [0.8, 3],
    [0.9, 1],
    [0.9, 2],
    [0.9, 3],
  ])(
    'serves on time again within seconds of a loss of groups, at %d of its capacity (seed %i)',
    (load, seed) => {
      expect(playLoss(load, seed).onTime).toBeGreaterThan(0.9);
    },
  );
});

const BURST_MS = 5_000;

/** More is asked for than there are places, for so long that every waiting room is full. */
function playBurst(daemons: number, load: number, seed: number): number {
  const fleet = createFleetModel({ daemons, groups: GROUPS, load, seed });
  fleet.run(BURST_MS + REST_MS);
  return fleet.onTime(BURST_MS / 2, BURST_MS);
}

describe('a fleet that is asked for more than it can serve', () => {
  // Guards against a burst that makes nearly every request late although there are places for most.
  it.each([
    [DAEMONS, 1.25, 1],
    [DAEMONS, 1.25, 2],
    [DAEMONS, 1.5, 1],
    [DAEMONS, 1.5, 2],
    [6, 1.5, 1],
    [6, 1.5, 2],
  ])(
    'serves half of the requests on time or more, with %i daemons at %d of its capacity (seed %i)',
    (daemons, load, seed) => {
      expect(playBurst(daemons, load, seed)).toBeGreaterThan(0.5);
    },
  );
});

describe('a fleet whose loads nobody sums up any more', () => {
  /** As long as the store answers nobody: the lease has lapsed, and no leader follows. */
  const playOutage = (load: number, seed: number): number => {
    const fleet = createFleetModel({ daemons: DAEMONS, groups: GROUPS, load, seed });
    fleet.run(WARM_UP_MS);
    fleet.loseLeader();
    fleet.run(BURST_MS + REST_MS);
    return fleet.onTime(WARM_UP_MS + 1_000, WARM_UP_MS + BURST_MS);
  };

  // Guards against daemons that take all groups for empty as soon as they hear of no other.
  it.each([
    [0.9, 1],
    [1.25, 1],
    [1.25, 2],
    [1.5, 1],
  ])(
    'serves half of the requests on time or more, at %d of its capacity (seed %i)',
    (load, seed) => {
      expect(playOutage(load, seed)).toBeGreaterThan(0.5);
    },
  );
});

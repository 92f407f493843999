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
/** Everything that arrived in the watched time has ended after this. */
const DRAIN_MS = 3_000;

/** Loses a fifth of the groups, and forms as many three seconds later. */
function runGroupLoss(load: number, seed: number) {
  const fleet = createFleetModel({ daemons: DAEMONS, groups: GROUPS, load, seed });
  fleet.run(WARM_UP_MS);
  fleet.loseGroups(LOST);
  fleet.run(TRIGGER_MS);
  fleet.formGroups(LOST);
  fleet.run(RECOVERY_MS);
  fleet.longestQueue();
  fleet.run(WATCHED_MS);
  const longestQueue = fleet.longestQueue();
  fleet.run(DRAIN_MS);
  const from = WARM_UP_MS + TRIGGER_MS + RECOVERY_MS;
  return { onTime: fleet.onTime(from, from + WATCHED_MS), longestQueue };
}

describe('a fleet of many daemons with enough groups for its callers', () => {
  // Guards against a backlog in the engines' own queues that outlasts the loss of groups that
  // caused it.
  it.each([
    [0.8, 1],
    [0.8, 2],
    [0.8, 3],
    [0.9, 1],
    [0.9, 2],
    [0.9, 3],
  ])('serves on time again within seconds of losing groups, at load %d (seed %i)', (load, seed) => {
    expect(runGroupLoss(load, seed).onTime).toBeGreaterThan(0.9);
  });
});

const BURST_MS = 5_000;

/** Offers more load than there are slots, long enough to fill every wait queue. */
function runBurst(daemons: number, load: number, seed: number): number {
  const fleet = createFleetModel({ daemons, groups: GROUPS, load, seed });
  fleet.run(BURST_MS + DRAIN_MS);
  return fleet.onTime(BURST_MS / 2, BURST_MS);
}

describe('an overloaded fleet', () => {
  // Guards against a burst that makes nearly every request late although there are slots for most.
  it.each([
    [DAEMONS, 1.25, 1],
    [DAEMONS, 1.25, 2],
    [DAEMONS, 1.5, 1],
    [DAEMONS, 1.5, 2],
    [6, 1.5, 1],
    [6, 1.5, 2],
  ])(
    'serves at least half of the requests on time, with %i daemons at load %d (seed %i)',
    (daemons, load, seed) => {
      expect(runBurst(daemons, load, seed)).toBeGreaterThan(0.5);
    },
  );
});

describe('a fleet without a leader to sum its loads', () => {
  /** As while the store is down: the lease has expired and there is no new leader. */
  const runLeaderLoss = (load: number, seed: number): number => {
    const fleet = createFleetModel({ daemons: DAEMONS, groups: GROUPS, load, seed });
    fleet.run(WARM_UP_MS);
    fleet.loseLeader();
    fleet.run(BURST_MS + DRAIN_MS);
    return fleet.onTime(WARM_UP_MS + 1_000, WARM_UP_MS + BURST_MS);
  };

  // Guards against daemons that treat all groups as empty once they receive no peer's load.
  it.each([
    [0.9, 1],
    [1.25, 1],
    [1.25, 2],
    [1.5, 1],
  ])('serves at least half of the requests on time, at load %d (seed %i)', (load, seed) => {
    expect(runLeaderLoss(load, seed)).toBeGreaterThan(0.5);
  });
});

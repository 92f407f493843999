import { afterAll, beforeEach, describe, it } from 'vitest';

import { pause } from '../../src/utils/pause';
import {
  createFleetProvider,
  DAEMONS,
  expectUnharmed,
  nameOf,
  PAUSE_MS,
  seriesMs,
} from './paused-fleet';
import type { PausedFleet } from './paused-fleet';

const SEED = 53;
const SHORT_PAUSE_MS = 300;
const ALL: readonly number[] = Array.from({ length: DAEMONS }, (_, n) => n);

const provider = createFleetProvider(24_000, SEED);
let fleet: PausedFleet;

beforeEach(async () => {
  fleet = await provider.intact();
});

afterAll(provider.close);

describe('streams while servers pause', () => {
  // Guards against a leader that ends groups for a silence that every busy host shows.
  it.each([{ times: 1 }, { times: 3 }])(
    'are not torn, and no group ends, by pauses of all for 300 ms ($times in series)',
    async ({ times }) => {
      const disturb = (): Promise<void> => fleet.pauseServers({}, SHORT_PAUSE_MS, times);
      expectUnharmed(await fleet.play(seriesMs(SHORT_PAUSE_MS, times), disturb));
    },
  );

  // Guards against a member that is counted as lost although it soon answers.
  it('are not torn, and no group ends, by a pause of one member for 300 ms', async () => {
    const member = fleet.pick(fleet.groups().flatMap(({ members }) => members));
    const name = nameOf(fleet.fixture.platform, member);
    const disturb = (): Promise<void> => fleet.pauseServers({ name }, SHORT_PAUSE_MS);
    expectUnharmed(await fleet.play(SHORT_PAUSE_MS, disturb));
  });

  // Guards against streams that are given up with a group whose silent member may be replaced.
  it('are not torn, and no other group ends, by a pause of one member for 800 ms', async () => {
    const group = fleet.pick(fleet.groups());
    const name = nameOf(fleet.fixture.platform, fleet.pick(group.members));
    const disturb = (): Promise<void> => fleet.pauseServers({ name }, PAUSE_MS);
    const outcome = await fleet.play(PAUSE_MS, disturb);
    expectUnharmed({ ...outcome, ended: outcome.ended.filter((id) => id !== group.id) });
  });
});

describe('streams while daemons are stopped', () => {
  // Guards against a daemon that counts the time in which it did not run as silence of its servers.
  it.each([
    { who: 'one that does not lead', choose: () => [(fleet.leader() + 1) % DAEMONS] },
    { who: 'the leader', choose: () => [fleet.leader()] },
    { who: 'all', choose: () => ALL },
  ])('are not torn, and no group ends ($who)', async ({ choose }) => {
    const stopped = choose();
    const disturb = async (): Promise<void> => {
      for (const n of stopped) fleet.fixture.signal(n, 'SIGSTOP');
      await pause(PAUSE_MS);
      for (const n of stopped) fleet.fixture.signal(n, 'SIGCONT');
    };
    expectUnharmed(await fleet.play(PAUSE_MS, disturb));
  });
});

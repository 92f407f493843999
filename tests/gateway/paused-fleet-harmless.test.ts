import { afterAll, beforeEach, describe, it } from 'vitest';

import { createFleetProvider, DAEMONS, expectUnharmed, PAUSE_MS, seriesMs } from './paused-fleet';
import type { PausedFleet } from './paused-fleet';

const SEED = 54;
const ALL: readonly number[] = Array.from({ length: DAEMONS }, (_, n) => n);
const LONG_PAUSE_MS = 1_500;
const provider = createFleetProvider(24_300, SEED);
let fleet: PausedFleet;

beforeEach(async () => {
  fleet = await provider.intact();
});

afterAll(provider.close);

describe('streams while daemons receive late', () => {
  // Guards against a leader whose link is full, which takes the delay of new connections for lost servers.
  it.each([
    { who: 'the leader', delayMs: 150, choose: () => [fleet.leader()] },
    { who: 'the leader', delayMs: 240, choose: () => [fleet.leader()] },
    { who: 'the leader', delayMs: 700, choose: () => [fleet.leader()] },
    { who: 'all', delayMs: 700, choose: () => ALL },
  ])('are not torn, and no group ends ($who, by $delayMs ms)', async ({ delayMs, choose }) => {
    expectUnharmed(await fleet.playDelay(choose(), delayMs));
  });
});

describe('streams while servers pause', () => {
  // Guards against a leader that counts all servers as lost, and daemons that give up all streams.
  it.each([
    { ms: PAUSE_MS, times: 1 },
    { ms: LONG_PAUSE_MS, times: 1 },
    { ms: PAUSE_MS, times: 3 },
    { ms: LONG_PAUSE_MS, times: 3 },
  ])(
    'are not torn, and no group ends, by pauses of all for $ms ms ($times in series)',
    async ({ ms, times }) => {
      const disturb = (): Promise<void> => fleet.pauseServers({}, ms, times);
      expectUnharmed(await fleet.play(seriesMs(ms, times), disturb));
    },
  );

  // Guards against the end of groups of which no member answers for less than two seconds.
  it.each([
    { part: 'a zone', patternOf: () => ({ zone: 'zone-1' }) },
    { part: 'a domain', patternOf: () => ({ domain: 'd2', isPlain: false }) },
    { part: 'a group', patternOf: () => ({ group: fleet.pick(fleet.groups()).name }) },
  ])(
    'are not torn, and no group ends, by a pause of the servers of $part',
    async ({ patternOf }) => {
      const pattern = patternOf();
      const disturb = (): Promise<void> => fleet.pauseServers(pattern, PAUSE_MS);
      expectUnharmed(await fleet.play(PAUSE_MS, disturb));
    },
  );
});

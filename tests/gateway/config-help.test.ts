import { afterEach, describe, expect, it } from 'vitest';

import { fakeTime } from './fake-time';
import { startLinkedFleet } from './linked-fleet';
import type { LinkedFleetOptions, StoreMood } from './linked-fleet';

type LinkedFleet = ReturnType<typeof startLinkedFleet>;

/** 1,640 routes, as measured with real daemons. */
const LARGE = { storeBytes: 353_000, helpBytes: 291_000 };
const SMALL = { storeBytes: 24_000, helpBytes: 20_000 };
const SIZE = 60;
const CONFIG_MS = 3_000;
/** The platform allows a daemon that the store turns away 6,000 ms more. */
const TURNED_AWAY_MS = CONFIG_MS + 1_000;
const VERSIONS = 9;
const GAP_MS = 333;
/** Half of a link of 14 Mbit/s, and two fifths of one of 9.8; the rest is for requests. */
const BYTES_PER_MS = 875;
const SLOW_BYTES_PER_MS = 490;
const LEADER = 0;
const RELAY = 3;
const FOLLOWER = 40;

let fleet: LinkedFleet | undefined;
afterEach(() => {
  fleet?.stop();
  fleet = undefined;
});

async function start(more: Partial<LinkedFleetOptions> = {}): Promise<LinkedFleet> {
  const bounds = { configMs: CONFIG_MS, settleMs: 4_000 };
  fleet = startLinkedFleet({ size: SIZE, bytesPerMs: BYTES_PER_MS, ...bounds, ...LARGE, ...more });
  await fleet.run(4_000);
  return fleet;
}

/** Publishes a series of versions, waits for the last, and returns when each was published. */
async function publishSeries({ publish, run }: LinkedFleet): Promise<ReadonlyMap<number, number>> {
  const sentAt = new Map<number, number>();
  for (let version = 2; version < 2 + VERSIONS; version++) {
    publish(version);
    sentAt.set(version, Date.now());
    await run(GAP_MS);
  }
  await run(TURNED_AWAY_MS);
  return sentAt;
}

/** The longest time from a version's publication until the daemon has it or a newer one, milliseconds. */
function longestMs(
  { inForceAt }: LinkedFleet,
  n: number,
  sentAt: ReadonlyMap<number, number>,
): number {
  return Math.max(...[...sentAt].map(([version, at]) => inForceAt(n, version) - at));
}

fakeTime();

describe('a rapid series of large versions', () => {
  // Guards against a leader that fills its link with versions which the store is sending already.
  it.each([BYTES_PER_MS, SLOW_BYTES_PER_MS])(
    'is not sent by peers to daemons that the store answers, at %i bytes/ms',
    async (bytesPerMs) => {
      const series = await start({ bytesPerMs });
      const sentAt = await publishSeries(series);
      for (let n = 0; n < SIZE; n++) expect(longestMs(series, n, sentAt)).toBeLessThan(CONFIG_MS);
      expect(series.helped).toEqual([]);
    },
  );
});

describe.each([
  { daemon: 'the leader', n: LEADER },
  { daemon: 'a relay', n: RELAY },
  { daemon: 'another daemon', n: FOLLOWER },
])('$daemon', ({ n }) => {
  // Guards against a daemon that keeps an old configuration although its peers know the new one.
  it.each<{ mood: StoreMood; size: string; bytes: typeof LARGE }>([
    { mood: 'ignores', size: 'large', bytes: LARGE },
    { mood: 'ignores', size: 'small', bytes: SMALL },
    { mood: 'refuses', size: 'large', bytes: LARGE },
    { mood: 'refuses', size: 'small', bytes: SMALL },
  ])('gets $size versions in time if the store $mood it', async ({ mood, bytes }) => {
    const series = await start(bytes);
    series.moods[n] = mood;
    const sentAt = await publishSeries(series);
    expect(longestMs(series, n, sentAt)).toBeLessThan(TURNED_AWAY_MS);
    // Guards against peers that send the same version together, or again while it is on its way.
    const helped = series.helped.filter(({ to }) => to === n);
    expect(helped.length).toBeLessThanOrEqual(VERSIONS);
    expect(series.helped.filter(({ to }) => to !== n)).toEqual([]);
  });

  // Guards against a daemon that starts while the store is away and refuses its callers for long.
  it('gets a configuration soon after its start if the store refuses it', async () => {
    const starting = await start();
    starting.moods[n] = 'refuses';
    starting.restart(n);
    await starting.run(2_000);
    expect(starting.version(n)).toBe(1);
  });
});

describe('a store that refuses all daemons but one', () => {
  // Guards against a version that spreads from one daemon only, at the rate of its link.
  it.each([
    { daemon: 'the leader', n: LEADER },
    { daemon: 'a relay', n: RELAY },
    { daemon: 'another daemon', n: FOLLOWER },
  ])('lets a version spread from $daemon', async ({ n }) => {
    const spreading = await start(SMALL);
    spreading.moods.fill('refuses');
    spreading.moods[n] = 'answers';
    spreading.publish(2);
    await spreading.run(2 * CONFIG_MS);
    expect(spreading.countWith(2)).toBe(SIZE);
  });
});

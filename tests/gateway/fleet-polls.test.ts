import { describe, expect, it, vi } from 'vitest';

import { createConfigView } from '../../src/app/gateway/config-view';
import type { ConfigView } from '../../src/app/gateway/config-view';
import type { Leader } from '../../src/app/gateway/peer-view';
import { brandAs } from '../../src/core/ids';
import type { DaemonId } from '../../src/core/ids';
import type { OperatorEntry } from '../../src/ports/gateway';
import { createSilentStore } from './silent-store';
import { createFakeClock, fakeTime } from './fake-time';
import { FIRST_ERA } from '../../src/core/store-era';
import { configEntry, makeConfig, makeContext, position } from './support';

/** As in a fleet that communicates through its leader. */
const BROADCAST_MS = 200;
const LEADER_FRESH_MS = 1_200;
const LONGEST_POLL_S = 20;

const configOf = (version: number): OperatorEntry =>
  configEntry(makeConfig({ version: brandAs(version) }));

/** A leader and its followers, which receive its progress as long as it broadcasts. */
function startFleet(size: number, { configMs, settleMs }: { configMs: number; settleMs: number }) {
  const store = createSilentStore();
  store.put('config', configOf(1));
  const feed = store.feed<OperatorEntry>('config');
  const clock = createFakeClock();
  let lastMessage: Leader | undefined;
  const view = (seed: number, leader: () => Leader | undefined): ConfigView => {
    const ctx = makeContext({ tunables: { configMs, settleMs }, clock, seed });
    return createConfigView(ctx, { feed, daemons: () => size, leader });
  };
  const recentLeader = (): Leader | undefined =>
    lastMessage && clock.now() < lastMessage.at + LEADER_FRESH_MS ? lastMessage : undefined;
  const leaderView = view(0, () => undefined);
  const views = [
    leaderView,
    ...Array.from({ length: size - 1 }, (_, n) => view(n + 1, () => recentLeader())),
  ];
  const broadcastTimer = setInterval(() => {
    lastMessage = {
      id: brandAs<DaemonId>('leader'),
      address: 'leader',
      via: 'leader',
      at: clock.now(),
      progress: {
        configVersion: leaderView.version(),
        serversAt: position(1),
        storeEra: FIRST_ERA,
        isStoreLost: false,
        storeAgeMs: 0,
        configAgeMs: leaderView.watch.ageMs(),
      },
    };
  }, BROADCAST_MS);
  const silenceLeader = (): void => {
    clearInterval(broadcastTimer);
  };
  const stop = (): void => {
    silenceLeader();
    for (const { watch } of views) watch.stop();
  };
  /** Changes the configuration and counts the daemons that lack it after the settling time. */
  const countLate = async (): Promise<number> => {
    store.put('config', configOf(2));
    await vi.advanceTimersByTimeAsync(settleMs);
    stop();
    return views.filter((each) => each.version() !== 2).length;
  };
  return { store, silenceLeader, stop, countLate };
}

fakeTime();

describe.each([
  { size: 6, bounds: { configMs: 2_000, settleMs: 3_000 } },
  { size: 30, bounds: { configMs: 3_000, settleMs: 4_000 } },
])('a fleet of $size daemons', ({ size, bounds }) => {
  it('polls as seldom as the longest polls allow; only its leader polls more often', async () => {
    const { store, stop } = startFleet(size, bounds);
    await vi.advanceTimersByTimeAsync(30_000);
    const before = store.calls();
    const forS = 40;
    await vi.advanceTimersByTimeAsync(forS * 1_000);
    const perS = (store.calls() - before) / forS;
    stop();
    const shortestPollS = Math.min(LONGEST_POLL_S, Math.max(4, 0.5 * size));
    expect(perS).toBeLessThan(1.2 * (size / shortestPollS) + 1);
  });

  it.each([0, 1_000, 4_000, 8_000])(
    'has a change in force on all daemons in time after %i ms without the store',
    async (silentMs) => {
      const { store, countLate } = startFleet(size, bounds);
      await vi.advanceTimersByTimeAsync(30_000);
      store.silence();
      await vi.advanceTimersByTimeAsync(silentMs);
      store.answer();
      expect(await countLate()).toBe(0);
    },
  );

  it('has a change in force in time if its leader and all connections fall silent together', async () => {
    const { store, silenceLeader, countLate } = startFleet(size, bounds);
    await vi.advanceTimersByTimeAsync(30_000);
    silenceLeader();
    store.silence();
    store.answer();
    expect(await countLate()).toBe(0);
  });
});

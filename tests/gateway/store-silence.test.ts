/**
 * A new organisation was refused with 401, and a new route with 404, 2.55 s after the store had
 * acknowledged both. The store had been silent for eight seconds and was back before the operator's
 * change. All daemons had asked for news in the last second of the silence. A call that is sent into
 * silence is never answered, and the daemons waited 5 s for it: longer than a change may take. They had
 * asked at the same moment, so none could tell the others. Their logs showed it: the news came exactly
 * when the call was given up, on all daemons within 0.3 s, and with it everything that was missed.
 */

import fc from 'fast-check';
import { describe, expect, it, vi } from 'vitest';

import { createConfigView } from '../../src/app/gateway/config-view';
import { createServerRegistry } from '../../src/app/gateway/server-registry';
import { watchFeed } from '../../src/app/gateway/watch';
import { brandAs, later } from '../../src/core/ids';
import type { BackendServer, GatewayConfig } from '../../src/core/gateway/types';
import type { ConfigVersion } from '../../src/core/ids';
import { createSilentStore } from './silent-store';
import { createFakeClock, fakeTime } from './fake-time';
import { instance, makeConfig, makeContext, makeServer } from './support';

const CONFIG_MS = 2_000;
const LEAVING_MS = 2_000;
const SETTLE_MS = 3_000;

const configOf = (version: number): GatewayConfig =>
  makeConfig({ version: brandAs<ConfigVersion>(version) });

/** What one daemon without peers follows in the store, as the gateway puts it together. */
function followStore(seed: number) {
  const store = createSilentStore();
  const ctx = makeContext({
    tunables: { configMs: CONFIG_MS, leavingMs: LEAVING_MS, settleMs: SETTLE_MS },
    clock: createFakeClock(),
    seed,
  });
  store.put('config', configOf(1));
  store.put('s1', makeServer('s1'));
  store.put('daemons', 'address');
  const config = createConfigView(ctx, {
    feed: store.feed<GatewayConfig>('config'),
    daemons: () => 1,
    leader: () => undefined,
  });
  const roster = createServerRegistry(ctx, {
    feed: store.feed<BackendServer>('s1'),
    isLeading: () => false,
    leader: () => undefined,
  });
  const daemons = watchFeed(ctx, {
    feed: store.feed<string>('daemons'),
    waitMs: () => 15_000,
    freshUntil: (now) => later(now, 15_000),
    nextPollAt: (since) => later(since, 3_000),
    apply: () => undefined,
  });
  const stop = (): void => {
    for (const watch of [config.watch, roster.watch, daemons]) watch.stop();
  };
  return { store, config, roster, stop };
}

fakeTime();

/** From a silence of the connections alone, over which new ones work, to one of twelve seconds. */
const SILENCES = Array.from({ length: 49 }, (_, n) => n * 250);

describe('a store that was silent', () => {
  it.each(SILENCES)('for %i ms has its next change in force in time', async (silentMs) => {
    const { store, config, roster, stop } = followStore(silentMs);
    await vi.advanceTimersByTimeAsync(8_000);
    store.put('config', configOf(2));
    await vi.advanceTimersByTimeAsync(500);
    expect(config.version()).toBe(2);

    store.silence();
    await vi.advanceTimersByTimeAsync(silentMs);
    store.answer();
    store.put('config', configOf(3));
    store.put('s1', makeServer('s1', { isDraining: true }));
    await vi.advanceTimersByTimeAsync(SETTLE_MS);
    const seen = {
      version: config.version(),
      isDraining: roster.servers.get(instance('s1'))?.isDraining,
    };
    stop();
    expect(seen).toEqual({ version: 3, isDraining: true });
  });
});

describe('a store that is silent again and again', () => {
  const STEP_MS = 250;
  const RUNS = 60;

  /** Calm, a change at its end or none, then a silence; of 0 ms for one of the connections alone. */
  const rounds = fc.array(
    fc.record({
      calmSteps: fc.integer({ min: 0, max: 24 }),
      silentSteps: fc.integer({ min: 0, max: 36 }),
      changes: fc.constantFrom('before', 'during', 'after', 'never'),
    }),
    { minLength: 1, maxLength: 6 },
  );

  it('never hides a change for longer than is promised', async () => {
    const property = fc.asyncProperty(rounds, fc.nat(), async (plan, seed) => {
      const { store, config, stop } = followStore(seed);
      let newest = 1;
      let changedAt = Date.now();
      let disturbedAt = Date.now();
      const change = (): void => {
        newest += 1;
        changedAt = Date.now();
        store.put('config', configOf(newest));
      };
      const late: string[] = [];
      const pass = async (steps: number, isSilent: boolean): Promise<void> => {
        for (let step = 0; step < steps; step++) {
          await vi.advanceTimersByTimeAsync(STEP_MS);
          if (isSilent) disturbedAt = Date.now();
          const dueAt = Math.max(disturbedAt + SETTLE_MS, changedAt + CONFIG_MS);
          if (Date.now() < dueAt || config.version() === newest) continue;
          late.push(
            `version ${config.version()} of ${newest} at ${Date.now() - dueAt} ms past due`,
          );
        }
      };
      await pass(20, false);
      for (const { calmSteps, silentSteps, changes } of plan) {
        await pass(calmSteps, false);
        if (changes === 'before') change();
        store.silence();
        disturbedAt = Date.now();
        await pass(Math.floor(silentSteps / 2), true);
        if (changes === 'during') change();
        await pass(Math.ceil(silentSteps / 2), true);
        store.answer();
        if (changes === 'after') change();
      }
      await pass(24, false);
      stop();
      expect(late).toEqual([]);
    });
    await fc.assert(property, { numRuns: RUNS, seed: 20, endOnFailure: true });
  });
});

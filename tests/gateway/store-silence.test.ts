/**
 * Guards against changes that take effect too late after a silence of the store. A new organisation
 * was refused with 401 and a new route with 404, 2.55 s after the store had acknowledged both.
 *
 * The store had been silent for eight seconds and was back before the change. A call sent into the
 * silence is never answered, and daemons waited 5 s for it, longer than a change may take. All
 * daemons had polled in the last second of the silence, so none could inform the others: in their
 * logs, the change arrived on all of them within 0.3 s, exactly when that call timed out.
 */

import fc from 'fast-check';
import { describe, expect, it, vi } from 'vitest';

import { createConfigView } from '../../src/app/gateway/config-view';
import { createServerRegistry } from '../../src/app/gateway/server-registry';
import { watchFeed } from '../../src/app/gateway/watch';
import { brandAs, later } from '../../src/core/ids';
import type { BackendServer } from '../../src/core/gateway/types';
import type { OperatorEntry } from '../../src/ports/gateway';
import type { ConfigVersion } from '../../src/core/ids';
import { createSilentStore } from './silent-store';
import { createFakeClock, fakeTime } from './fake-time';
import { configEntry, instance, makeConfig, makeContext, makeServer } from './support';

const CONFIG_MS = 2_000;
const LEAVING_MS = 2_000;
const SETTLE_MS = 3_000;

const configOf = (version: number): OperatorEntry =>
  configEntry(makeConfig({ version: brandAs<ConfigVersion>(version) }));

/** The store-backed parts of one daemon without peers, connected as in the gateway. */
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
    feed: store.feed<OperatorEntry>('config'),
    daemons: () => 1,
    leader: () => undefined,
  });
  const serverRegistry = createServerRegistry(ctx, {
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
    for (const watch of [config.watch, serverRegistry.watch, daemons]) watch.stop();
  };
  return { store, config, serverRegistry, stop };
}

fakeTime();

/** From 0 ms, where only existing connections are lost and new ones work, to twelve seconds. */
const SILENCES = Array.from({ length: 49 }, (_, n) => n * 250);

describe('a store that was silent', () => {
  it.each(SILENCES)(
    'for %i ms does not delay its next change beyond the limit',
    async (silentMs) => {
      const { store, config, serverRegistry, stop } = followStore(silentMs);
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
        isDraining: serverRegistry.servers.get(instance('s1'))?.isDraining,
      };
      stop();
      expect(seen).toEqual({ version: 3, isDraining: true });
    },
  );
});

describe('a store that is silent repeatedly', () => {
  const STEP_MS = 250;
  const RUNS = 60;

  /**
   * Rounds of calm, a change at some point or none, then a silence; 0 ms loses existing connections
   * only.
   */
  const rounds = fc.array(
    fc.record({
      calmSteps: fc.integer({ min: 0, max: 24 }),
      silentSteps: fc.integer({ min: 0, max: 36 }),
      changes: fc.constantFrom('before', 'during', 'after', 'never'),
    }),
    { minLength: 1, maxLength: 6 },
  );

  it('never hides a change for longer than guaranteed', async () => {
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
      const advance = async (steps: number, isSilent: boolean): Promise<void> => {
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
      await advance(20, false);
      for (const { calmSteps, silentSteps, changes } of plan) {
        await advance(calmSteps, false);
        if (changes === 'before') change();
        store.silence();
        disturbedAt = Date.now();
        await advance(Math.floor(silentSteps / 2), true);
        if (changes === 'during') change();
        await advance(Math.ceil(silentSteps / 2), true);
        store.answer();
        if (changes === 'after') change();
      }
      await advance(24, false);
      stop();
      expect(late).toEqual([]);
    });
    await fc.assert(property, { numRuns: RUNS, seed: 20, endOnFailure: true });
  });
});

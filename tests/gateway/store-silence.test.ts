/**
 * A new organisation was refused with 401, and a new route with 404, 2.55 s after the store had
 * acknowledged both. The store had been silent for eight seconds and was back before the operator's
 * change. All daemons had asked for news in the last second of the silence. A call that is sent into
 * silence is never answered, and the daemons waited 5 s for it: longer than a change may take. They had
 * asked at the same moment, so none could tell the others. Their logs showed it: the news came exactly
 * when the call was given up, on all daemons within 0.3 s, and with it everything that was missed.
 */

import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createConfigView } from '../../src/app/gateway/config-view';
import { createRoster } from '../../src/app/gateway/roster';
import { watchFeed } from '../../src/app/gateway/watch';
import { brandAs, later } from '../../src/core/ids';
import type { BackendServer, GatewayConfig } from '../../src/core/gateway/types';
import type { ConfigVersion } from '../../src/core/ids';
import type { Changes, Feed } from '../../src/ports/gateway';
import { fail } from '../../src/utils/errors';
import type { StepError } from '../../src/utils/errors';
import { createFakeClock, instance, makeConfig, makeContext, makeServer } from './support';

const CONFIG_MS = 2_000;
const LEAVING_MS = 2_000;
const SETTLE_MS = 3_000;
/** The way to the store and back. */
const WAY_MS = 5;
/** Without a word from the caller, the client of the store gives a call up this long after its wait. */
const CLIENT_SLACK_MS = 1_000;

/** A store that falls silent: calls that are out then, and those sent meanwhile, are never answered. */
function createSilentStore() {
  const values = new Map<string, { readonly value: unknown; readonly revision: number }>();
  const wakers = new Set<() => void>();
  let revision = 0;
  let isSilent = false;
  /** Calls of an earlier era are never answered. */
  let era = 0;

  const read = <T>(name: string, after: number): Changes<T> => {
    const row = values.get(name);
    const changes = row && row.revision > after ? [{ key: name, value: row.value as T }] : [];
    return { changes, revision };
  };

  const call = <T>(
    name: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): ResultAsync<Changes<T>, StepError> => {
    const sentIn = era;
    const answer = new Promise<Changes<T> | undefined>((resolve) => {
      const isHeard = (): boolean => !isSilent && sentIn === era;
      const finish = (): void => {
        if (!isHeard()) return;
        wakers.delete(look);
        setTimeout(() => {
          if (isHeard()) resolve(read<T>(name, after));
        }, WAY_MS);
      };
      const look = (): void => {
        if (read(name, after).changes.length > 0) finish();
      };
      const giveUp = (): void => {
        wakers.delete(look);
        resolve(undefined);
      };
      if (isHeard()) {
        wakers.add(look);
        setTimeout(finish, waitMs);
        look();
      }
      setTimeout(giveUp, waitMs + CLIENT_SLACK_MS);
      signal?.addEventListener('abort', giveUp);
    });
    return ResultAsync.fromSafePromise(answer).andThen((changes) =>
      changes
        ? okAsync(changes)
        : errAsync(fail('store-unavailable', 'no answer', { step: 'call' })),
    );
  };

  return {
    put: (name: string, value: unknown): void => {
      revision += 1;
      values.set(name, { value, revision });
      for (const wake of [...wakers]) wake();
    },
    silence: (): void => {
      isSilent = true;
      era += 1;
    },
    answer: (): void => {
      isSilent = false;
    },
    feed: <T>(name: string): Feed<T> => ({
      name,
      load: (signal?: AbortSignal) => call<T>(name, -1, 0, signal),
      poll: (after: number, waitMs: number, signal?: AbortSignal) =>
        call<T>(name, after, waitMs, signal),
    }),
  };
}

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
  const roster = createRoster(ctx, {
    feed: store.feed<BackendServer>('s1'),
    isLeading: () => false,
    leader: () => undefined,
  });
  const daemons = watchFeed(ctx, {
    feed: store.feed<string>('daemons'),
    waitMs: () => 15_000,
    trustUntil: (now) => later(now, 15_000),
    restUntil: (since) => later(since, 3_000),
    take: () => undefined,
  });
  const stop = (): void => {
    for (const watch of [config.watch, roster.watch, daemons]) watch.stop();
  };
  return { store, config, roster, stop };
}

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date'],
  });
});

afterEach(() => {
  vi.useRealTimers();
});

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

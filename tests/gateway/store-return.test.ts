import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { describe, expect, it, vi } from 'vitest';

import { createConfigView } from '../../src/app/gateway/config-view';
import { createEvacuations } from '../../src/app/gateway/evacuations';
import { createServerRegistry } from '../../src/app/gateway/server-registry';
import type { ServerRegistry } from '../../src/app/gateway/server-registry';
import { createStoreAccess } from '../../src/app/gateway/store-access';
import { watchFeed } from '../../src/app/gateway/watch';
import { mixHashes } from '../../src/core/routing/hash';
import { mergeUpdates, canContinueFrom } from '../../src/core/gateway/collection-updates';
import type { BackendServer } from '../../src/core/gateway/types';
import { brandAs } from '../../src/core/ids';
import type { ConfigVersion, ZoneId } from '../../src/core/ids';
import type { StoreEra } from '../../src/core/store-era';
import type { Change, Changes, Feed, OperatorEntry } from '../../src/ports/gateway';
import { fail } from '../../src/utils/errors';
import type { StepError } from '../../src/utils/errors';
import { createFakeClock, fakeTime } from './fake-time';
import { configEntry, makeConfig, makeContext, makeServer, position } from './support';

fakeTime();

const [FIRST, SECOND] = [brandAs<StoreEra>(1), brandAs<StoreEra>(2)];
/** Daemons spread their reloads over this time; the rest is for processing. */
const LOADED_MS = 600;
const MISSING_MS = 2_400;

async function advance(ms: number): Promise<void> {
  await vi.advanceTimersByTimeAsync(ms);
}

/** A store of one collection that reports its era with each answer, like the adapter. */
function createEraStore<T>() {
  const access = createStoreAccess();
  let rows = new Map<string, { readonly value: T; readonly revision: number }>();
  let [era, revision, loads] = [FIRST, 0, 0];
  const wakers = new Set<() => void>();
  const read = (after: number): Changes<T> => {
    access.noteEra(era, 'call');
    const changes = [...rows].flatMap(([key, row]): Change<T>[] =>
      row.revision > after ? [{ key, value: row.value }] : [],
    );
    return { changes, position: { era, revision } };
  };
  const poll = (
    at: Changes<T>['position'],
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<Changes<T>, StepError> => {
    const answer = new Promise<Changes<T> | undefined>((resolve) => {
      const look = (): void => {
        if (read(at.revision).changes.length > 0) resolve(read(at.revision));
      };
      wakers.add(look);
      setTimeout(() => {
        resolve(read(at.revision));
      }, waitMs);
      signal.addEventListener('abort', () => {
        resolve(undefined);
      });
      look();
    });
    return ResultAsync.fromSafePromise(answer).andThen((changes) => {
      if (!changes) return errAsync(fail('store-unavailable', 'given up', { step: 'poll' }));
      const isSame = changes.position.era === at.era;
      return isSame
        ? okAsync(changes)
        : errAsync(fail('history-gone', 'other era', { step: 'poll' }));
    });
  };
  const feed: Feed<T> = {
    name: 'rows',
    load: () => {
      loads += 1;
      return okAsync(read(-1));
    },
    poll,
  };
  return {
    access,
    feed,
    loads: () => loads,
    put: (key: string, value: T): void => {
      revision += 1;
      rows.set(key, { value, revision });
      for (const wake of [...wakers]) wake();
    },
    remove: (key: string): void => {
      rows.delete(key);
    },
    copy: () => ({ rows: new Map(rows), revision }),
    /** Restores a copy, in the next era. */
    restore: (copy: { readonly rows: typeof rows; readonly revision: number }): void => {
      rows = new Map(copy.rows);
      ({ revision } = copy);
      era = SECOND;
    },
  };
}

describe('a watched collection, when the store is restored from an older copy', () => {
  const follow = () => {
    const store = createEraStore<number>();
    const ctx = makeContext({ clock: createFakeClock(), store: store.access });
    const known = new Map<string, number>();
    const watch = watchFeed(ctx, {
      feed: store.feed,
      apply: (changes) => {
        for (const { key, value } of changes) if (value !== undefined) known.set(key, value);
      },
    });
    return { store, known, watch };
  };

  it('is reloaded even if the new era has passed the known position', async () => {
    const { store, known, watch } = follow();
    store.put('a', 1);
    await advance(100);
    const copy = store.copy();
    store.put('a', 2);
    await advance(100);
    store.restore(copy);
    // Revisions are reused: the change below has one that was known before the restore.
    store.put('b', 7);
    await advance(LOADED_MS);
    expect(known.get('b')).toBe(7);
    expect(watch.position()).toEqual({ era: SECOND, revision: 2 });
    watch.stop();
  });

  it('aborts a poll in progress as soon as any call or peer reports the new era', async () => {
    const { store, known, watch } = follow();
    store.put('a', 1);
    await advance(100);
    const copy = store.copy();
    store.restore({ ...copy, rows: new Map([...copy.rows, ['c', { value: 9, revision: 1 }]]) });
    expect(store.loads()).toBe(1);
    store.access.noteEra(SECOND, 'peer');
    await advance(LOADED_MS);
    expect(store.loads()).toBe(2);
    expect(known.get('c')).toBe(9);
    watch.stop();
  });

  it('is reloaded at different times by daemons that learn of it together', async () => {
    const loadedAt = new Set<number>();
    const stores = Array.from({ length: 20 }, (_, seed) => {
      const store = createEraStore<number>();
      const ctx = makeContext({
        clock: createFakeClock(),
        store: store.access,
        seed: mixHashes(1, seed),
      });
      const load = (): ReturnType<typeof store.feed.load> => {
        loadedAt.add(Math.floor(Date.now() / 20));
        return store.feed.load();
      };
      return {
        store,
        watch: watchFeed(ctx, { feed: { ...store.feed, load }, apply: () => undefined }),
      };
    });
    for (const { store } of stores) store.put('a', 1);
    await advance(100);
    loadedAt.clear();
    for (const { store } of stores) {
      store.restore(store.copy());
      store.access.noteEra(SECOND, 'peer');
    }
    await advance(LOADED_MS);
    expect(loadedAt.size).toBeGreaterThan(8);
    for (const { watch } of stores) watch.stop();
  });
});

describe('backend servers, when the store is restored from an older copy', () => {
  const NAME = 's1';
  const server = (reportNumber: number, more: Partial<BackendServer> = {}): BackendServer =>
    makeServer(NAME, { reportNumber, ...more });

  const follow = () => {
    const store = createEraStore<BackendServer>();
    const ctx = makeContext({
      clock: createFakeClock(),
      store: store.access,
      tunables: { leavingMs: 100 },
    });
    const serverRegistry = createServerRegistry(ctx, {
      feed: store.feed,
      isLeading: () => true,
      leader: () => undefined,
    });
    /** Runs the registry's timers as well. */
    const run = async (ms: number): Promise<void> => {
      for (let passed = 0; passed < ms; passed += 50) {
        await advance(50);
        serverRegistry.tick();
      }
    };
    return { store, serverRegistry, run };
  };
  const known = (serverRegistry: ServerRegistry): BackendServer | undefined =>
    [...serverRegistry.servers.values()][0];

  it('that were leaving are still leaving', async () => {
    const { store, serverRegistry, run } = follow();
    store.put(NAME, server(3));
    await run(100);
    const copy = store.copy();
    store.put(NAME, server(4, { isDraining: true }));
    await run(100);
    store.restore(copy);
    store.access.noteEra(SECOND, 'peer');
    await run(LOADED_MS);
    expect(known(serverRegistry)?.isDraining).toBe(true);
    store.put(NAME, server(5, { isDraining: true }));
    await run(300);
    expect(known(serverRegistry)?.isDraining).toBe(true);
    serverRegistry.watch.stop();
  });

  it('that are missing are kept until they have had time to register again', async () => {
    const { store, serverRegistry, run } = follow();
    const copy = store.copy();
    store.put(NAME, server(1));
    await run(100);
    store.restore(copy);
    store.access.noteEra(SECOND, 'peer');
    await run(LOADED_MS);
    expect(known(serverRegistry)).toBeDefined();
    await run(MISSING_MS);
    expect(known(serverRegistry)).toBeUndefined();
    serverRegistry.watch.stop();
  });

  it('that were removed return only once they write again', async () => {
    const { store, serverRegistry, run } = follow();
    store.put(NAME, server(3));
    await run(100);
    const copy = store.copy();
    store.remove(NAME);
    store.put('other', makeServer('s2'));
    serverRegistry.applyUpdates({
      since: position(1, FIRST),
      upTo: position(3, FIRST),
      changes: [{ key: NAME }],
    });
    expect([...serverRegistry.servers.values()].some(({ name }) => name === NAME)).toBe(false);
    store.restore(copy);
    store.access.noteEra(SECOND, 'peer');
    await run(LOADED_MS);
    expect([...serverRegistry.servers.values()].some(({ name }) => name === NAME)).toBe(false);
    store.put(NAME, server(4));
    await run(300);
    expect([...serverRegistry.servers.values()].some(({ name }) => name === NAME)).toBe(true);
    serverRegistry.watch.stop();
  });
});

describe('the configuration in force, when the store is restored from an older copy', () => {
  it('stays until the operator writes a newer one', async () => {
    const store = createEraStore<OperatorEntry>();
    const ctx = makeContext({
      clock: createFakeClock(),
      store: store.access,
      tunables: { configMs: 1_000 },
    });
    const version = (n: number) => configEntry(makeConfig({ version: brandAs<ConfigVersion>(n) }));
    store.put('config', version(5));
    const view = createConfigView(ctx, {
      feed: store.feed,
      daemons: () => 3,
      leader: () => undefined,
    });
    await advance(500);
    const copy = store.copy();
    store.put('config', version(8));
    await advance(500);
    expect(view.version()).toBe(8);
    store.restore(copy);
    store.access.noteEra(SECOND, 'peer');
    await advance(LOADED_MS);
    expect(view.version()).toBe(8);
    store.put('config', version(9));
    await advance(LOADED_MS);
    expect(view.version()).toBe(9);
    view.watch.stop();
  });
});

describe('an evacuation amid a series of configurations', () => {
  // Guards against an evacuation that is lost between versions, or that only a leader would tell of.
  it('takes effect without a leader, within a second', async () => {
    const store = createEraStore<OperatorEntry>();
    const ctx = makeContext({
      clock: createFakeClock(),
      store: store.access,
      tunables: { configMs: 5_000 },
    });
    const evacuations = createEvacuations(ctx);
    const options = { feed: store.feed, evacuations, daemons: () => 66, leader: () => undefined };
    const view = createConfigView(ctx, options);
    const zone = brandAs<ZoneId>('zone-a');
    for (let version = 1; version <= 30; version++) {
      store.put('config', configEntry(makeConfig({ version: brandAs<ConfigVersion>(version) })));
      if (version === 10) store.put('row', { kind: 'evacuation', zone });
      await advance(100);
      if (version === 20) expect(evacuations.isEvacuated(zone)).toBe(true);
    }
    await advance(1_000);
    expect([view.version(), evacuations.isEvacuated(zone)]).toEqual([30, true]);
    view.watch.stop();
  });
});

describe('an evacuation, when the store is restored from a copy without its row', () => {
  // Guards against requests to a zone whose evacuation the operator did not end.
  it('lasts until the operator writes to the table again', async () => {
    const store = createEraStore<OperatorEntry>();
    const tunables = { configMs: 1_000 };
    const ctx = makeContext({ clock: createFakeClock(), store: store.access, tunables });
    const zone = brandAs<ZoneId>('zone-a');
    const evacuations = createEvacuations(ctx);
    const options = { feed: store.feed, evacuations, daemons: () => 3, leader: () => undefined };
    const view = createConfigView(ctx, options);
    await advance(500);
    const copy = store.copy();
    store.put('row', { kind: 'evacuation', zone });
    await advance(500);
    store.restore(copy);
    store.access.noteEra(SECOND, 'peer');
    await advance(LOADED_MS);
    expect(evacuations.isEvacuated(zone)).toBe(true);
    store.put('config', configEntry(makeConfig()));
    await advance(LOADED_MS);
    expect(evacuations.isEvacuated(zone)).toBe(false);
    view.watch.stop();
  });
});

describe('server updates from another era', () => {
  it('are not continued from: the same revision has another meaning there', () => {
    expect(canContinueFrom(position(9, FIRST), position(4, FIRST))).toBe(true);
    expect(canContinueFrom(position(9, FIRST), position(4, SECOND))).toBe(false);
    const earlier = {
      since: position(1, FIRST),
      upTo: position(9, FIRST),
      changes: [{ key: 'a' }],
    };
    const later = {
      since: position(4, SECOND),
      upTo: position(5, SECOND),
      changes: [{ key: 'b' }],
    };
    expect(mergeUpdates(earlier, later)).toEqual(later);
  });
});

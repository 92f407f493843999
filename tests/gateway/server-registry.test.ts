import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { describe, expect, it } from 'vitest';

import type { Leader } from '../../src/app/gateway/peer-view';
import type { PeerProgress } from '../../src/app/gateway/messages';
import { createServerRegistry } from '../../src/app/gateway/server-registry';
import { createStoreAccess } from '../../src/app/gateway/store-access';
import type { BackendServer } from '../../src/core/gateway/types';
import { brandAs } from '../../src/core/ids';
import type { EpochTime } from '../../src/core/ids';
import { FIRST_ERA } from '../../src/core/store-era';
import type { Change, Feed } from '../../src/ports/gateway';
import { watchFeed } from '../../src/app/gateway/watch';
import { fail } from '../../src/utils/errors';
import { pause } from '../../src/utils/pause';
import { instance, makeContext, makeServer, position } from './support';

const LEAVING_MS = 100;

const ctx = makeContext({ tunables: { leavingMs: LEAVING_MS } });

/** A collection that changes all the time, and notes when it is asked. */
function createBusyFeed(askedAt: number[]): Feed<BackendServer> {
  let revision = 1;
  const changes = [{ key: 's1', value: makeServer('s1') }];
  return {
    name: 'servers',
    load: () => okAsync({ changes, position: position(revision) }),
    poll: () => {
      askedAt.push(ctx.clock.now());
      revision += 1;
      return okAsync({ changes, position: position(revision) });
    },
  };
}

function leaderWith(progress: Partial<PeerProgress>): () => Pick<Leader, 'at' | 'progress'> {
  const whole = {
    ...{ configVersion: 1, serversAt: position(1), storeEra: FIRST_ERA },
    ...{ isStoreLost: false, storeAgeMs: 0 },
  };
  return () => ({ at: ctx.clock.now(), progress: { ...whole, ...progress } });
}

describe('a daemon that does not lead', () => {
  const countLooks = async (leader: () => Pick<Leader, 'at' | 'progress'> | undefined) => {
    const askedAt: number[] = [];
    const feed = createBusyFeed(askedAt);
    const roster = createServerRegistry(ctx, { feed, isLeading: () => false, leader });
    await new Promise((resolve) => setTimeout(resolve, LEAVING_MS * 8));
    roster.watch.stop();
    return askedAt.length;
  };

  it('looks at the servers itself inside the time that a leaving one allows, without a leader', async () => {
    expect(await countLooks(() => undefined)).toBeGreaterThanOrEqual(4);
  });

  it('leaves it to a leader whose own view is young', async () => {
    expect(await countLooks(leaderWith({ storeAgeMs: 10 }))).toBe(0);
  });

  it.each([
    { reason: 'that the store no longer answers', storeAgeMs: LEAVING_MS },
    { reason: 'that says so', isStoreLost: true },
    { reason: 'whose news did not arrive here', serversAt: position(1_000) },
  ])('looks itself beside a leader $reason', async ({ reason, ...progress }) => {
    expect(await countLooks(leaderWith(progress)), reason).toBeGreaterThanOrEqual(4);
  });
});

describe('a store that does not answer', () => {
  it('is tried by one collection for all, until it answers', async () => {
    const store = createStoreAccess();
    const own = { ...ctx, store };
    const calls = { first: 0, second: 0 };
    let isBack = false;
    const feedOf = (name: 'first' | 'second'): Feed<BackendServer> => ({
      name,
      load: () => {
        calls[name] += 1;
        if (isBack) return okAsync({ changes: [], position: position(1) });
        return errAsync(fail('store-unavailable', 'away', { step: 'load' }));
      },
      poll: () => ResultAsync.fromSafePromise(new Promise(() => undefined)),
    });
    const watches = [feedOf('first'), feedOf('second')].map((feed) =>
      watchFeed(own, { feed, apply: () => undefined }),
    );
    await pause(1_200);
    expect(store.isAway()).toBe(true);
    expect(calls.second).toBe(1);
    expect(calls.first).toBeGreaterThan(2);
    isBack = true;
    await pause(700);
    expect(watches.map((watch) => watch.isFailing())).toEqual([false, false]);
    expect(store.isAway()).toBe(false);
    for (const watch of watches) watch.stop();
  });
});

describe('a server that starts again under its name', () => {
  const lifeOf = (startedAt: number): BackendServer => ({
    ...makeServer('s1'),
    id: instance(`s1@${startedAt}`),
    startedAt: brandAs<EpochTime>(startedAt),
  });

  /** A collection that gives one batch of changes after the other. */
  const rosterOf = async (...batches: readonly (readonly Change<BackendServer>[])[]) => {
    let revision = 0;
    const next = () => {
      const changes = batches[revision];
      revision += 1;
      if (changes) return okAsync({ changes, position: position(revision) });
      return ResultAsync.fromSafePromise(new Promise<never>(() => undefined));
    };
    const feed: Feed<BackendServer> = { name: 'servers', load: next, poll: next };
    const roster = createServerRegistry(ctx, {
      feed,
      isLeading: () => true,
      leader: () => undefined,
    });
    await pause(250);
    roster.watch.stop();
    return roster;
  };

  it('is another one, and the life before has ended', async () => {
    const first = lifeOf(1);
    const second = lifeOf(2);
    const roster = await rosterOf([{ key: 's1', value: first }], [{ key: 's1', value: second }]);
    expect([...roster.servers.keys()]).toEqual([second.id]);
    expect([...roster.ended.keys()]).toEqual([first.id]);
    expect(roster.lapsed.size).toBe(0);
  });

  it('stays so when an entry of the earlier life comes late', async () => {
    const late = { key: 's1', value: lifeOf(1) };
    const roster = await rosterOf([late], [{ key: 's1', value: lifeOf(2) }], [late]);
    expect([...roster.servers.keys()]).toEqual([lifeOf(2).id]);
  });

  it('is gone with the entry of its name', async () => {
    const roster = await rosterOf([{ key: 's1', value: lifeOf(3) }], [{ key: 's1' }]);
    expect(roster.servers.size).toBe(0);
    expect([...roster.lapsed.keys()]).toEqual([lifeOf(3).id]);
  });
});

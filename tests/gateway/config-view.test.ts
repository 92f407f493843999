import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { describe, expect, it, vi } from 'vitest';

import { createConfigView } from '../../src/app/gateway/config-view';
import type { PeerProgress } from '../../src/app/gateway/messages';
import { brandAs } from '../../src/core/ids';
import type { ConfigVersion } from '../../src/core/ids';
import type { Feed, OperatorEntry } from '../../src/ports/gateway';
import { fail } from '../../src/utils/errors';
import { pause } from '../../src/utils/pause';
import { createFakeClock, fakeTime } from './fake-time';
import { FIRST_ERA } from '../../src/core/store-era';
import { configEntry, makeConfig, makeContext, position } from './support';

const CONFIG_MS = 1_000;

describe('a rapid series of versions', () => {
  it('needs few calls and puts the newest version in force in time', async () => {
    const ctx = makeContext({ tunables: { configMs: CONFIG_MS } });
    let newest = 1;
    let calls = 0;
    const read = () => {
      calls += 1;
      const value = configEntry(makeConfig({ version: brandAs<ConfigVersion>(newest) }));
      return okAsync({ changes: [{ key: 'config', value }], position: position(newest) });
    };
    const feed: Feed<OperatorEntry> = {
      name: 'config',
      load: read,
      poll: ({ revision }) =>
        newest > revision ? read() : ResultAsync.fromSafePromise(pause(10)).andThen(read),
    };
    const view = createConfigView(ctx, { feed, daemons: () => 3, leader: () => undefined });
    for (let version = 2; version <= 30; version++) {
      newest = version;
      await pause(10);
    }
    const writtenAt = ctx.clock.now();
    while (view.version() < newest) await pause(5);
    view.watch.stop();
    expect(ctx.clock.now() - writtenAt).toBeLessThan(CONFIG_MS / 2);
    expect(calls).toBeLessThan(8);
  });
});

describe('a daemon whose leader reports the age of its configuration', () => {
  const WATCHED_MS = 12_000;
  const SETTLE_MS = 3_000;

  /**
   * Counts polls during the watched time, with a store that never answers again after the first
   * answer.
   */
  const countPolls = async (progress: Partial<PeerProgress> | undefined): Promise<number> => {
    const clock = createFakeClock();
    const ctx = makeContext({
      tunables: { configMs: CONFIG_MS, settleMs: SETTLE_MS },
      clock,
    });
    let polls = 0;
    const value = configEntry(makeConfig({ version: brandAs<ConfigVersion>(1) }));
    const feed: Feed<OperatorEntry> = {
      name: 'config',
      load: () => okAsync({ changes: [{ key: 'config', value }], position: position(1) }),
      poll: (_, __, signal) => {
        polls += 1;
        const aborted = new Promise<void>((resolve) => {
          signal.addEventListener('abort', () => {
            resolve();
          });
        });
        return ResultAsync.fromSafePromise(aborted).andThen(() =>
          errAsync(fail('store-unavailable', 'no answer', { step: 'poll' })),
        );
      },
    };
    const baseProgress = {
      ...{ configVersion: 1, serversAt: position(1), storeEra: FIRST_ERA },
      ...{ isStoreLost: false, storeAgeMs: 0 },
    };
    const view = createConfigView(ctx, {
      feed,
      daemons: () => 70,
      leader: () => progress && { at: clock.now(), progress: { ...baseProgress, ...progress } },
    });
    await vi.advanceTimersByTimeAsync(WATCHED_MS);
    view.watch.stop();
    return polls;
  };

  fakeTime();

  it('keeps its poll open while that is fresh', async () => {
    expect(await countPolls({ configAgeMs: 1_000 })).toBe(1);
  });

  it.each([
    { progress: undefined, why: 'there is no leader' },
    { progress: { configAgeMs: SETTLE_MS }, why: 'the reported age is too high' },
    { progress: { configAgeMs: 0, configVersion: 2 }, why: 'the leader knows another version' },
    { progress: {}, why: 'the leader reports no age' },
  ])('polls again within the settling time if $why', async ({ progress }) => {
    expect(await countPolls(progress)).toBeGreaterThanOrEqual(WATCHED_MS / SETTLE_MS);
  });
});

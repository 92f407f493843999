import { okAsync, ResultAsync } from 'neverthrow';
import { describe, expect, it } from 'vitest';

import { createConfigView } from '../../src/app/gateway/config-view';
import { brandAs } from '../../src/core/ids';
import type { ConfigVersion } from '../../src/core/ids';
import type { GatewayConfig } from '../../src/core/gateway/types';
import type { Feed } from '../../src/ports/gateway';
import { pause } from '../../src/utils/pause';
import { makeConfig, makeContext } from './support';

const CONFIG_MS = 1_000;

describe('a quick series of versions', () => {
  it('takes a few calls, and ends with the newest one in force in time', async () => {
    const ctx = makeContext({ tunables: { configMs: CONFIG_MS } });
    let newest = 1;
    let calls = 0;
    const read = () => {
      calls += 1;
      const value = makeConfig({ version: brandAs<ConfigVersion>(newest) });
      return okAsync({ changes: [{ key: 'config', value }], revision: newest });
    };
    const feed: Feed<GatewayConfig> = {
      name: 'config',
      load: read,
      poll: (revision) =>
        newest > revision ? read() : ResultAsync.fromSafePromise(pause(10)).andThen(read),
    };
    const view = createConfigView(ctx, feed, () => 3);
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

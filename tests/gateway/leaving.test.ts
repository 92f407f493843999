import { okAsync, ResultAsync } from 'neverthrow';
import { describe, expect, it } from 'vitest';

import { dialect } from '../../platform/ingress';
import { HEADERS } from '../../platform/names';
import { createLeavingServers } from '../../src/app/gateway/leaving-servers';
import { createServerRegistry } from '../../src/app/gateway/server-registry';
import type { BackendServer } from '../../src/core/gateway/types';
import type { Feed } from '../../src/ports/gateway';
import { pause } from '../../src/utils/pause';
import { instance, makeContext, makeServer, position } from './support';

const ctx = makeContext({ tunables: { leavingMs: 100 } });
const SERVER = instance('s1');
const LOADED_MS = 20;
const AGAIN_MS = 200;

/** A daemon whose server list keeps showing the server as not leaving. */
async function setUp() {
  const changes = [{ key: 's1', value: makeServer('s1') }];
  let revision = 0;
  const feed: Feed<BackendServer> = {
    name: 'servers',
    load: () => okAsync({ changes, position: position((revision += 1)) }),
    poll: () =>
      ResultAsync.fromSafePromise(pause(AGAIN_MS)).map(() => ({
        changes,
        position: position((revision += 1)),
      })),
  };
  const serverRegistry = createServerRegistry(ctx, {
    feed,
    isLeading: () => true,
    leader: () => undefined,
  });
  await pause(LOADED_MS);
  let changed = 0;
  serverRegistry.changes.subscribe(() => (changed += 1));
  return {
    serverRegistry,
    leaving: createLeavingServers(ctx, serverRegistry),
    changes: () => changed,
  };
}

describe('a server that announces in an answer that it is leaving', () => {
  it('is draining at once, whatever its entry shows', async () => {
    const { serverRegistry, leaving: leavingServers, changes } = await setUp();
    leavingServers.note(SERVER);
    expect(changes()).toBe(1);
    expect(serverRegistry.servers.get(SERVER)?.isDraining).toBe(true);
    await pause(2 * AGAIN_MS);
    expect(changes()).toBeGreaterThan(1);
    expect(serverRegistry.servers.get(SERVER)?.isDraining).toBe(true);
    serverRegistry.watch.stop();
  });

  it('is reported to peers once, by the daemon that received the answer and by the leader', async () => {
    const [here, peer] = await Promise.all([setUp(), setUp()]);
    here.leaving.note(SERVER);
    here.leaving.note(SERVER);
    expect(here.leaving.report()).toEqual([SERVER]);
    peer.leaving.applyReport(here.leaving.report(), 'peer');
    expect(peer.serverRegistry.servers.get(SERVER)?.isDraining).toBe(true);
    expect(peer.leaving.report()).toEqual([]);
    expect(peer.leaving.report({ ofAll: true })).toEqual([SERVER]);
    for (const { serverRegistry } of [here, peer]) serverRegistry.watch.stop();
  });

  it.each([
    ['1', true, 0],
    ['1, 1', true, 0],
    ['0', false, 0],
    ['yes', false, 1],
    ['', false, 1],
  ])('is parsed from the header: %j', (text, isLeaving, unreadable) => {
    const facts = dialect.parseResponse(200, { [HEADERS.leaving]: text });
    expect(facts.isLeaving).toBe(isLeaving);
    expect(facts.unreadable).toHaveLength(unreadable);
  });

  it('is not the intended one if another server answers at its address', () => {
    expect(dialect.parseResponse(421, { [HEADERS.leaving]: '1' }).isFromOtherServer).toBe(true);
  });
});

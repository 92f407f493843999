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

/** A daemon whose list goes on showing the server as one that stays. */
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
  const roster = createServerRegistry(ctx, {
    feed,
    isLeading: () => true,
    leader: () => undefined,
  });
  await pause(LOADED_MS);
  let changed = 0;
  roster.changes.subscribe(() => (changed += 1));
  return { roster, leaving: createLeavingServers(ctx, roster), changes: () => changed };
}

describe('a server that says in an answer that it leaves', () => {
  it('leaves at once, and whatever its entry goes on to say', async () => {
    const { roster, leaving, changes } = await setUp();
    leaving.note(SERVER);
    expect(changes()).toBe(1);
    expect(roster.servers.get(SERVER)?.isDraining).toBe(true);
    await pause(2 * AGAIN_MS);
    expect(changes()).toBeGreaterThan(1);
    expect(roster.servers.get(SERVER)?.isDraining).toBe(true);
    roster.watch.stop();
  });

  it('is told to peers once, by the daemon that it said so to, and by their leader', async () => {
    const [here, peer] = await Promise.all([setUp(), setUp()]);
    here.leaving.note(SERVER);
    here.leaving.note(SERVER);
    expect(here.leaving.report()).toEqual([SERVER]);
    peer.leaving.applyReport(here.leaving.report(), 'peer');
    expect(peer.roster.servers.get(SERVER)?.isDraining).toBe(true);
    expect(peer.leaving.report()).toEqual([]);
    expect(peer.leaving.report({ ofAll: true })).toEqual([SERVER]);
    for (const { roster } of [here, peer]) roster.watch.stop();
  });

  it.each([
    ['1', true, 0],
    ['1, 1', true, 0],
    ['0', false, 0],
    ['yes', false, 1],
    ['', false, 1],
  ])('is read on the wire: %j', (text, isLeaving, unreadable) => {
    const facts = dialect.readAnswer(200, { [HEADERS.leaving]: text });
    expect(facts.isLeaving).toBe(isLeaving);
    expect(facts.unreadable).toHaveLength(unreadable);
  });

  it('is not the one that was meant, where another answers at its address', () => {
    expect(dialect.readAnswer(421, { [HEADERS.leaving]: '1' }).isOfOther).toBe(true);
  });
});

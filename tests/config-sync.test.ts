import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { HEAD_KEY, versionKey } from '../src/core/config/rows';
import type { Json } from '../src/ports/platform';
import { amend, createConfigWorld, inForce, shareIn } from './support/config-daemons';
import type { ConfigDaemon, ConfigWorld } from './support/config-daemons';

const NEVER_POLL = { pollMs: 1e8 };

let world: ConfigWorld;
let daemons: ConfigDaemon[];

async function startDaemons(count: number, settings = {}): Promise<void> {
  world = createConfigWorld(settings);
  daemons = Array.from({ length: count }, (_, i) => world.addDaemon(`daemon-${i}`));
  await Promise.all(daemons.map(({ config }) => config.start()));
}

function at(index: number): ConfigDaemon {
  const daemon = daemons[index];
  if (!daemon) throw new RangeError(`no daemon ${index}`);
  return daemon;
}

async function allInForce(version: number): Promise<void> {
  await Promise.all(daemons.map(({ config }) => inForce(config, version)));
}

afterEach(() => world.stop());

describe('an accepted change', () => {
  it('comes into force on every daemon by push alone, without a read of its document', async () => {
    await startDaemons(4, NEVER_POLL);
    await amend(at(0), 'c1', 1, 0);
    await allInForce(1);
    const { reads } = world.table.counts;
    await amend(at(1), 'c2', 2, 1);
    await allInForce(2);
    // The submitting daemon reads head and change ids; no other reads anything.
    expect(world.table.counts.reads).toBe(reads + 1);
    expect(daemons.map(({ config }) => shareIn(config))).toEqual([2, 2, 2, 2]);
  });

  it('comes into force by poll when every push is lost', async () => {
    await startDaemons(4);
    world.hub.faults.loseGossip = true;
    await amend(at(0), 'c1', 1, 0);
    await amend(at(1), 'c2', 2, 1);
    await allInForce(2);
  });

  it('reaches a daemon that was partitioned from peers and table, once it is reconnected', async () => {
    await startDaemons(3);
    world.hub.cut.add('daemon-2');
    at(2).faults.down = true;
    await amend(at(0), 'c1', 1, 0);
    await amend(at(1), 'c2', 2, 1);
    expect(at(2).config.current().version).toBe(0);
    world.hub.cut.clear();
    at(2).faults.down = false;
    await allInForce(2);
  });

  it('reaches a new daemon from a peer while the table is down', async () => {
    await startDaemons(2);
    await amend(at(0), 'c1', 7, 0);
    await allInForce(1);
    const late = world.addDaemon('late');
    late.faults.down = true;
    await late.config.start();
    await inForce(late.config, 1);
    expect(shareIn(late.config)).toBe(7);
  });
});

describe('the configuration in force', () => {
  beforeEach(async () => {
    await startDaemons(2);
    await amend(at(0), 'c1', 1, 0);
    await allInForce(1);
  });

  function replaceRow(key: string, change: (value: Record<string, Json>) => Json): void {
    const row = world.table.rows.get(key);
    if (!row) throw new RangeError(`no row ${key}`);
    const value = change(structuredClone(row.value) as Record<string, Json>);
    world.table.rows.set(key, { ...row, value });
  }

  async function alarmOf(daemon: ConfigDaemon): Promise<string> {
    while (daemon.alarms.length === 0) await new Promise(setImmediate);
    return daemon.alarms[0] ?? '';
  }

  it('never reverts to an older version, even if the head row in the table does', async () => {
    await amend(at(0), 'c2', 2, 1);
    await allInForce(2);
    replaceRow(HEAD_KEY, (value) => ({ ...value, version: 1 }));
    expect(await alarmOf(at(1))).toBe('config-ahead');
    expect(at(1).config.current().version).toBe(2);
  });

  it('rejects a pushed change that does not match its hash, and fetches the document', async () => {
    world.hub.tamper = (entry) => {
      const text = JSON.stringify(entry.value).replace('"share":2', '"share":9');
      return { ...entry, value: JSON.parse(text) as Json };
    };
    await amend(at(0), 'c2', 2, 1);
    await allInForce(2);
    expect(shareIn(at(1).config)).toBe(2);
  });

  it('stays and raises an alarm when the newest document in the table is corrupt', async () => {
    at(1).faults.down = true;
    world.hub.cut.add('daemon-1');
    await amend(at(0), 'c2', 2, 1);
    replaceRow(versionKey(2), (value) => ({ ...value, document: { templates: {} } }));
    at(1).faults.down = false;
    expect(await alarmOf(at(1))).toBe('config-corrupt');
    expect(shareIn(at(1).config)).toBe(1);
  });

  it('stays and raises an alarm when the head row has an unknown schema', async () => {
    replaceRow(HEAD_KEY, (value) => ({ ...value, schema: 99, version: 2 }));
    expect(await alarmOf(at(0))).toBe('config-unreadable');
    expect(at(0).config.current().version).toBe(1);
    const done = await at(0).config.submit({ changeId: 'c2', document: {} });
    expect(done._unsafeUnwrapErr().code).toBe('unavailable');
  });

  it('stays while the table is down, and is returned by a read', async () => {
    at(1).faults.down = true;
    const read = await at(1).config.read();
    expect(read._unsafeUnwrap().version).toBe(1);
  });
});

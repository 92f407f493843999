import { afterEach, describe, expect, it } from 'vitest';

import type { GossipEntry } from '../src/app/parts';
import type { EpochTime } from '../src/core/ids';
import { stateIn, startFleet, until } from './support/membership-daemons';
import type { Fleet, TestDaemon } from './support/membership-daemons';

let fleet: Fleet;

afterEach(() => fleet.stop());

function at(index: number): TestDaemon {
  const daemon = fleet.daemons[index];
  if (!daemon) throw new RangeError(`no daemon ${index}`);
  return daemon;
}

function soon(): EpochTime {
  return (Date.now() + 60_000) as EpochTime;
}

async function allKnow(count: number): Promise<void> {
  await until(`${count} daemons know each other`, () =>
    fleet.daemons.slice(0, count).every((daemon) => daemon.part.peers().length === count),
  );
}

function others(): readonly TestDaemon[] {
  return fleet.daemons.slice(1);
}

describe('daemons over TCP', () => {
  it('find each other through one seed', async () => {
    fleet = await startFleet({ count: 7, seeds: 1 });
    await allKnow(7);
    expect(
      at(3)
        .part.peers()
        .map(({ id }) => id),
    ).toEqual(fleet.daemons.map(({ id }) => id));
  });

  it('deliver an entry to all once, and each newer version once', async () => {
    fleet = await startFleet({ count: 7 });
    await allKnow(7);
    const got: GossipEntry[] = [];
    at(6).part.gossip.received.subscribe((entry) => got.push(entry));
    at(0).part.gossip.publish('topic', 'key', 1, soon());
    at(0).part.gossip.publish('topic', 'key', 2, soon());
    await until('the last version is everywhere', () =>
      others().every(({ part }) => part.gossip.entries('topic')[0]?.value === 2),
    );
    const versions = got.map(({ version }) => version);
    expect(versions).toEqual([...new Set(versions)].sort());
    expect(got.at(-1)?.value).toBe(2);
  });

  it('deliver an entry to all whose expiry is not a whole millisecond', async () => {
    fleet = await startFleet({ count: 3 });
    await allKnow(3);
    const expiresAt = (Math.floor(Date.now()) + 60_000.5) as EpochTime;
    at(0).part.gossip.publish('topic', 'key', 1, expiresAt);
    await until('the entry is everywhere', () =>
      others().every(({ part }) => part.gossip.entries('topic')[0]?.value === 1),
    );
  });

  it('announce the version of the configuration in force', async () => {
    fleet = await startFleet({ count: 3 });
    await allKnow(3);
    at(0).configVersion = 5;
    await until('version 5 is known', () =>
      others().every(({ part, id }) =>
        part.peers().some((peer) => peer.id !== id && peer.configVersion === 5),
      ),
    );
  });

  it('treat a daemon that stops as leaving at once, without suspicion', async () => {
    fleet = await startFleet({ count: 5 });
    await allKnow(5);
    const seen = new Set<string>();
    at(1).part.changes.subscribe(() => seen.add(stateIn(at(1), 'daemon-0')));
    await at(0).part.stop();
    await until('daemon-0 is leaving or gone', () =>
      others().every((daemon) => ['leaving', 'gone'].includes(stateIn(daemon, 'daemon-0'))),
    );
    expect(seen.has('leaving')).toBe(true);
    expect(seen.has('suspect')).toBe(false);
  });

  it('declare a partitioned daemon dead, and alive again once the partition heals', async () => {
    fleet = await startFleet({ count: 5 });
    await allKnow(5);
    fleet.partition('daemon-0');
    await until('daemon-0 is gone', () =>
      others().every((daemon) => stateIn(daemon, 'daemon-0') === 'gone'),
    );
    await until('all others are gone for daemon-0', () => at(0).part.peers().length === 1);
    at(1).part.gossip.publish('topic', 'missed', 1, soon());
    fleet.heal('daemon-0');
    await allKnow(5);
    await until('the missed entry arrives', () => at(0).part.gossip.entries('topic').length === 1);
  });

  it('treat entries of a restarted daemon as newer', async () => {
    fleet = await startFleet({ count: 3 });
    await allKnow(3);
    at(0).part.gossip.publish('topic', 'key', 'old', soon());
    await until('the old entry is known', () => at(1).part.gossip.entries('topic').length === 1);
    await at(0).part.stop();
    const restarted = await fleet.add('daemon-0');
    restarted.part.gossip.publish('topic', 'key', 'new', soon());
    await until('the new entry is known', () =>
      [at(1), at(2)].every(({ part }) => part.gossip.entries('topic')[0]?.value === 'new'),
    );
    await until('it is alive', () => stateIn(at(1), 'daemon-0') === 'alive');
  });

  it('deliver a direct message to one daemon only', async () => {
    fleet = await startFleet({ count: 3 });
    await allKnow(3);
    const got: string[] = [];
    for (const { id, part } of fleet.daemons) {
      part.direct.received.subscribe(({ from, topic, value }) => {
        got.push(`${id} from ${from}: ${topic} ${JSON.stringify(value)}`);
      });
    }
    expect(at(0).part.direct.send(at(1).id, 'hello', { n: 1 })).toBe(true);
    await until('it arrives', () => got.length > 0);
    expect(got).toEqual(['daemon-1 from daemon-0: hello {"n":1}']);
    expect(at(0).part.direct.send('nobody' as TestDaemon['id'], 'x', 1)).toBe(false);
  });

  it('raise an alarm when two processes use one id', async () => {
    fleet = await startFleet({ count: 3 });
    await allKnow(3);
    const duplicate = await fleet.add('daemon-0');
    await until('either raises an alarm', () =>
      [at(0), duplicate].some(({ alarms }) => alarms.includes('duplicate-id')),
    );
  });
});

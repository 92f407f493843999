import { readFileSync } from 'node:fs';
import { afterEach, describe, expect, it } from 'vitest';

import type { EpochTime } from '../../src/core/ids';
import { stateIn, startFleet, until } from '../support/membership-daemons';
import type { Fleet } from '../support/membership-daemons';
import { closed, rawSocket } from '../support/raw-peers';

let fleet: Fleet;

afterEach(() => fleet.stop());

function pem(name: string): string {
  return readFileSync(new URL(`../support/tls/${name}.pem`, import.meta.url), 'utf8');
}

const TLS = { cert: pem('daemon'), key: pem('daemon-key'), ca: pem('ca') };

async function allKnow(count: number): Promise<void> {
  await until('all know each other', () =>
    fleet.daemons.every(({ part }) => part.peers().length === count),
  );
}

describe('links that stop delivering', () => {
  it('are replaced: all daemons see each other alive and entries still spread', async () => {
    fleet = await startFleet({ count: 3 });
    await allKnow(3);
    const reporters = new Set<string>();
    for (const daemon of fleet.daemons) {
      daemon.part.changes.subscribe((peers) => {
        if (peers.length < 3) reporters.add(daemon.id);
      });
    }
    for (const { id } of fleet.daemons) fleet.silence(id);
    const expiresAt = (Date.now() + 60_000) as EpochTime;
    for (const { part } of fleet.daemons) part.gossip.publish('topic', 'key', 1, expiresAt);
    await until('every entry arrives everywhere', () =>
      fleet.daemons.every(({ part }) => part.gossip.entries('topic').length === 3),
    );
    await until('all are alive', () =>
      fleet.daemons.every((viewer) =>
        fleet.daemons.every(({ id }) => stateIn(viewer, id) === 'alive'),
      ),
    );
    expect([...reporters]).toEqual([]);
  });
});

describe('daemons with certificates', () => {
  it('discover each other over TLS and reject plaintext connections', async () => {
    fleet = await startFleet({ count: 3, tls: TLS });
    await allKnow(3);
    const socket = await rawSocket(fleet.daemons[0]?.address ?? '');
    socket.write(Buffer.alloc(100, 1));
    await closed(socket);
  });
});

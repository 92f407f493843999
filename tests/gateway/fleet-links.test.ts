import { afterEach, describe, expect, it } from 'vitest';
import { okAsync, ResultAsync } from 'neverthrow';

import { createFleet } from '../../src/app/gateway/fleet';
import type { Fleet } from '../../src/app/gateway/fleet';
import { brandAs } from '../../src/core/ids';
import type { DaemonId } from '../../src/core/ids';
import type { DaemonEntry, Feed } from '../../src/ports/gateway';
import { pause } from '../../src/utils/pause';
import { startProxy } from '../soak/proxy';
import type { Proxy } from '../soak/proxy';
import { makeContext, makeState, position } from './support';

const PORT = 21_800;
const SETTLE_MS = 3_000;
const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

async function startFleet(n: number, seed: string): Promise<Fleet> {
  const ctx = makeContext({
    settings: {
      id: brandAs<DaemonId>(`daemon-${n}`),
      cores: 1,
      peerListen: `127.0.0.1:${PORT + 2 * n + 1}`,
      peerBind: `127.0.0.1:${PORT + 2 * n}`,
      peerSecret: 'a secret of this test alone',
    },
    tunables: { seeds: [seed], settleMs: SETTLE_MS },
  });
  const never = ResultAsync.fromSafePromise<never>(new Promise(() => undefined));
  const entries: Feed<DaemonEntry> = {
    name: 'daemons',
    load: () => okAsync({ changes: [], position: position(1) }),
    poll: () => never,
  };
  const fleet = createFleet(ctx, entries);
  await fleet.start();
  const broadcastTimer = setInterval(() => {
    fleet.broadcast(makeState());
  }, 100);
  closers.push(() => {
    clearInterval(broadcastTimer);
    return fleet.stop();
  });
  return fleet;
}

async function startPair(): Promise<{ fleets: readonly Fleet[]; proxies: readonly Proxy[] }> {
  const addresses = [0, 1].map((n) => `127.0.0.1:${PORT + 2 * n}`);
  const proxies = await Promise.all(
    addresses.map((address, n) => startProxy(`127.0.0.1:${PORT + 2 * n + 1}`, address)),
  );
  for (const proxy of proxies) {
    closers.push(() => {
      proxy.close();
    });
  }
  const fleets = [
    await startFleet(0, `127.0.0.1:${PORT + 3}`),
    await startFleet(1, `127.0.0.1:${PORT + 1}`),
  ];
  await pause(500);
  return { fleets, proxies };
}

const countLivePeers = (fleets: readonly Fleet[]): number[] =>
  fleets.map((fleet) => fleet.live().length);

describe('daemons whose links fell silent without an error', () => {
  it.each([
    { which: 'all links', muted: [0, 1] },
    { which: 'the links to one of them', muted: [0] },
    { which: 'the links to the other', muted: [1] },
  ])('reconnect within the settling time: $which', async (row) => {
    const { fleets, proxies } = await startPair();
    expect(countLivePeers(fleets)).toEqual([1, 1]);
    for (const n of row.muted) proxies[n]?.mute();
    await pause(SETTLE_MS + 200);
    // Live means heard from in the last 1.5 s, so these links were made after the disruption.
    expect(countLivePeers(fleets)).toEqual([1, 1]);
    await pause(2_000);
    expect(countLivePeers(fleets)).toEqual([1, 1]);
  });
});

import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { ObservedState } from '../../src/adapters/upstream/forward-client';
import type { ListeningState } from '../../src/adapters/upstream/listening';
import { createServerLinkWatch } from '../../src/app/gateway/server-links';
import type { ServerLinkWatch } from '../../src/app/gateway/server-links';
import { brandAs } from '../../src/core/ids';
import type { DaemonId, EpochTime, ZoneId } from '../../src/core/ids';
import { at, makeContext, SERVICE } from './support';

const SERVERS = ['s0:1', 's1:1', 's2:1', 's3:1'];
const PEERS = ['p0', 'p1', 'p2'];
const TICK_MS = 50;

interface World {
  readonly links: ServerLinkWatch;
  readonly run: (ms: number) => Promise<void>;
}

/** A daemon whose servers answer it after `serverMs`, never if infinite, and its peers after `peerMs`. */
function setUp(serverMs: number, peerMs: number): World {
  const after = <T>(ms: number, value: T): Promise<T> =>
    new Promise((resolve) => {
      setTimeout(() => {
        resolve(value);
      }, ms);
    });
  const answer = <T>(tookMs: number, limitMs: number, inTime: T, late: T): Promise<T> =>
    tookMs < limitMs ? after(tookMs, inTime) : after(limitMs, late);
  const clock = { now: () => at(Date.now()), epoch: () => brandAs<EpochTime>(Date.now()) };
  const settings = { id: brandAs<DaemonId>('self'), zone: brandAs<ZoneId>('a') };
  const links = createServerLinkWatch(makeContext({ clock, settings }), {
    servers: {
      serviceOf: () => SERVICE,
      count: () => SERVERS.length,
      sample: (count) => SERVERS.slice(0, count).map((address) => ({ address, service: SERVICE })),
    },
    peers: () =>
      PEERS.map((id) => ({
        ...{ id: brandAs<DaemonId>(id), zone: brandAs<ZoneId>('a'), forwardAddress: `${id}:2` },
        ...{ cutOff: new Set(), isStopping: false },
      })),
    activity: () => ({ inFlight: 1, receivedBytes: 0 }),
    checkListening: (_, limitMs) =>
      answer<ListeningState>(serverMs, limitMs, 'listening', 'unreachable'),
    askPeer: (_, __, limitMs) => answer<ObservedState>(peerMs, limitMs, 'listening', 'unknown'),
  });
  const run = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      await vi.advanceTimersByTimeAsync(TICK_MS);
      links.tick();
    }
  };
  return { links, run };
}

describe('a daemon whose own link is slow', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against sending requests through peers over the same slow link, because connections to servers time out.
  it.each([300, 390])('keeps sending directly where its peers answer in %i ms too', async (ms) => {
    const { links, run } = setUp(ms, ms);
    for (const address of SERVERS) links.noteConnect(address, false);
    await run(4_000);
    expect(links.cutOff()).toEqual([]);
    expect(SERVERS.filter((address) => links.isBlocked(address))).toEqual([]);
  });

  // Guards against the same where a broken connection has the server checked.
  it('does not take a server that answers late for blocked after its connection broke', async () => {
    const { links, run } = setUp(300, 300);
    const found = links.findState('s0:1', 100);
    await run(4_000);
    expect(await found).toBe('listening');
    expect(links.isBlocked('s0:1')).toBe(false);
  });

  // Guards against never finding a link that has failed while peers are slow as well.
  it('sends through peers if servers do not answer in a second while slow peers reach them', async () => {
    const { links, run } = setUp(Infinity, 300);
    for (const address of SERVERS) links.noteConnect(address, false);
    await run(4_000);
    expect(links.cutOff()).toEqual([SERVICE]);
  });

  // Guards against a delay of that where only the link to servers has failed.
  it('sends through peers soon if peers answer as usual', async () => {
    const { links, run } = setUp(Infinity, 5);
    links.noteConnect('s0:1', false);
    await run(100);
    expect(links.isBlocked('s0:1')).toBe(true);
  });
});

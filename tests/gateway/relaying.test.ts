import { describe, expect, it } from 'vitest';

import { createClock } from '../../src/adapters/runtime';
import type { Leader, PeerView } from '../../src/app/gateway/peer-view';
import type { GatewayMessage } from '../../src/app/gateway/messages';
import { createRelaying } from '../../src/app/gateway/relaying';
import type { Relaying } from '../../src/app/gateway/relaying';
import { brandAs, later } from '../../src/core/ids';
import type { DaemonId, ZoneId } from '../../src/core/ids';
import { makeContext, makeLoads, makeState } from './support';

const DAEMONS = 195;
const LEADER = 0;
const STEP_MS = 50;
const SEND_INTERVAL_MS = 200;

const LOADS = makeLoads({ daemons: DAEMONS });

interface Daemon {
  readonly relaying: Relaying;
  isUp: boolean;
  leader: Leader | undefined;
  sends: number;
}

/** A fleet with instant message delivery; a daemon that is down neither sends nor receives. */
function createFleet() {
  const clock = createClock();
  let now = clock.now();
  const daemons: Daemon[] = [];
  /** The last state of each peer that the leader received. */
  const lastStates = new Map<DaemonId, PeerView>();

  const addressOf = (n: number): string => `a${n}`;

  const receive = (n: number, via: string, message: GatewayMessage): void => {
    const daemon = daemons[n];
    if (!daemon?.isUp) return;
    if (message.kind === 'relayed') {
      const { from, address, message: inner } = daemon.relaying.forward(message, via);
      if (inner.kind === 'loads') {
        daemon.leader = { id: from, address, via, at: now, progress: inner };
      }
    }
    if (message.kind === 'loads') {
      const id = brandAs<DaemonId>('d0');
      daemon.leader = { id, address: addressOf(LEADER), via, at: now, progress: message };
    }
    if (message.kind === 'state') {
      const from = Number(via.slice(1));
      const id = brandAs<DaemonId>(`d${from}`);
      if (n === LEADER) lastStates.set(id, { ...message, id, address: via, at: now });
      else daemon.relaying.collect(id, via, message);
    }
    if (message.kind === 'states') {
      for (const { id, address, state } of message.states) {
        lastStates.set(id, { ...state, id, address, at: now });
      }
    }
  };

  const sender = (n: number) => (addresses: Iterable<string>, message: GatewayMessage) => {
    const daemon = daemons[n];
    for (const address of addresses) {
      if (daemon) daemon.sends += 1;
      receive(Number(address.slice(1)), addressOf(n), message);
    }
  };

  for (let n = 0; n < DAEMONS; n++) {
    const ctx = makeContext({
      settings: { id: brandAs<DaemonId>(`d${n}`), peerListen: addressOf(n) },
      clock: { ...clock, now: () => now },
    });
    const send = sender(n);
    const relaying = createRelaying(ctx, { sendExpectingReply: send, sendToAll: send });
    daemons.push({ relaying, isUp: true, leader: undefined, sends: 0 });
  }

  const allPeers = daemons.map((_, n) => addressOf(n)).filter((_, n) => n !== LEADER);

  const sendUpdate = (daemon: Daemon, n: number): void => {
    if (n === LEADER) {
      daemon.relaying.broadcast(LOADS, [...lastStates.values()], allPeers);
      return;
    }
    const { leader } = daemon;
    const hearsLeader = leader !== undefined && now < later(leader.at, 1_200);
    const state = makeState({
      hearsLeader,
      zone: brandAs<ZoneId>(`z${n % 5}`),
      cores: n < 16 ? 1.35 : 0.324,
    });
    sender(n)([hearsLeader ? leader.via : addressOf(LEADER)], state);
  };

  return {
    daemons,
    run: (ms: number): void => {
      for (let passed = 0; passed < ms; passed += STEP_MS) {
        now = later(now, STEP_MS);
        daemons.forEach((daemon, n) => {
          if (!daemon.isUp) return;
          if (passed % SEND_INTERVAL_MS === 0) sendUpdate(daemon, n);
          daemon.relaying.flush(daemon.leader);
        });
      }
    },
    /** Longest time since a running daemon received a message of the leader, milliseconds. */
    oldestMs: (): number =>
      Math.max(
        ...daemons.map(({ isUp, leader }, n) =>
          !isUp || n === LEADER ? 0 : leader ? now - leader.at : Infinity,
        ),
      ),
    heardMs: (): number => Math.max(...[...lastStates.values()].map(({ at }) => now - at)),
    relays: (): Set<string> =>
      new Set(daemons.flatMap(({ leader }) => (leader && leader.via !== 'a0' ? [leader.via] : []))),
  };
}

describe('a fleet of 195 daemons', () => {
  it('exchanges messages with its leader within half a second', () => {
    const fleet = createFleet();
    fleet.run(3_000);
    expect(fleet.oldestMs()).toBeLessThanOrEqual(SEND_INTERVAL_MS);
    expect(fleet.heardMs()).toBeLessThanOrEqual(500);
  });

  it('costs the leader at most a tenth of the sends of direct messages', () => {
    const fleet = createFleet();
    fleet.run(3_000);
    const before = fleet.daemons[LEADER]?.sends ?? 0;
    fleet.run(1_000);
    expect((fleet.daemons[LEADER]?.sends ?? 0) - before).toBeLessThanOrEqual(
      (DAEMONS * 1_000) / SEND_INTERVAL_MS / 10,
    );
  });

  it('replaces its relays within a second when half of them are lost at once', () => {
    const fleet = createFleet();
    fleet.run(3_000);
    const relays = [...fleet.relays()];
    expect(relays.length).toBeGreaterThan(5);
    for (const relay of relays.slice(0, relays.length / 2)) {
      const lost = fleet.daemons[Number(relay.slice(1))];
      if (lost) lost.isUp = false;
    }
    fleet.run(1_000);
    expect(fleet.oldestMs()).toBeLessThanOrEqual(1_000);
    fleet.run(2_000);
    expect(fleet.oldestMs()).toBeLessThanOrEqual(SEND_INTERVAL_MS);
  });
});

/**
 * Messages between the leader of a large fleet and the others, by way of relays: what the leader says is
 * passed on to the peers named with it, and what these answer is collected for the leader.
 */

import { planFanOut } from '../../core/gateway/relays';
import type { FanOut } from '../../core/gateway/relays';
import { later } from '../../core/ids';
import { compareText } from '../../utils/common';
import type { DaemonId, MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';
import type { ReceivedMessage, Leader, PeerView } from './peer-view';
import type { GatewayMessage, LeaderMessage, PeerState, StateEntry } from './messages';

/** Links to peers, as far as relaying needs them. */
export interface RelayLinks {
  /** Sends to peers that answer, over new links where they have fallen silent. */
  sendExpectingReply(addresses: Iterable<string>, message: GatewayMessage): void;
  sendToAll(addresses: Iterable<string>, message: GatewayMessage): void;
}

export interface Relaying {
  /** Says to all peers what the leader, which is this daemon, has to say. */
  broadcast(message: LeaderMessage, live: readonly PeerView[], others: Iterable<string>): void;
  /** Passes a leader's message on, and gives it as if it had come from there. */
  forward(message: Extract<GatewayMessage, { kind: 'relayed' }>, via: string): ReceivedMessage;
  /** Keeps a peer's statement for the leader that this daemon follows. */
  collect(from: DaemonId, address: string, state: PeerState): void;
  /** Sends what was collected. */
  flush(leader: Leader | undefined): void;
}

/** Peers are divided among relays anew after this, milliseconds; a lost relay is missed no longer. */
const PLAN_MS = 200;
/** What peers say waits for so long to be sent on together, milliseconds. */
const COLLECT_MS = 100;

export function createRelaying(ctx: GatewayContext, links: RelayLinks): Relaying {
  const { settings, clock } = ctx;
  const origin = { id: settings.id, address: settings.peerListen };
  let plan: FanOut = new Map();
  let planDueAt = clock.now();
  /** Relays of the last plan, as logged. */
  let known = '';
  let flushDueAt = clock.now();
  const collected = new Map<DaemonId, StateEntry>();

  const renew = (live: readonly PeerView[], now: MonoTime): void => {
    if (now < planDueAt) return;
    planDueAt = later(now, PLAN_MS);
    plan = planFanOut(live, now);
    logRelays([...plan].flatMap(([relay, to]) => (to.length > 0 ? [relay] : [])));
  };

  const logRelays = (relays: readonly string[]): void => {
    const names = [...relays].sort(compareText).join(' ');
    if (names === known) return;
    known = names;
    const direct = plan.size - relays.length;
    ctx.logger.info('relays chosen', { step: 'relay', relays: names, direct });
  };

  return {
    broadcast: (message, live, others) => {
      renew(live, clock.now());
      const direct: string[] = [];
      const covered = new Set<string>();
      for (const [relay, to] of plan) {
        covered.add(relay);
        for (const address of to) covered.add(address);
        if (to.length === 0) direct.push(relay);
        else links.sendExpectingReply([relay], { kind: 'relayed', to: [...to], origin, message });
      }
      for (const address of others) if (!covered.has(address)) direct.push(address);
      links.sendExpectingReply(direct, message);
    },
    forward: ({ to, origin: first, message }, via) => {
      links.sendExpectingReply(to, { kind: 'relayed', to: [], origin: first, message });
      return { from: first.id, address: first.address, via, message };
    },
    collect: (id, address, state) => {
      collected.set(id, { id, address, state });
    },
    flush: (leader) => {
      const now = clock.now();
      if (collected.size === 0 || now < flushDueAt) return;
      flushDueAt = later(now, COLLECT_MS);
      if (leader) {
        links.sendToAll([leader.address], { kind: 'states', states: [...collected.values()] });
      }
      collected.clear();
    },
  };
}

/**
 * Messages between the leader of a large fleet and the other daemons through relays: a relay
 * forwards the leader's messages to the peers listed in them, and collects their states for the
 * leader.
 */

import { planFanOut } from '../../core/gateway/relays';
import type { FanOut } from '../../core/gateway/relays';
import { later } from '../../core/ids';
import { compareText } from '../../utils/common';
import type { DaemonId, MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';
import type { ReceivedMessage, Leader, PeerView } from './peer-view';
import type { GatewayMessage, LeaderMessage, PeerState, StateEntry } from './messages';

/** Operations on peer links that relaying needs. */
export interface RelayLinks {
  /** Sends a message that peers reply to, reconnecting to those that have become unresponsive. */
  sendExpectingReply(addresses: Iterable<string>, message: GatewayMessage): void;
  sendToAll(addresses: Iterable<string>, message: GatewayMessage): void;
}

export interface Relaying {
  /** Sends a message of the leader, which is this daemon, to all peers. */
  broadcast(message: LeaderMessage, live: readonly PeerView[], others: Iterable<string>): void;
  /** Forwards a leader's message, and returns it as if it had come from the leader directly. */
  forward(message: Extract<GatewayMessage, { kind: 'relayed' }>, via: string): ReceivedMessage;
  /** Stores a peer's state for the leader that this daemon follows. */
  collect(from: DaemonId, address: string, state: PeerState): void;
  /** Sends the collected states. */
  flush(leader: Leader | undefined): void;
}

/**
 * Interval at which peers are assigned to relays again, milliseconds; also the longest time without
 * a replacement for a lost relay.
 */
const PLAN_INTERVAL_MS = 200;
/** Peers' states are batched for this long before they are forwarded, milliseconds. */
const COLLECT_MS = 100;

export function createRelaying(ctx: GatewayContext, links: RelayLinks): Relaying {
  const { settings, clock } = ctx;
  const origin = { id: settings.id, address: settings.peerListen };
  let plan: FanOut = new Map();
  let planDueAt = clock.now();
  /** Relays of the last plan, as logged. */
  let loggedRelays = '';
  let flushDueAt = clock.now();
  const collected = new Map<DaemonId, StateEntry>();

  const updatePlan = (live: readonly PeerView[], now: MonoTime): void => {
    if (now < planDueAt) return;
    planDueAt = later(now, PLAN_INTERVAL_MS);
    plan = planFanOut(live, now);
    logRelays([...plan].flatMap(([relay, to]) => (to.length > 0 ? [relay] : [])));
  };

  const logRelays = (relays: readonly string[]): void => {
    const names = [...relays].sort(compareText).join(' ');
    if (names === loggedRelays) return;
    loggedRelays = names;
    const direct = plan.size - relays.length;
    ctx.logger.info('relays chosen', { step: 'relay', relays: names, direct });
  };

  return {
    broadcast: (message, live, others) => {
      updatePlan(live, clock.now());
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
    forward: ({ to, origin: source, message }, via) => {
      links.sendExpectingReply(to, { kind: 'relayed', to: [], origin: source, message });
      return { from: source.id, address: source.address, via, message };
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

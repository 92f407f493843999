/** Sends the configuration to peers that lack it and that the store does not bring it to. */

import {
  createHelpBudget,
  helpDueAt,
  mayNeedHelp,
  nextHelpAt,
  noteLag,
  spendHelp,
} from '../../core/gateway/config-help';
import type { LaggingPeer } from '../../core/gateway/config-help';
import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';
import type { Prepared } from '../../adapters/peers/peers';
import { rankOf } from '../../core/membership/rendezvous';
import type { GatewayConfig } from '../../core/gateway/types';
import type { ConfigView } from './config-view';
import type { GatewayContext } from './context';
import type { Evacuations } from './evacuations';
import type { Fleet } from './fleet';
import type { Leadership } from './lease';
import type { PeerProgress, PeerState } from './messages';

export interface ConfigHelpDeps {
  readonly ctx: GatewayContext;
  readonly config: ConfigView;
  readonly evacuations: Pick<Evacuations, 'report'>;
  readonly fleet: Pick<Fleet, 'isLarge' | 'leader' | 'candidates' | 'live' | 'prepare'>;
  readonly leadership: Pick<Leadership, 'ownLease'>;
}

/** Progress with the part of a state that tells whether a relay delivers it; absent from a leader's. */
export type LaggingProgress = PeerProgress & Partial<Pick<PeerState, 'hearsLeader'>>;

/** Where a report came from: the peer's address, and that of the daemon that delivered it. */
export interface Reporter {
  readonly address: string;
  readonly via: string;
}

export interface ConfigHelp {
  /** Sends the configuration if the peer's progress shows that it needs help. */
  send(peer: LaggingProgress, reporter: Reporter, now: MonoTime): void;
}

/** The last help of this daemon for a peer. */
interface Help {
  readonly at: MonoTime;
  readonly nextAt: MonoTime;
}

/** Daemons that a daemon of a large fleet without a leader reports to. */
const LEADERLESS_RECEIVERS = 7;
/** A peer's relay helps it first, and the leader if that has not helped. */
const LEADER_RANK = 3;

export function createConfigHelp(deps: ConfigHelpDeps): ConfigHelp {
  const { ctx, config, evacuations, fleet, leadership } = deps;
  const lagging = new Map<string, LaggingPeer>();
  const helped = new Map<string, Help>();
  let budget = createHelpBudget(ctx.clock.now());
  /** The message for the version in force, which is encoded once. */
  let prepared: (Prepared & { readonly of: GatewayConfig; readonly zones: string }) | undefined;

  const prepare = (cfg: GatewayConfig): Prepared => {
    const evacuated = evacuations.report();
    const zones = evacuated ? JSON.stringify(evacuated) : '';
    if (prepared?.of === cfg && prepared.zones === zones) return prepared;
    const message = {
      ...{ kind: 'config' as const, config: cfg },
      ...(evacuated && { evacuations: evacuated }),
    };
    prepared = { ...fleet.prepare(message), of: cfg, zones };
    return prepared;
  };

  /**
   * Helpers that come before this daemon. In a large fleet a daemon reports to its relay and the
   * leader, and the leader to all; in a small one all know which versions the others have.
   */
  const rankAmongHelpers = (peer: LaggingProgress, { address, via }: Reporter): number => {
    const { id } = ctx.settings;
    if (!fleet.isLarge()) {
      const holders = fleet.live().filter((each) => each.configVersion > peer.configVersion);
      return rankOf(address, id, [id, ...holders.map((each) => each.id)]);
    }
    if (leadership.ownLease()) return via === address ? 0 : LEADER_RANK;
    if (peer.hearsLeader) return 0;
    const all = [...fleet.candidates().keys()];
    const rank = rankOf(address, id, all);
    // A daemon without a leader reports to a few; a leader that is behind to all.
    const isLeader = fleet.leader()?.address === address;
    return isLeader ? rank : 1 + Math.floor((LEADERLESS_RECEIVERS * rank) / all.length);
  };

  const isDue = (
    lag: LaggingPeer,
    peer: LaggingProgress,
    reporter: Reporter,
    now: MonoTime,
  ): boolean => {
    const last = helped.get(reporter.address);
    const cfg = config.table.value?.config;
    if (!cfg || !mayNeedHelp(lag, now) || (last && now < last.nextAt)) return false;
    const answeredAt = later(now, -(peer.configAgeMs ?? Infinity));
    // The store has answered nothing since the last help, so it is not waited for again.
    const isUnanswered = last !== undefined && answeredAt < last.at;
    const { bytes } = prepare(cfg);
    const { configMs } = ctx.tunables.value;
    const dueAt = helpDueAt(lag, {
      ...{ answeredAt, bytes, configMs },
      isStoreLost: peer.isStoreLost || isUnanswered,
      rank: rankAmongHelpers(peer, reporter),
    });
    return now >= dueAt;
  };

  const help = (lag: LaggingPeer, peer: PeerProgress, address: string, now: MonoTime): void => {
    const cfg = config.table.value?.config;
    if (!cfg) return;
    const message = prepare(cfg);
    const { bytes } = message;
    const remaining = spendHelp(budget, bytes, now);
    if (!remaining) {
      ctx.metrics.count('nutmegstack_config_help_total', { result: 'held-back' });
      return;
    }
    budget = remaining;
    helped.set(address, { at: now, nextAt: nextHelpAt(bytes, now) });
    message.sendTo(address);
    ctx.metrics.count('nutmegstack_config_help_total', { result: 'sent' });
    ctx.logger.info('configuration sent to a peer', {
      ...{ step: 'config', peer: address, version: cfg.version, itsVersion: peer.configVersion },
      ...{ bytes, lagMs: Math.round(now - lag.since), isStoreLost: peer.isStoreLost },
      ...(peer.configAgeMs !== undefined && { itsConfigAgeMs: peer.configAgeMs }),
    });
  };

  return {
    send: (peer, reporter, now) => {
      const { address } = reporter;
      const lag = noteLag(lagging.get(address), peer.configVersion, config.version(), now);
      if (!lag) {
        lagging.delete(address);
        return;
      }
      lagging.set(address, lag);
      if (isDue(lag, peer, reporter, now)) help(lag, peer, address, now);
    },
  };
}

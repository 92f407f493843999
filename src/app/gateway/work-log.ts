/**
 * Log of slots, waiting requests and servers, written by the leader: a line a second for each model
 * and service.
 */

import { summarizeServers } from '../../core/gateway/work';
import type { WaitingLoad } from '../../core/gateway/work';
import type { BackendServer } from '../../core/gateway/types';
import { brandAs, later } from '../../core/ids';
import type { InstanceId, ModelId, MonoTime } from '../../core/ids';
import type { GroupRegistry } from './group-registry';
import type { GatewayContext } from './context';
import { sumLoads, withoutPriorities } from './loads';
import type { PeerState } from './messages';

export interface WorkLog {
  /** `states`: of all daemons that are heard from, this one included. */
  tick(now: MonoTime, states: () => readonly PeerState[]): void;
}

const INTERVAL_MS = 1_000;

function waitingLoads(states: readonly PeerState[]): WaitingLoad[] {
  const byModel = states.map((state) => ({ ...state, waiting: withoutPriorities(state.waiting) }));
  return sumLoads(byModel).waiting.map(([model, daemons, requests]) => ({
    model: brandAs<ModelId>(model),
    daemons,
    requests,
  }));
}

export function createWorkLog(
  { clock, logger }: GatewayContext,
  groupRegistry: GroupRegistry,
  servers: ReadonlyMap<InstanceId, BackendServer>,
): WorkLog {
  let dueAt = clock.now();

  return {
    tick: (now, states) => {
      if (now < dueAt) return;
      dueAt = later(now, INTERVAL_MS);
      const received = states();
      for (const { model, ...work } of groupRegistry.work(waitingLoads(received))) {
        logger.info('work of a model', { step: 'work', model, daemons: received.length, ...work });
      }
      for (const work of summarizeServers(servers.values())) {
        logger.info('servers of a service', { step: 'work', ...work });
      }
    },
  };
}

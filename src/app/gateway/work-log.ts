/** The leader's account of places, waiting requests and servers: a line a second for each model and service. */

import { summarizeServers } from '../../core/gateway/work';
import type { WaitingLoad } from '../../core/gateway/work';
import type { BackendServer } from '../../core/gateway/types';
import { brandAs, later } from '../../core/ids';
import type { InstanceId, ModelId, MonoTime } from '../../core/ids';
import type { GroupRegistry } from './group-registry';
import type { GatewayContext } from './context';
import { sumLoads } from './loads';
import type { PeerState } from './messages';

export interface WorkLog {
  /** `states`: of all daemons that are heard, this one included. */
  tick(now: MonoTime, states: () => readonly PeerState[]): void;
}

const INTERVAL_MS = 1_000;

function waitingIn(states: readonly PeerState[]): WaitingLoad[] {
  return sumLoads(states).waiting.map(([model, daemons, requests]) => ({
    model: brandAs<ModelId>(model),
    daemons,
    requests,
  }));
}

export function createWorkLog(
  { clock, logger }: GatewayContext,
  board: GroupRegistry,
  servers: ReadonlyMap<InstanceId, BackendServer>,
): WorkLog {
  let dueAt = clock.now();

  return {
    tick: (now, states) => {
      if (now < dueAt) return;
      dueAt = later(now, INTERVAL_MS);
      const heard = states();
      for (const { model, ...work } of board.work(waitingIn(heard))) {
        logger.info('work of a model', { step: 'work', model, daemons: heard.length, ...work });
      }
      for (const work of summarizeServers(servers.values())) {
        logger.info('servers of a service', { step: 'work', ...work });
      }
    },
  };
}

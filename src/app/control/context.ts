/** Dependencies and helpers shared by all modules of the control plane. */

import type { ResultAsync } from 'neverthrow';

import type { DaemonId } from '../../core/ids';
import type { StepContext } from '../../core/reducer';
import type { Engine } from '../../ports/engine';
import type { InstanceList, Table } from '../../ports/platform';
import type { Clock, Logger, Random } from '../../ports/runtime';
import type { Metrics } from '../../ports/telemetry';
import type { StepError } from '../../utils/errors';
import type { ConfigView, Gossip, MembershipView } from '../parts';
import type { ControlOverrides, ControlSettings } from './settings';

/** Dependencies of the control plane. */
export interface ControlDeps {
  readonly self: DaemonId;
  readonly table: Table;
  readonly instances: InstanceList;
  readonly engine: Engine;
  readonly config: ConfigView;
  readonly membership: MembershipView;
  readonly gossip: Gossip;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics?: Metrics;
  readonly settings?: ControlOverrides;
}

/** The dependencies with all settings filled in. */
export interface ControlContext extends Omit<ControlDeps, 'settings'> {
  readonly settings: ControlSettings;
  /** Chosen at start, so that an earlier process of the same id counts as another holder. */
  readonly session: string;
  /** Calls of ports in flight, which a stop waits for. */
  readonly inFlight: InFlight;
}

/** Counter of calls in flight. */
export interface InFlight {
  readonly size: number;
  add(): void;
  remove(): void;
}

export function createInFlight(): InFlight {
  let size = 0;
  return {
    get size() {
      return size;
    },
    add: () => {
      size++;
    },
    remove: () => {
      size--;
    },
  };
}

/** Context for one step of a reducer. */
export function stepContext(ctx: ControlContext): StepContext {
  return { now: ctx.clock.now() };
}

/** Passes the result of a port call to a callback; the call counts as in flight until then. */
export function settleCall<T>(
  ctx: ControlContext,
  call: ResultAsync<T, StepError>,
  onOk: (value: T) => void,
  onErr: (err: StepError) => void,
): void {
  ctx.inFlight.add();
  void call.match(onOk, onErr).finally(() => {
    ctx.inFlight.remove();
  });
}

/** Logs a failed port call, at debug level. */
export function logFailure(ctx: ControlContext, err: StepError): void {
  const peer = err.peer === undefined ? {} : { peer: err.peer };
  ctx.logger.debug(err.message, { step: err.step, code: err.code, ...peer });
}

/** What all pieces of the control plane share. */

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
  /** Chosen at start: rows written by an earlier process of the same id are another's. */
  readonly session: string;
  /** Calls on their way, so that a stop can wait for them. */
  readonly inFlight: InFlight;
}

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

export function stepAt(ctx: ControlContext): StepContext {
  return { now: ctx.clock.now() };
}

/** Runs a call of a port and hands its result on, one way or the other. */
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

/** Logs a failed call of a port. */
export function logFailure(ctx: ControlContext, err: StepError): void {
  const peer = err.peer === undefined ? {} : { peer: err.peer };
  ctx.logger.debug(err.message, { step: err.step, code: err.code, ...peer });
}

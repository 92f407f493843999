/** Graceful shutdown of a daemon: lets requests in flight finish and releases what it holds. */

import type { ResultAsync } from 'neverthrow';

import type { Logger } from '../ports/runtime';
import type { StepError } from '../utils/errors';
import { pause } from '../utils/pause';
import type { Parts } from './parts';
import type { HttpListener } from './listen';
import type { DaemonSettings } from './settings';

/** What {@link createShutdown} needs. */
export interface ShutdownDeps {
  readonly settings: Pick<DaemonSettings, 'drainWaitMs' | 'drainLimitMs'>;
  readonly parts: Parts;
  /** Filled in when the daemon starts listening. */
  readonly listeners: readonly HttpListener[];
  readonly logger: Logger;
  /** Removes the daemon from the instance list. */
  readonly deregister: () => ResultAsync<unknown, StepError>;
  readonly flushTraces: () => Promise<void>;
}

/** The graceful shutdown of one daemon. */
export interface Shutdown {
  isStopping(): boolean;
  /** Shuts down. Further calls return the same promise. */
  readonly drain: () => Promise<void>;
  /** Resolves once the shutdown is complete. */
  readonly stopped: Promise<void>;
}

async function finishesWithin(work: Promise<void>, limitMs: number): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => {
      resolve(false);
    }, limitMs);
  });
  const hasFinished = await Promise.race([work.then(() => true), limit]);
  clearTimeout(timer);
  return hasFinished;
}

/**
 * Fails readiness (see `isStopping`), waits for the load balancer to notice, refuses new requests,
 * waits for those in flight up to `drainLimitMs`, then releases what the daemon holds and stops.
 */
async function shutDown({
  settings,
  parts,
  listeners,
  logger,
  ...deps
}: ShutdownDeps): Promise<void> {
  logger.info('stopping', { step: 'drain' });
  // Announced first, so that roles move to other daemons while the streams here finish.
  parts.membership.leave();
  await pause(settings.drainWaitMs);
  const finished = await finishesWithin(parts.requests.drain(), settings.drainLimitMs);
  if (!finished) {
    logger.warn('requests were still in flight at the limit', {
      step: 'drain',
      inFlight: parts.requests.inFlight(),
    });
  }
  await parts.control.stop();
  await parts.requests.stop();
  await parts.config.stop();
  await parts.membership.stop();
  const deregistered = await deps.deregister();
  if (deregistered.isErr())
    logger.warn('could not deregister from the instance list', { code: deregistered.error.code });
  if (!finished) for (const server of listeners) server.destroyConnections();
  await Promise.all(listeners.map((server) => server.close()));
  await deps.flushTraces();
  logger.info('stopped', { step: 'drain' });
}

/** Prepares the graceful shutdown. Nothing happens until `drain` is called. */
export function createShutdown(deps: ShutdownDeps): Shutdown {
  let running: Promise<void> | undefined;
  let resolveStopped: (() => void) | undefined;
  const stopped = new Promise<void>((resolve) => {
    resolveStopped = resolve;
  });
  return {
    isStopping: () => running !== undefined,
    drain: () => {
      running ??= shutDown(deps).finally(() => resolveStopped?.());
      return running;
    },
    stopped,
  };
}

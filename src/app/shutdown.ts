/** The planned stop of a daemon: cuts off no request in flight, and hands back what it holds. */

import type { ResultAsync } from 'neverthrow';

import type { Logger } from '../ports/runtime';
import type { StepError } from '../utils/errors';
import { pause } from '../utils/pause';
import type { Parts } from './parts';
import type { HttpListener } from './listen';
import type { DaemonSettings } from './settings';

export interface ShutdownDeps {
  readonly settings: Pick<DaemonSettings, 'drainWaitMs' | 'drainLimitMs'>;
  readonly parts: Parts;
  /** Filled in as the daemon starts to listen. */
  readonly listeners: readonly HttpListener[];
  readonly logger: Logger;
  readonly deregister: () => ResultAsync<unknown, StepError>;
  readonly flushTraces: () => Promise<void>;
}

export interface Shutdown {
  isStopping(): boolean;
  /** Stops; a second call joins the first. */
  readonly drain: () => Promise<void>;
  readonly stopped: Promise<void>;
}

async function within(work: Promise<void>, limitMs: number): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => {
      resolve(false);
    }, limitMs);
  });
  const inTime = await Promise.race([work.then(() => true), limit]);
  clearTimeout(timer);
  return inTime;
}

/** Unready, wait for the balancer, refuse new work, finish what runs, hand back, stop. */
async function run({
  settings,
  parts,
  listeners: listening,
  logger,
  ...deps
}: ShutdownDeps): Promise<void> {
  logger.info('stopping', { step: 'drain' });
  // Roles move to the other daemons while the streams here finish.
  parts.membership.leave();
  await pause(settings.drainWaitMs);
  const finished = await within(parts.requests.drain(), settings.drainLimitMs);
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
  const left = await deps.deregister();
  if (left.isErr()) logger.warn('still in the instance list', { code: left.error.code });
  if (!finished) for (const server of listening) server.destroyConnections();
  await Promise.all(listening.map((server) => server.close()));
  await deps.flushTraces();
  logger.info('stopped', { step: 'drain' });
}

/** Prepares the planned stop. */
export function createShutdown(deps: ShutdownDeps): Shutdown {
  let running: Promise<void> | undefined;
  let end: (() => void) | undefined;
  const stopped = new Promise<void>((resolve) => {
    end = resolve;
  });
  return {
    isStopping: () => running !== undefined,
    drain: () => {
      running ??= run(deps).finally(() => end?.());
      return running;
    },
    stopped,
  };
}

/** Stops a daemon within its shutdown time: what has arrived is answered, and what comes too late is refused. */

import type { AcceptMarker } from '../../adapters/accept-marker';
import { afterNextRead } from '../../adapters/upstream/next-read';
import { later } from '../../core/ids';
import { pause } from '../../utils/pause';
import type { GatewayContext } from './context';
import type { Forwarding } from './forwarding';
import type { HttpServer } from './http-server';
import type { Intake } from './intake';
import type { WaitQueue } from './wait-queue';

export interface StopDeps {
  readonly ctx: Pick<GatewayContext, 'clock' | 'logger' | 'tunables'>;
  readonly httpServer: HttpServer;
  readonly forwarding: Forwarding;
  readonly intake: Pick<Intake, 'acceptLast'>;
  readonly marker: Pick<AcceptMarker, 'passQueue'>;
  readonly waitQueue: Pick<WaitQueue, 'review'>;
  /** Gives up what other daemons can take over. */
  readonly onBegin: () => void;
  /** Releases everything else, when no request is left. */
  readonly onEnd: () => Promise<void>;
}

/** Interval at which the stop looks at what is left, milliseconds. */
const LOOK_MS = 50;
/**
 * The load balancer probes once a second and needs two failures; after that it sends no new
 * connections.
 */
const BALANCER_DETECTION_MS = 2_600;
/**
 * Part of the shutdown time that remains when requests are aborted, for the last answers to reach
 * their callers, links to peers to close (500 ms at most) and the last log lines to be written (200
 * ms at most).
 */
const SHUTDOWN_MARGIN_MS = 900;
/** Requests may still arrive for this long on connections that were accepted last, milliseconds. */
const LAST_REQUESTS_MS = 300;

/** Resolves once everything is released and no request is in flight, or when the shutdown time is over. */
export async function stopGracefully({
  ctx,
  httpServer,
  forwarding,
  intake,
  marker,
  waitQueue,
  onBegin,
  onEnd,
}: StopDeps): Promise<void> {
  const { clock, logger, tunables } = ctx;
  const deadline = later(clock.now(), tunables.value.shutdownMs - SHUTDOWN_MARGIN_MS);
  const closeListenerAt = later(clock.now(), BALANCER_DETECTION_MS);
  logger.info('stopping', { step: 'stop', inFlight: httpServer.inFlight() });
  httpServer.beginStop(deadline);
  forwarding.beginStop();
  onBegin();
  while (clock.now() < closeListenerAt)
    await pause(Math.min(LOOK_MS, closeListenerAt - clock.now()));
  intake.acceptLast();
  // The process may have stood still: what arrived meanwhile is accepted and read first.
  await pause(LOOK_MS);
  await marker.passQueue(Math.max(0, deadline - clock.now()));
  httpServer.closeListener();
  const inFlight = (): number => httpServer.inFlight() + forwarding.inFlight();
  const quietAt = later(clock.now(), LAST_REQUESTS_MS);
  const isQuiet = (): boolean => inFlight() === 0 && clock.now() >= quietAt;
  const refuseFurther = (): void => {
    httpServer.refuseFurther();
    forwarding.refuseFurther();
    waitQueue.review();
  };
  do {
    if (clock.now() >= quietAt) refuseFurther();
    await pause(clock.now() < quietAt ? Math.min(LOOK_MS, quietAt - clock.now()) : LOOK_MS);
    // What arrived while the process stood still is read, and worked on, after the timers.
    await new Promise<void>(afterNextRead);
  } while (!isQuiet() && clock.now() < deadline);
  const remaining = inFlight();
  if (remaining > 0)
    logger.warn('requests aborted at the end of the shutdown', {
      step: 'stop',
      inFlight: remaining,
    });
  httpServer.endOutstanding();
  // The last answers leave before their connections are closed.
  await pause(LOOK_MS);
  httpServer.closeConnections();
  forwarding.close();
  await onEnd();
  logger.info('stopped', { step: 'stop' });
}

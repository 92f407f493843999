/**
 * Tells who closed a connection whose request had no complete answer. Without this, a connection that the daemon
 * closes itself looks like a caller that has left.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';

import type { MonoTime } from '../../core/ids';
import { breakOff } from './caller-response';
import type { GatewayContext } from './context';

/** Why the daemon closed connections itself, by response. */
const closeReasons = new WeakMap<ServerResponse, string>();

/** Closes the connection of a request that gets no answer, or no more of it. */
export function closeUnanswered(res: ServerResponse, reason: string): void {
  closeReasons.set(res, reason);
  breakOff(res);
}

/** How far a request had come. */
type Stage = 'reading' | 'working' | 'answering';

function stageOf(req: IncomingMessage, res: ServerResponse): Stage {
  if (res.headersSent) return 'answering';
  return req.complete ? 'working' : 'reading';
}

export interface WatchedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly requestId: string | undefined;
  readonly readAt: MonoTime;
}

/** Logs and counts the end of the connection if it comes before the answer is complete. */
export function watchUnanswered(
  { clock, logger, metrics }: Pick<GatewayContext, 'clock' | 'logger' | 'metrics'>,
  { req, res, requestId, readAt }: WatchedRequest,
): void {
  res.once('close', () => {
    if (res.writableFinished) return;
    const reason = closeReasons.get(res);
    const by = reason === undefined ? 'caller' : 'daemon';
    const stage = stageOf(req, res);
    metrics.count('nutmegstack_unanswered_total', { by, stage });
    const fields = {
      step: 'close',
      ...(requestId !== undefined && { requestId }),
      ...{ by, stage, ms: Math.round(clock.now() - readAt) },
    };
    if (reason === undefined) logger.info('connection closed without an answer', fields);
    else logger.warn('connection closed without an answer', { ...fields, reason });
  });
}

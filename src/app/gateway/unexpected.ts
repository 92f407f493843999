/**
 * Unexpected errors: each is logged with where it was thrown, and counted, and ends the one request, entry, message
 * or part of a tick that it came from.
 */

import type { ServerResponse } from 'node:http';

import { answerToUnexpected } from '../../core/gateway/unexpected-answer';
import { describeThrown } from '../../utils/error-origin';
import type { GatewayContext } from './context';
import { answerLocally } from './exchange';
import { closeUnanswered } from './unanswered';

type Reporting = Pick<GatewayContext, 'logger' | 'metrics'>;

/** Logs and counts an unexpected error in `part` of the daemon. */
export function noteUnexpected(
  { logger, metrics }: Reporting,
  part: string,
  thrown: unknown,
): void {
  metrics.count('nutmegstack_unexpected_errors_total', { part });
  logger.error('unexpected error', { step: part, ...describeThrown(thrown) });
}

/** Runs one of several steps that do not depend on each other. */
export function runGuarded(ctx: Reporting, part: string, run: () => void): void {
  try {
    run();
  } catch (err) {
    noteUnexpected(ctx, part, err);
  }
}

export interface Ticking {
  tick(): void;
}

/** Ticks each part, by name: what one of them throws does not keep the others from their work. */
export function tickAll(ctx: Reporting, parts: Readonly<Record<string, Ticking>>): void {
  for (const [name, part] of Object.entries(parts))
    runGuarded(ctx, name, () => {
      part.tick();
    });
}

/** Requests of which a byte may have been sent to a server. */
const sent = new WeakSet<ServerResponse>();

/** Notes that the request answered by `res` is being sent to a server. */
export function noteSent(res: ServerResponse): void {
  sent.add(res);
}

/** Ends a request whose handling threw, with an answer that is true about whether it ran. */
export function endUnexpected(
  ctx: GatewayContext,
  res: ServerResponse,
  { thrown, isLate }: { readonly thrown: unknown; readonly isLate: boolean },
): void {
  noteUnexpected(ctx, 'request', thrown);
  endUnserved(ctx, res, { reason: 'the daemon met an unexpected error', isLate });
}

/** Ends a request that gets no answer of a server, with an answer that is true about whether it ran. */
export function endUnserved(
  ctx: GatewayContext,
  res: ServerResponse,
  { reason, isLate = false }: { readonly reason: string; readonly isLate?: boolean },
): void {
  const answer = answerToUnexpected({
    wasSent: sent.has(res),
    hasStarted: res.headersSent,
    hasEnded: res.writableEnded,
    isLate,
  });
  if (answer === 'none') return;
  if (answer === 'close') closeUnanswered(res, reason);
  else answerLocally(ctx, res, { status: answer, message: reason });
}

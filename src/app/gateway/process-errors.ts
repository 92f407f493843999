/**
 * Errors that no part of a running daemon catches. The daemon goes on, as it holds the requests of many callers, and
 * an input that all daemons get would else end them all. docs/PLATFORM.md says why this endangers no guarantee.
 */

import type { GatewayContext } from './context';
import { noteUnexpected } from './unexpected';

type Emitter = Pick<NodeJS.EventEmitter, 'on' | 'off'>;

/** Parts in the log and the metrics, by where Node got the error. */
const PARTS: Readonly<Record<string, string>> = {
  uncaughtException: 'uncaught',
  unhandledRejection: 'rejection',
};

/** Logs and counts these errors from now on; returns a function that ends that. */
export function surviveErrors(
  ctx: Pick<GatewayContext, 'logger' | 'metrics'>,
  from: Emitter = process,
): () => void {
  const note = (thrown: unknown, origin: NodeJS.UncaughtExceptionOrigin): void => {
    noteUnexpected(ctx, PARTS[origin] ?? 'process', thrown);
  };
  from.on('uncaughtException', note);
  return () => {
    from.off('uncaughtException', note);
  };
}

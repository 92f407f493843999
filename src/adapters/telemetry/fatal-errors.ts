/**
 * Logs the error that is about to end the process. A trace on standard error alone is lost where only the log
 * lines are collected, and then an ended process looks like one that was killed.
 */

import { writeSync } from 'node:fs';

import { describeThrown } from '../../utils/error-origin';
import type { Logger } from '../../ports/runtime';
import { createLogger } from './logger';
import type { LoggerOptions } from './logger';

/** Writes at once, as nothing that waits is written any more. */
function writeNow(line: string): void {
  try {
    writeSync(process.stdout.fd, `${line}\n`);
  } catch {
    // The reader does not keep up, or is gone. The process ends in any case.
  }
}

/** Logs fatal errors from now on; returns a function that ends that. */
export function logFatalErrors(
  fields: LoggerOptions['fields'] = {},
  logger: Pick<Logger, 'error'> = createLogger({ fields, write: writeNow }),
): () => void {
  const log = (thrown: unknown, origin: NodeJS.UncaughtExceptionOrigin): void => {
    logger.error('fatal error, the process ends', {
      step: 'process',
      origin,
      ...describeThrown(thrown),
      upMs: Math.round(performance.now()),
    });
  };
  process.on('uncaughtExceptionMonitor', log);
  return () => {
    process.off('uncaughtExceptionMonitor', log);
  };
}

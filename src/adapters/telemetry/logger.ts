/** Logger that writes JSON lines. */

import { createConsola } from 'consola/core';
import type { LogObject } from 'consola/core';

import type { LogFields, Logger } from '../../ports/runtime';

/** Log levels by name, as consola's numbers. */
export const LOG_LEVELS = { error: 0, warn: 1, info: 3, debug: 4 } as const;

export type LogLevelName = keyof typeof LOG_LEVELS;

export interface LoggerOptions {
  readonly level?: LogLevelName;
  /** Fields of every line, for instance the daemon's id. */
  readonly fields?: LogFields;
  /** Receives each line, without line break. */
  readonly write?: (line: string) => void;
}

/** Fields that are always removed from log lines. */
const SECRET_FIELDS: ReadonlySet<string> = new Set([
  'prompt',
  'messages',
  'answer',
  'body',
  'key',
  'apiKey',
  'authorization',
  'secret',
]);

function writeLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function render({ date, type, args }: LogObject, common: LogFields): string {
  const [message, fields] = args as [string, LogFields | undefined];
  const shown = Object.entries({ ...common, ...fields }).filter(
    ([name]) => !SECRET_FIELDS.has(name),
  );
  return JSON.stringify({
    at: date.toISOString(),
    level: type,
    message,
    ...Object.fromEntries(shown),
  });
}

/** Creates a logger that writes one JSON object per line. */
export function createLogger({
  level = 'info',
  fields: common = {},
  write = writeLine,
}: LoggerOptions = {}): Logger {
  const log = createConsola({
    level: LOG_LEVELS[level],
    throttle: 0,
    reporters: [
      {
        log: (entry) => {
          write(render(entry, common));
        },
      },
    ],
  });
  return {
    debug: (message, fields) => {
      log.debug(message, fields);
    },
    info: (message, fields) => {
      log.info(message, fields);
    },
    warn: (message, fields) => {
      log.warn(message, fields);
    },
    error: (message, fields) => {
      log.error(message, fields);
    },
  };
}

/** The process's surroundings: clocks, chance and logs. */

import type { EpochTime, MonoTime } from '../core/ids';

export interface Clock {
  /** Monotonic milliseconds. */
  now(): MonoTime;
  /** Milliseconds since the Unix epoch. */
  epoch(): EpochTime;
}

/** A seeded source of chance. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
}

/** What every log line may carry. Never a prompt, an answer or a key. */
export interface LogFields {
  readonly requestId?: string;
  readonly organisation?: string;
  readonly step?: string;
  readonly peer?: string;
  readonly code?: string;
  readonly [field: string]: string | number | boolean | undefined;
}

export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** Interfaces to the process's runtime: clocks, randomness and logging. */

import type { EpochTime, MonoTime } from '../core/ids';

export interface Clock {
  /** Monotonic milliseconds. */
  now(): MonoTime;
  /** Milliseconds since the Unix epoch. */
  epoch(): EpochTime;
}

/** A seeded random number generator. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
}

/** Structured fields of a log line. Never contain a prompt, an answer or a key. */
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

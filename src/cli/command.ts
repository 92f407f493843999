/** Context, result and exit codes of a subcommand. */

import type { DaemonSettings, RunningDaemon } from '../app/settings';
import type { Environment, Flags } from './settings';

/** Starts a daemon in this process. */
export type StartDaemon = (settings: DaemonSettings) => Promise<RunningDaemon>;

/** Exit codes of the program. */
export const EXIT = {
  done: 0,
  /** Rejected: nothing was changed. */
  refused: 1,
  /** Flags, variables or arguments are invalid: nothing was sent or started. */
  usage: 2,
  /** Whether the change took effect is unknown. */
  unknown: 3,
} as const;

export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** What a subcommand runs with. */
export interface CommandContext {
  /** Positional arguments. */
  readonly args: readonly string[];
  readonly flags: Flags;
  readonly env: Environment;
  readonly startDaemon: StartDaemon;
}

/** An error as it is printed, or returned by the administration API. */
export interface CommandError {
  readonly code: string;
  readonly message: string;
  /** Where it failed, as `config-read`. */
  readonly step?: string;
  readonly peer?: string;
  /** Invalid fields of a document, or invalid settings. */
  readonly fields?: readonly { readonly path: string; readonly message: string }[];
}

/** What a subcommand prints, and the exit code. */
export interface CommandResult {
  readonly exit: ExitCode;
  /** What `--output json` prints. */
  readonly value?: unknown;
  /** What is printed as text output. */
  readonly text?: string;
  readonly error?: CommandError;
}

export type Command = (ctx: CommandContext) => Promise<CommandResult>;

export function done(value: unknown, text: string): CommandResult {
  return { exit: EXIT.done, value, text };
}

export function refused(error: CommandError): CommandResult {
  return { exit: EXIT.refused, error };
}

export function usage(message: string): CommandResult {
  return { exit: EXIT.usage, error: { code: 'usage', message } };
}

/** The value of a flag; undefined where it is absent or empty. */
export function flagOf({ flags }: CommandContext, name: string): string | undefined {
  const value = flags[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
}

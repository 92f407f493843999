/** What a subcommand is given and what it comes to. */

import type { DaemonSettings, RunningDaemon } from '../app/settings';
import type { Environment, Flags } from './settings';

/** Starts a daemon inside this process. */
export type StartDaemon = (settings: DaemonSettings) => Promise<RunningDaemon>;

/** Exit codes of the program. */
export const EXIT = {
  done: 0,
  /** Refused: nothing was changed. */
  refused: 1,
  /** Flags, variables or arguments are wrong: nothing was tried. */
  usage: 2,
  /** No one can tell whether the change took effect. */
  unknown: 3,
} as const;

export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

export interface CommandContext {
  /** Arguments without a flag, in order. */
  readonly args: readonly string[];
  readonly flags: Flags;
  readonly env: Environment;
  readonly startDaemon: StartDaemon;
}

/** A line of an error's explanation, for instance a wrong field. */
export interface CommandError {
  readonly code: string;
  readonly message: string;
  readonly step?: string;
  readonly peer?: string;
  readonly fields?: readonly { readonly path: string; readonly message: string }[];
}

export interface CommandResult {
  readonly exit: ExitCode;
  /** What `--output json` prints. */
  readonly value?: unknown;
  /** What is printed otherwise. */
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

/** The text of a flag; undefined where it was not given. */
export function flagOf({ flags }: CommandContext, name: string): string | undefined {
  const value = flags[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
}

/** Options and results of histories in which requests crash groups. */

export interface CrashesOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly ms: number;
  /** Daemons tell each other nothing. */
  readonly isUnshared?: boolean;
  /** Requests have parts that others share, and some of these are fatal beside whole requests. */
  readonly hasParts?: boolean;
}

/** One body, or part of prompts, that crashes each group that runs it. */
export interface FatalRequest {
  /** The part, if it is one. */
  readonly part?: string;
  /** First part of the prompts with it that sound requests have as well. */
  readonly firstPart?: string | undefined;
  readonly crashedAt: number[];
  /** Arrivals at groups from daemons that the rule counts. */
  readonly arrivedAt: number[];
}

/** A request that is not fatal, when and whether it was admitted at a daemon that the rules count. */
export interface SoundRequest {
  readonly at: number;
  readonly firstPart: string | undefined;
  readonly isAdmitted: boolean;
}

export interface CrashesResult {
  readonly fatal: readonly FatalRequest[];
  readonly sound: readonly SoundRequest[];
  readonly innocents: number;
  /** Of the other requests: refused for good. */
  readonly innocentsRefused: number;
  /** Of the other requests: held back, and told to come again. */
  readonly innocentsHeld: number;
  readonly trace: readonly string[];
}

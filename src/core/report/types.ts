/** The report type. Instants are milliseconds since the report's start, on one clock. */

/** Requests of one model, or of one route without a model. */
export interface RequestSummary {
  readonly name: string;
  readonly ended: number;
  readonly served: number;
  /** Latency of served requests from arrival to end, milliseconds. */
  readonly medianMs: number;
  readonly p99Ms: number;
  /** Served requests whose first event came after their latency objective. */
  readonly late: number;
  /**
   * Of the late ones: time until they had a slot, and from there to the first event, milliseconds.
   */
  readonly medianLateWaitMs: number;
  readonly medianLateFirstMs: number;
}

/** Requests that were not served, by the outcome that the caller got and the reason. */
export interface ReasonSummary {
  readonly outcome: string;
  readonly reason: string;
  readonly count: number;
  readonly firstAt: number;
  readonly lastAt: number;
}

/** Requests that ended in one second, by outcome. */
export interface OutcomeSecond {
  readonly at: number;
  readonly outcomes: Readonly<Record<string, number>>;
}

/** How long groups of one model took to form, and how long the model had none. */
export interface ModelSummary {
  readonly model: string;
  readonly formed: number;
  readonly lost: number;
  /** From the order to join until the group serves, milliseconds. */
  readonly medianFormingMs: number;
  readonly longestFormingMs: number;
  /** From the loss of a group to the order for the next one, milliseconds. */
  readonly medianUndecidedMs: number;
  /** Time without a serving group, milliseconds. */
  readonly unservedMs: number;
}

/** Slots of a model, and the requests that have or wait for one, as known to the leader. */
export interface WorkSample {
  readonly at: number;
  readonly model: string;
  readonly groups: number;
  readonly places: number;
  readonly running: number;
  /** Requests beyond the slots of their group, which wait in its engine. */
  readonly queued: number;
  readonly free: number;
  /** Requests that wait in daemons. */
  readonly waiting: number;
}

/** A time in which a collection of the store was unavailable to one daemon. */
export interface Outage {
  readonly daemon: string;
  readonly collection: string;
  readonly at: number;
  /** Duration; `undefined` if the logs do not show its end. */
  readonly ms: number | undefined;
}

/** A return of the store from an older copy. */
export interface StoreReturn {
  readonly era: number;
  /** When the first daemon saw the era. */
  readonly at: number;
  /** Time between the first and the last daemon that saw the era, milliseconds. */
  readonly spreadMs: number;
  readonly daemons: number;
}

/** A version of the configuration coming into force. */
export interface VersionSummary {
  readonly version: number;
  readonly at: number;
  /** Time between the first and the last daemon that had it in force, milliseconds. */
  readonly spreadMs: number;
  readonly daemons: number;
}

/** Summary of the logs of all daemons; printed as JSON by `report`. */
export interface Report {
  /** Start, milliseconds since the epoch. */
  readonly startedAt: number;
  readonly lastsMs: number;
  readonly daemons: readonly string[];
  readonly requests: readonly RequestSummary[];
  readonly reasons: readonly ReasonSummary[];
  readonly seconds: readonly OutcomeSecond[];
  readonly models: readonly ModelSummary[];
  readonly work: readonly WorkSample[];
  readonly outages: readonly Outage[];
  readonly returns: readonly StoreReturn[];
  readonly versions: readonly VersionSummary[];
  readonly leaders: readonly { readonly daemon: string; readonly at: number }[];
}

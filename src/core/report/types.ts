/** What a report says of a stretch of time. Instants are milliseconds since its start, on one clock. */

/** Requests of one kind: those of a model, or of a route that names none. */
export interface RequestSummary {
  readonly name: string;
  readonly ended: number;
  readonly served: number;
  /** Time from arrival to the end of served requests, milliseconds. */
  readonly medianMs: number;
  readonly p99Ms: number;
  /** Served ones whose first event came after their latency objective. */
  readonly late: number;
  /** Of the late ones: time until they had a place, and from there to the first event, milliseconds. */
  readonly medianLateWaitMs: number;
  readonly medianLateFirstMs: number;
}

/** Requests that were not served, by what was said to the caller and why. */
export interface ReasonSummary {
  readonly outcome: string;
  readonly reason: string;
  readonly count: number;
  readonly firstAt: number;
  readonly lastAt: number;
}

/** What ended in one second, by outcome. */
export interface OutcomeSecond {
  readonly at: number;
  readonly outcomes: Readonly<Record<string, number>>;
}

/** How long groups of one model took to serve, and what was missing without them. */
export interface ModelSummary {
  readonly model: string;
  readonly formed: number;
  readonly lost: number;
  /** From the order to join to the first stream that may come, milliseconds. */
  readonly medianFormingMs: number;
  readonly longestFormingMs: number;
  /** From the loss of a group to the decision for the next one, milliseconds. */
  readonly medianUndecidedMs: number;
  /** Time without any group, milliseconds. */
  readonly unservedMs: number;
}

/** Places of a model and the requests in them or without one, as the leader knew them. */
export interface WorkSample {
  readonly at: number;
  readonly model: string;
  readonly groups: number;
  readonly places: number;
  readonly running: number;
  /** Requests beyond the places of their group: they wait in its engine. */
  readonly queued: number;
  readonly free: number;
  /** Requests that wait in daemons. */
  readonly waiting: number;
}

/** A time in which the store answered one daemon nothing about a collection. */
export interface Outage {
  readonly daemon: string;
  readonly collection: string;
  readonly at: number;
  /** Undefined where the logs end before the store's return. */
  readonly ms: number | undefined;
}

/** How daemons learned that the store came back from an older copy. */
export interface StoreReturn {
  readonly era: number;
  /** When the first daemon saw the era. */
  readonly at: number;
  /** From the first daemon to the last one that saw it, milliseconds. */
  readonly spreadMs: number;
  readonly daemons: number;
}

/** How a version of the configuration came into force. */
export interface VersionSummary {
  readonly version: number;
  readonly at: number;
  /** From the first daemon to the last one that had it in force, milliseconds. */
  readonly spreadMs: number;
  readonly daemons: number;
}

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

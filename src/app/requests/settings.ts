/** Settings of the request plane. */

export interface RequestSettings {
  /** Longest body taken from a caller, bytes. */
  readonly maxBodyBytes: number;
  /** Longest whole answer held in memory, bytes. */
  readonly maxAnswerBytes: number;
  /** Longest frame of a stream held back until it is whole, bytes. */
  readonly maxFrameBytes: number;
  /** Longest time between two reads of a stream, on either side, milliseconds. */
  readonly streamIdleTimeoutMs: number;
  /** How long a connection to a backend server may take to be made, milliseconds. */
  readonly connectTimeoutMs: number;
  /** Attempts of one request at most, the first included. */
  readonly maxAttempts: number;
  /** First delay before another attempt, milliseconds; doubles with each. */
  readonly retryDelayMs: number;
  readonly maxRetryDelayMs: number;
  /** Further attempts per accepted request that a model or service may have on average. */
  readonly retryRatio: number;
  /** Further attempts saved up at most, by model or service. */
  readonly retryBurst: number;
  /** Requests admitted per place in the groups' batches; above 1, engines keep a short queue. */
  readonly slotOvercommit: number;
  /** When to come back if nothing better is known, milliseconds. */
  readonly retryAfterMs: number;
  /** Commits a second that the table service takes from all daemons. */
  readonly tableCommitsPerSecond: number;
  /** Share of those commits that all daemons together may use for claims. */
  readonly claimShare: number;
  /** Claims and records in one transaction at most. */
  readonly maxClaimBatch: number;
  /** How long claims gather before they are committed together, milliseconds. */
  readonly claimLingerMs: number;
  /** How long a claim may wait for its commit, milliseconds; beyond it nothing is sent. */
  readonly claimTimeoutMs: number;
  /** How long an answer waits for its record before it goes to the caller, milliseconds. */
  readonly recordTimeoutMs: number;
  /** How long stopping waits for claims to be settled, milliseconds. */
  readonly settleTimeoutMs: number;
  /** How long a claim and its stored answer are kept, milliseconds. */
  readonly claimRetentionMs: number;
  /** How long the mark of a released claim is kept, milliseconds. */
  readonly releasedRetentionMs: number;
  /** Largest answer kept in the claim's row, bytes; larger ones go to the object store. */
  readonly maxRowAnswerBytes: number;
  /** Mean time between two pages of the sweep of old claims, over all daemons, milliseconds. */
  readonly sweepIntervalMs: number;
  /** How long a strike counts, milliseconds. */
  readonly strikeRetentionMs: number;
  /** Strikes on different groups at which a request is refused. */
  readonly strikeLimit: number;
}

export const REQUEST_DEFAULTS: RequestSettings = {
  maxBodyBytes: 4 * 1024 * 1024,
  maxAnswerBytes: 8 * 1024 * 1024,
  maxFrameBytes: 1024 * 1024,
  streamIdleTimeoutMs: 60_000,
  connectTimeoutMs: 1_000,
  maxAttempts: 4,
  retryDelayMs: 20,
  maxRetryDelayMs: 1_000,
  retryRatio: 0.1,
  retryBurst: 20,
  slotOvercommit: 1.5,
  retryAfterMs: 1_000,
  tableCommitsPerSecond: 400,
  claimShare: 0.5,
  maxClaimBatch: 64,
  claimLingerMs: 3,
  claimTimeoutMs: 1_000,
  recordTimeoutMs: 300,
  settleTimeoutMs: 2_000,
  claimRetentionMs: 24 * 3_600_000,
  releasedRetentionMs: 10 * 60_000,
  maxRowAnswerBytes: 16 * 1024,
  sweepIntervalMs: 10_000,
  strikeRetentionMs: 10 * 60_000,
  strikeLimit: 2,
};

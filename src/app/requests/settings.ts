/** Settings of the request plane. */

/** Limits, timeouts and ratios of the request plane. */
export interface RequestSettings {
  /** Maximum size of a caller's request body, bytes. */
  readonly maxBodyBytes: number;
  /** Maximum size of an answer that is buffered in memory, bytes. */
  readonly maxAnswerBytes: number;
  /** Maximum size of a stream frame, which is buffered until complete, bytes. */
  readonly maxFrameBytes: number;
  /** Maximum time without progress in a stream, on either side, milliseconds. */
  readonly streamIdleTimeoutMs: number;
  /** Timeout for connecting to a backend server, milliseconds. */
  readonly connectTimeoutMs: number;
  /** Maximum attempts of one request, including the first. */
  readonly maxAttempts: number;
  /** Delay before the first retry, milliseconds; doubles with each retry. */
  readonly retryDelayMs: number;
  /** Maximum delay before a retry, milliseconds. */
  readonly maxRetryDelayMs: number;
  /** Average number of retries allowed per accepted request of a model or service. */
  readonly retryRatio: number;
  /** Maximum number of unused retries kept in the budget of a model or service. */
  readonly retryBurst: number;
  /** Requests admitted per batch slot of the groups; above 1, engines keep a short queue. */
  readonly slotOvercommit: number;
  /** `Retry-After` if no better estimate is known, milliseconds. */
  readonly retryAfterMs: number;
  /** Commits per second that the table service accepts from all daemons together. */
  readonly tableCommitsPerSecond: number;
  /** Fraction of those commits that all daemons together may use for claims. */
  readonly claimShare: number;
  /** Maximum number of claims and records in one transaction. */
  readonly maxClaimBatch: number;
  /** Delay after the first claim to an idle writer, so that others join its batch, milliseconds. */
  readonly claimLingerMs: number;
  /** How long a claim may wait for its commit, milliseconds. After that nothing is sent. */
  readonly claimTimeoutMs: number;
  /** How long an answer waits for its record before it is sent to the caller, milliseconds. */
  readonly recordTimeoutMs: number;
  /** How long `stop` waits for pending claims to be settled, milliseconds. */
  readonly settleTimeoutMs: number;
  /** How long a claim and its stored answer are kept, milliseconds. */
  readonly claimRetentionMs: number;
  /** How long the row of a released claim is kept, milliseconds. */
  readonly releasedRetentionMs: number;
  /** Maximum size of an answer stored in the claim's row, bytes. Larger ones go to the object store. */
  readonly maxRowAnswerBytes: number;
  /** Mean interval between two pages of the expired-claim sweep over all daemons, milliseconds. */
  readonly sweepIntervalMs: number;
  /** How long a strike counts, milliseconds. */
  readonly strikeRetentionMs: number;
  /** Number of strikes on different groups at which a request is refused. */
  readonly strikeLimit: number;
}

/** Default settings. */
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

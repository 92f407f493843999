/**
 * Group commit for claim rows: one transaction carries all writes that were queued while the
 * previous one was in progress. Each write is conditional on the version of its own row, so a
 * conflict on one row fails only that write.
 */

import type { Result } from 'neverthrow';

import type { CommitBucket, CommitRate } from '../../core/ledger/rate';
import { expectedWaitMs, commitRateOf, takeCommit } from '../../core/ledger/rate';
import type { Json } from '../../core/json';
import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';
import type { Committed, Table, Transaction } from '../../ports/platform';
import type { Clock } from '../../ports/runtime';
import type { Metrics } from '../../ports/telemetry';
import type { StepError } from '../../utils/errors';
import { METRIC } from './names';
import { pause } from './pause';

/** Outcome of one write. */
export type WriteResult =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict' }
  /** Nothing was written, and nothing will be. */
  | { readonly kind: 'unavailable' }
  /** The write may have taken effect or may still do so. */
  | { readonly kind: 'unanswered' };

/** A conditional write of one row. */
export interface RowWrite {
  readonly key: string;
  /** Version that the row must have; 0 if it must be absent. */
  readonly version: number;
  /** The new value. If omitted, the row is deleted. */
  readonly value?: Json;
}

/** Options of {@link createClaimWriter}. */
export interface ClaimWriterOptions {
  readonly table: Table;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Number of daemons that share the table's commit rate. */
  readonly daemons: () => number;
  /** Commits per second that the table accepts from all daemons. */
  readonly commitsPerSecond: number;
  /** Fraction of those commits that claims may use. */
  readonly claimShare: number;
  /** Maximum number of writes in one transaction. */
  readonly maxBatch: number;
  /** Delay after the first write to an idle writer, so that others can join its batch, milliseconds. */
  readonly lingerMs: number;
  /** Maximum wait in the queue, milliseconds. */
  readonly queueTimeoutMs: number;
}

/** Writes claim rows within this daemon's share of the commit rate. */
export interface ClaimWriter {
  write(write: RowWrite): Promise<WriteResult>;
  /** Whether a new write would be expected to exceed the maximum wait in the queue. */
  isOverloaded(): boolean;
}

interface QueuedWrite {
  readonly write: RowWrite;
  readonly until: MonoTime;
  readonly settle: (result: WriteResult) => void;
}

/** Maximum commits of one batch. Each conflict removes at least one write from the batch. */
const MAX_ROUNDS = 4;
const UNAVAILABLE: WriteResult = { kind: 'unavailable' };

function transactionOf(batch: readonly QueuedWrite[]): Transaction {
  return {
    conditions: batch.map(({ write: { key, version } }) => ({ key, version })),
    writes: batch.map(({ write: { key, value } }) =>
      value === undefined ? { key } : { key, value },
    ),
  };
}

function settleAll(batch: readonly QueuedWrite[], result: WriteResult): void {
  batch.forEach(({ settle }) => {
    settle(result);
  });
}

function settleCommitted(batch: readonly QueuedWrite[], committed: Committed): void {
  batch.forEach(({ write, settle }) => {
    settle({ kind: 'written', version: committed.versions[write.key] ?? 0 });
  });
}

/** Settles the writes whose rows have another version as conflicts. Returns the others. */
async function settleConflicts(
  table: Table,
  batch: readonly QueuedWrite[],
): Promise<readonly QueuedWrite[]> {
  const rows = await table.read(batch.map(({ write }) => write.key));
  if (rows.isErr()) {
    settleAll(batch, UNAVAILABLE);
    return [];
  }
  const versions = new Map(rows.value.map(({ key, version }) => [key, version]));
  const hasExpectedVersion = ({ write }: QueuedWrite): boolean =>
    (versions.get(write.key) ?? 0) === write.version;
  settleAll(
    batch.filter((queued) => !hasExpectedVersion(queued)),
    { kind: 'conflict' },
  );
  return batch.filter(hasExpectedVersion);
}

/** Creates a claim writer. It commits only while writes are queued. */
export function createClaimWriter(opts: ClaimWriterOptions): ClaimWriter {
  const { table, clock, metrics, maxBatch } = opts;
  let queue: QueuedWrite[] = [];
  let isRunning = false;
  let bucket: CommitBucket = { tokens: 1, at: clock.now() };

  const share = (): CommitRate =>
    commitRateOf(opts.commitsPerSecond, opts.claimShare, opts.daemons());

  /** Takes the next batch from the queue: at most one write per key, none past its time limit. */
  const takeBatch = (): readonly QueuedWrite[] => {
    const now = clock.now();
    const expired = queue.filter(({ until }) => until <= now);
    const seen = new Set<string>();
    const batch: QueuedWrite[] = [];
    const remaining: QueuedWrite[] = [];
    for (const queued of queue) {
      if (queued.until <= now) continue;
      const fits = batch.length < maxBatch && !seen.has(queued.write.key);
      (fits ? batch : remaining).push(queued);
      seen.add(queued.write.key);
    }
    queue = remaining;
    settleAll(expired, UNAVAILABLE);
    return batch;
  };

  /** Commits the batch once. Returns the writes to retry. */
  const commit = async (batch: readonly QueuedWrite[]): Promise<readonly QueuedWrite[]> => {
    const startedAt = clock.now();
    const result: Result<Committed, StepError> = await table.commit(transactionOf(batch));
    metrics.observe(METRIC.claimCommit, clock.now() - startedAt);
    if (result.isOk()) {
      settleCommitted(batch, result.value);
      return [];
    }
    if (result.error.code === 'conflict') return settleConflicts(table, batch);
    const isUnknown = result.error.code !== 'store-unavailable';
    settleAll(batch, isUnknown ? { kind: 'unanswered' } : UNAVAILABLE);
    return [];
  };

  const takeToken = async (): Promise<void> => {
    for (;;) {
      const taken = takeCommit(bucket, share(), clock.now());
      bucket = taken.bucket;
      if (taken.waitMs === 0) return;
      await pause(taken.waitMs);
    }
  };

  const runBatch = async (): Promise<void> => {
    await takeToken();
    let batch = takeBatch();
    for (let round = 0; batch.length > 0 && round < MAX_ROUNDS; round += 1) {
      batch = await commit(batch);
    }
    settleAll(batch, UNAVAILABLE);
  };

  const run = async (): Promise<void> => {
    isRunning = true;
    await pause(opts.lingerMs);
    while (queue.length > 0) await runBatch();
    isRunning = false;
  };

  return {
    write: (write) =>
      new Promise((resolve) => {
        queue.push({ write, until: later(clock.now(), opts.queueTimeoutMs), settle: resolve });
        if (!isRunning) void run();
      }),
    isOverloaded: () =>
      expectedWaitMs(bucket, share(), queue.length, maxBatch, clock.now()) > opts.queueTimeoutMs,
  };
}

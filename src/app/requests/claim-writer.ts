/**
 * Writes claim rows in groups: one transaction carries all that gathered while the one before was
 * under way. Each write goes by the version of its own row, and a conflict on one row fails that
 * write alone.
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

/** What became of one write. */
export type WriteResult =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict' }
  /** Nothing was written, nor will be. */
  | { readonly kind: 'unavailable' }
  /** It may have taken effect, or may yet. */
  | { readonly kind: 'unanswered' };

export interface RowWrite {
  readonly key: string;
  /** Version that the row must have; 0: absent. */
  readonly version: number;
  /** Left out: the row is deleted. */
  readonly value?: Json;
}

export interface ClaimWriterOptions {
  readonly table: Table;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Daemons that share the table's commits. */
  readonly daemons: () => number;
  readonly commitsPerSecond: number;
  readonly claimShare: number;
  readonly maxBatch: number;
  readonly lingerMs: number;
  /** Longest wait in the queue, milliseconds. */
  readonly queueTimeoutMs: number;
}

export interface ClaimWriter {
  write(write: RowWrite): Promise<WriteResult>;
  /** Whether a write that came now would wait too long for its commit. */
  isOverloaded(): boolean;
}

interface Queued {
  readonly write: RowWrite;
  readonly until: MonoTime;
  readonly settle: (result: WriteResult) => void;
}

/** Rounds of one group at most; each round loses at least one write to a conflict. */
const MAX_ROUNDS = 4;
const UNAVAILABLE: WriteResult = { kind: 'unavailable' };

function transactionOf(group: readonly Queued[]): Transaction {
  return {
    conditions: group.map(({ write: { key, version } }) => ({ key, version })),
    writes: group.map(({ write: { key, value } }) =>
      value === undefined ? { key } : { key, value },
    ),
  };
}

function settleAll(group: readonly Queued[], result: WriteResult): void {
  group.forEach(({ settle }) => {
    settle(result);
  });
}

function settleCommitted(group: readonly Queued[], committed: Committed): void {
  group.forEach(({ write, settle }) => {
    settle({ kind: 'written', version: committed.versions[write.key] ?? 0 });
  });
}

/** Settles the writes whose rows have other versions; gives the rest. */
async function withoutConflicts(
  table: Table,
  group: readonly Queued[],
): Promise<readonly Queued[]> {
  const rows = await table.read(group.map(({ write }) => write.key));
  if (rows.isErr()) {
    settleAll(group, UNAVAILABLE);
    return [];
  }
  const versions = new Map(rows.value.map(({ key, version }) => [key, version]));
  const fits = ({ write }: Queued): boolean => (versions.get(write.key) ?? 0) === write.version;
  settleAll(
    group.filter((queued) => !fits(queued)),
    { kind: 'conflict' },
  );
  return group.filter(fits);
}

export function createClaimWriter(opts: ClaimWriterOptions): ClaimWriter {
  const { table, clock, metrics, maxBatch: batch } = opts;
  let queue: Queued[] = [];
  let isRunning = false;
  let bucket: CommitBucket = { tokens: 1, at: clock.now() };

  const share = (): CommitRate =>
    commitRateOf(opts.commitsPerSecond, opts.claimShare, opts.daemons());

  /** The next group: no key twice, none that waited too long. */
  const takeGroup = (): readonly Queued[] => {
    const now = clock.now();
    const late = queue.filter(({ until }) => until <= now);
    const seen = new Set<string>();
    const group: Queued[] = [];
    const rest: Queued[] = [];
    for (const queued of queue) {
      if (queued.until <= now) continue;
      const fits = group.length < batch && !seen.has(queued.write.key);
      (fits ? group : rest).push(queued);
      seen.add(queued.write.key);
    }
    queue = rest;
    settleAll(late, UNAVAILABLE);
    return group;
  };

  /** Commits once; gives the writes that are to be tried again. */
  const commit = async (group: readonly Queued[]): Promise<readonly Queued[]> => {
    const startedAt = clock.now();
    const result: Result<Committed, StepError> = await table.commit(transactionOf(group));
    metrics.observe(METRIC.claimCommit, clock.now() - startedAt);
    if (result.isOk()) {
      settleCommitted(group, result.value);
      return [];
    }
    if (result.error.code === 'conflict') return withoutConflicts(table, group);
    const isUnknown = result.error.code !== 'store-unavailable';
    settleAll(group, isUnknown ? { kind: 'unanswered' } : UNAVAILABLE);
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

  const runGroup = async (): Promise<void> => {
    await takeToken();
    let group = takeGroup();
    for (let round = 0; group.length > 0 && round < MAX_ROUNDS; round += 1) {
      group = await commit(group);
    }
    settleAll(group, UNAVAILABLE);
  };

  const run = async (): Promise<void> => {
    isRunning = true;
    await pause(opts.lingerMs);
    while (queue.length > 0) await runGroup();
    isRunning = false;
  };

  return {
    write: (write) =>
      new Promise((resolve) => {
        queue.push({ write, until: later(clock.now(), opts.queueTimeoutMs), settle: resolve });
        if (!isRunning) void run();
      }),
    isOverloaded: () =>
      expectedWaitMs(bucket, share(), queue.length, batch, clock.now()) > opts.queueTimeoutMs,
  };
}

/** Follows a collection of the platform's store: loads it, then waits for changes, for as long as the daemon runs. */

import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';
import type { Change, Changes, Feed } from '../../ports/gateway';
import type { StepError } from '../../utils/errors';
import { pause } from '../../utils/pause';
import type { GatewayContext } from './context';

export interface WatchOptions<T> {
  readonly feed: Feed<T>;
  /**
   * Longest wait of a poll, milliseconds. Connections may fall silent without an error: then it takes
   * this long, and a little more, to notice.
   */
  readonly waitMs?: () => number;
  /**
   * When to look again after a look that ended at `since`: changes come in groups, and each call has
   * its price. Asked again while the rest lasts, so that it may end early or go on. Without changes
   * the next poll follows at once, unless `restsAlways`.
   */
  readonly restUntil?: (since: MonoTime) => MonoTime;
  readonly restsAlways?: boolean;
  /** Changes in the order of the store. `isWhole`: they are the whole collection. */
  readonly take: (changes: readonly Change<T>[], isWhole: boolean) => void;
}

export interface Watch {
  /** Revision of the store up to which the collection is known; 0 before the first load. */
  revision(): number;
  /** The store gave an answer at this instant; undefined before the first. */
  lastContact(): MonoTime | undefined;
  /** The end of the last failure of the store; undefined where there was none. */
  returnedAt(): MonoTime | undefined;
  isFailing(): boolean;
  /** The collection is known up to `revision` by another way. */
  skipTo(revision: number): void;
  stop(): void;
}

/** A poll on a connection that fell silent ends after this; peers tell what is missed meanwhile. */
const DEFAULT_WAIT_MS = 8_000;
const DEFAULT_REST_MS = 20;
/** A rest that may end early is looked at this often. */
const REST_LOOK_MS = 100;
/** Between tries while the store fails: at once soon after a failure, then so often that all daemons stay far below its rate. */
const FIRST_RETRY_MS = 60;
const LONGEST_RETRY_MS = 500;

export function watchFeed<T>(ctx: GatewayContext, options: WatchOptions<T>): Watch {
  const { feed, take, waitMs = () => DEFAULT_WAIT_MS, restsAlways = false } = options;
  const { restUntil = (since: MonoTime) => later(since, DEFAULT_REST_MS) } = options;
  let revision = 0;
  let lastContact: MonoTime | undefined;
  let returnedAt: MonoTime | undefined;
  let failures = 0;
  let stopped = false;

  const accept = (result: Changes<T>, isWhole: boolean): void => {
    const now = ctx.clock.now();
    const before = lastContact;
    lastContact = now;
    if (failures > 0) {
      returnedAt = now;
      ctx.logger.info('store regained', {
        step: 'watch',
        collection: feed.name,
        failures,
        ...(before !== undefined && { awayMs: Math.round(now - before) }),
      });
    }
    failures = 0;
    ctx.store.noteAnswer();
    revision = Math.max(revision, result.revision);
    if (isWhole || result.changes.length > 0) take(result.changes, isWhole);
  };

  const fail = async (err: StepError, sentAt: MonoTime): Promise<void> => {
    if (err.code === 'history-gone') {
      ctx.logger.warn('history gone, loading anew', { step: 'watch', collection: feed.name });
      revision = 0;
      return;
    }
    failures += 1;
    const now = ctx.clock.now();
    const fields = {
      step: err.step,
      collection: feed.name,
      code: err.code,
      reason: err.message,
      failures,
      outMs: Math.round(now - sentAt),
      ...(lastContact !== undefined && { ageMs: Math.round(now - lastContact) }),
    };
    if (failures === 1) ctx.logger.warn('store lost', fields);
    else ctx.logger.info('store call failed again', fields);
    const delay = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** Math.min(failures, 8));
    ctx.store.noteFailure(feed.name);
    await pause(delay * (0.5 + ctx.random.next() / 2));
    await ctx.store.turn(feed.name);
  };

  const rest = async (): Promise<void> => {
    const since = ctx.clock.now();
    const leftMs = (): number => restUntil(since) - ctx.clock.now();
    for (let left = leftMs(); left > 0; left = leftMs()) await pause(Math.min(left, REST_LOOK_MS));
  };

  const step = async (): Promise<void> => {
    const isWhole = revision === 0;
    const sentAt = ctx.clock.now();
    const result = await (isWhole ? feed.load() : feed.poll(revision, waitMs()));
    if (stopped) return;
    if (result.isErr()) {
      await fail(result.error, sentAt);
      return;
    }
    accept(result.value, isWhole);
    if (restsAlways || result.value.changes.length > 0) await rest();
  };

  const run = async (): Promise<void> => {
    while (!stopped) await step();
  };
  void run().catch((err: unknown) => {
    ctx.logger.error('watch ended by a fault', { step: 'watch', reason: String(err) });
    throw err;
  });

  return {
    revision: () => revision,
    lastContact: () => lastContact,
    returnedAt: () => returnedAt,
    isFailing: () => failures > 0,
    skipTo: (known) => {
      if (revision > 0) revision = Math.max(revision, known);
    },
    stop: () => {
      stopped = true;
    },
  };
}

/** Whether the store was away at some time since `ms` milliseconds ago. */
export function wasAway(watch: Watch, now: MonoTime, ms: number): boolean {
  if (watch.isFailing()) return true;
  const returned = watch.returnedAt();
  return returned !== undefined && now < later(returned, ms);
}

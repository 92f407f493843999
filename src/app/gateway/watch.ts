/**
 * Follows a collection of the platform's store for the lifetime of the daemon: loads it, then polls
 * for changes.
 */

import type { Result } from 'neverthrow';

import { checkPoll, maxCallMs, planPoll } from '../../core/gateway/polling';
import { later } from '../../core/ids';
import type { EpochTime, MonoTime } from '../../core/ids';
import { isLater, latest, ORIGIN_POSITION } from '../../core/store-era';
import type { StorePosition } from '../../core/store-era';
import type { Change, Changes, Feed, Receipt } from '../../ports/gateway';
import { fail as makeError } from '../../utils/errors';
import type { StepError } from '../../utils/errors';
import { pause } from '../../utils/pause';
import type { GatewayContext } from './context';
import { noteUnexpected } from './unexpected';

/**
 * Kind of a set of changes: incremental changes, or a load of the whole collection; `copy` is a
 * load from a store restored from an older copy.
 */
export type ChangeKind = 'changes' | 'whole' | 'copy';

export interface WatchOptions<T> {
  readonly feed: Feed<T>;
  /** How long the store should hold a poll for changes, milliseconds. */
  readonly waitMs?: () => number;
  /**
   * Until when a peer's confirmation shows that this daemon's knowledge is fresh enough. Until then
   * polls may wait for any time; otherwise each ends early enough for another one.
   */
  readonly freshUntil?: (now: MonoTime) => MonoTime;
  /**
   * When to poll again after a poll that ended at `since`: changes come in groups, and each call
   * has a cost. Evaluated repeatedly during the pause, which may so be shortened or extended.
   * Without changes the next poll follows at once, unless `pausesWhenUnchanged` is set.
   */
  readonly nextPollAt?: (since: MonoTime) => MonoTime;
  readonly pausesWhenUnchanged?: boolean;
  /** Receives changes in the order of the store, or the whole collection. */
  readonly apply: (changes: readonly Change<T>[], kind: ChangeKind, receipt?: Receipt) => void;
}

export interface Watch {
  /** Position in the store's history up to which the collection is known. */
  position(): StorePosition;
  /** Time since the store last answered, milliseconds; since the start before the first answer. */
  ageMs(): number;
  /** End of the store's last failure; undefined if there was none. */
  recoveredAt(): MonoTime | undefined;
  isFailing(): boolean;
  /** Notes that the collection is known up to a position from another source. */
  skipTo(position: StorePosition): void;
  stop(): void;
}

const DEFAULT_WAIT_MS = 8_000;
const DEFAULT_POLL_DELAY_MS = 20;
/** Interval of checks whether to end a pause or abort a call early. */
const CHECK_MS = 100;
/**
 * Daemons learn of the store's return at the same time, so their reloads are spread over this time,
 * milliseconds.
 */
const RELOAD_SPREAD_MS = 400;
/**
 * Delays between retries while the store fails: almost none at first, then long enough that all
 * daemons together stay far below the store's rate limit.
 */
const FIRST_RETRY_MS = 60;
const MAX_RETRY_MS = 500;
/** Pause after an unexpected error, which the next load may meet again. */
const RESTART_MS = 1_000;
/**
 * Maximum delay while a peer confirms that this daemon's knowledge is fresh, as a fraction of the
 * settling time: hundreds of daemons that the store refuses get everything from peers, and need the
 * store again only some time after its return.
 */
const CONFIRMED_RETRY_SHARE = 0.3;

export function watchFeed<T>(ctx: GatewayContext, options: WatchOptions<T>): Watch {
  const { feed, apply, waitMs = () => DEFAULT_WAIT_MS, pausesWhenUnchanged = false } = options;
  const { nextPollAt = (since: MonoTime) => later(since, DEFAULT_POLL_DELAY_MS) } = options;
  const { freshUntil = (now: MonoTime) => now } = options;
  let position = ORIGIN_POSITION;
  /** The next call loads the whole collection. */
  let mustLoad = true;
  /** The store was restored from an older copy since the last load. */
  let isRestoredCopy = false;
  /** Aborts the call in progress. */
  let cancel = new AbortController();
  let lastContact = readClocks(ctx);
  let recoveredAt: MonoTime | undefined;
  let failures = 0;
  let stopped = false;

  const ageMs = (): number => elapsedMs(lastContact, readClocks(ctx));

  const accept = (result: Changes<T>, isFullLoad: boolean): void => {
    const awayMs = Math.round(ageMs());
    lastContact = readClocks(ctx);
    if (failures > 0) {
      recoveredAt = lastContact.mono;
      const fields = { step: 'watch', collection: feed.name, failures, awayMs };
      ctx.logger.info('store regained', fields);
    }
    failures = 0;
    ctx.store.noteAnswer(lastContact.mono);
    const { receipt } = result;
    const labels = { collection: feed.name };
    if (receipt) ctx.metrics.count('nutmegstack_store_received_bytes_total', labels, receipt.bytes);
    position = latest(position, result.position);
    if (!isFullLoad && result.changes.length === 0) return;
    const loadKind = isRestoredCopy ? 'copy' : 'whole';
    if (isFullLoad) [mustLoad, isRestoredCopy] = [false, false];
    apply(result.changes, isFullLoad ? loadKind : 'changes', receipt);
  };

  const maxRetryMs = (): number => {
    const now = ctx.clock.now();
    if (now >= freshUntil(now)) return MAX_RETRY_MS;
    return Math.max(MAX_RETRY_MS, ctx.tunables.value.settleMs * CONFIRMED_RETRY_SHARE);
  };

  const fail = async (err: StepError, sentAt: MonoTime): Promise<void> => {
    if (err.code === 'history-gone') {
      ctx.logger.warn('history no longer available, reloading', {
        step: 'watch',
        collection: feed.name,
      });
      mustLoad = true;
      return;
    }
    failures += 1;
    const fields = {
      step: err.step,
      collection: feed.name,
      code: err.code,
      reason: err.message,
      failures,
      outMs: Math.round(ctx.clock.now() - sentAt),
      ageMs: Math.round(ageMs()),
    };
    if (failures === 1) ctx.logger.warn('store lost', fields);
    else ctx.logger.info('store call failed again', fields);
    const delay = Math.min(maxRetryMs(), FIRST_RETRY_MS * 2 ** Math.min(failures, 8));
    ctx.store.noteFailure(feed.name);
    await pause(delay * (0.5 + ctx.random.next() / 2));
    await ctx.store.waitForRetry(feed.name, maxCallMs(ctx.tunables.value.settleMs));
  };

  const pauseUntilNextPoll = async (): Promise<void> => {
    const since = ctx.clock.now();
    const remainingMs = (): number => nextPollAt(since) - ctx.clock.now();
    for (let remaining = remainingMs(); remaining > 0; remaining = remainingMs())
      await pause(Math.min(remaining, CHECK_MS));
  };

  /**
   * Polls once; undefined if the call was aborted only because this daemon's knowledge became stale
   * or the era changed.
   */
  const poll = async (): Promise<Result<Changes<T>, StepError> | undefined> => {
    const { settleMs } = ctx.tunables.value;
    const sentAt = ctx.clock.now();
    const plan = planPoll({
      now: sentAt,
      settleMs,
      preferredWaitMs: waitMs(),
      freshUntil: freshUntil(sentAt),
      isFailing: failures > 0,
    });
    const checkTimer = setInterval(() => {
      const now = ctx.clock.now();
      const answeredAt = ctx.store.answeredAt();
      const decision = checkPoll(plan, {
        now,
        freshUntil: freshUntil(now),
        ...(answeredAt !== undefined && { answeredAt }),
      });
      if (decision !== 'wait') cancel.abort(decision);
    }, CHECK_MS);
    const result = await feed.poll(position, plan.waitMs, cancel.signal);
    clearInterval(checkTimer);
    const isRenewal = cancel.signal.reason === 'renew' || cancel.signal.reason === 'era';
    return result.isErr() && isRenewal ? undefined : result;
  };

  const step = async (): Promise<void> => {
    const isFullLoad = mustLoad;
    if (isRestoredCopy) await pause(ctx.random.next() * RELOAD_SPREAD_MS);
    cancel = new AbortController();
    const sentAt = ctx.clock.now();
    const result = await (isFullLoad ? feed.load() : poll());
    if (stopped || !result) return;
    if (result.isErr()) {
      await fail(result.error, sentAt);
      return;
    }
    if (result.value.position.era < ctx.store.era()) {
      await fail(staleEraError(), sentAt);
      return;
    }
    accept(result.value, isFullLoad);
    if (pausesWhenUnchanged || result.value.changes.length > 0) await pauseUntilNextPoll();
  };

  /** The collection may have gone back: it is loaded again, and missing entries may soon return. */
  const reload = (): void => {
    recoveredAt = ctx.clock.now();
    [mustLoad, isRestoredCopy] = [true, true];
    ctx.logger.info('loading anew from an older copy', { step: 'watch', collection: feed.name });
    cancel.abort('era');
  };
  const eras = ctx.store.eras.subscribe(({ era }) => {
    if (isLater(position, ORIGIN_POSITION) && position.era < era) reload();
  });

  /** What was read may be applied in part only, and the position is behind it: the collection is loaded again. */
  const startAnew = async (err: unknown): Promise<void> => {
    noteUnexpected(ctx, `watch-${feed.name}`, err);
    mustLoad = true;
    await pause(RESTART_MS);
  };

  const run = async (): Promise<void> => {
    while (!stopped) await step().catch(startAnew);
  };
  void run();

  return {
    position: () => position,
    ageMs,
    recoveredAt: () => recoveredAt,
    isFailing: () => failures > 0,
    skipTo: (known) => {
      if (!mustLoad && known.era === position.era) position = latest(position, known);
    },
    stop: () => {
      stopped = true;
      eras.unsubscribe();
    },
  };
}

/**
 * Error for an answer that was read before the store's return but arrived after the new era was
 * known.
 */
function staleEraError(): StepError {
  return makeError('store-unavailable', 'answer belongs to an earlier store era', {
    step: 'watch',
  });
}

/** Whether the store was failing at some time in the last `ms` milliseconds. */
export function hasFailedWithin(watch: Watch, now: MonoTime, ms: number): boolean {
  if (watch.isFailing()) return true;
  const recoveredAt = watch.recoveredAt();
  return recoveredAt !== undefined && now < later(recoveredAt, ms);
}

/** An instant on both clocks. */
interface Clocks {
  readonly mono: MonoTime;
  readonly epoch: EpochTime;
}

function readClocks({ clock }: GatewayContext): Clocks {
  return { mono: clock.now(), epoch: clock.epoch() };
}

/**
 * The monotonic clock stops while a process is suspended, and the wall clock may jump, so the
 * longer of the two times is used: overestimating the age of knowledge costs a call,
 * underestimating it breaks a guarantee.
 */
function elapsedMs(from: Clocks, to: Clocks): number {
  return Math.max(to.mono - from.mono, to.epoch - from.epoch);
}

/** Follows a collection of the platform's store: loads it, then waits for changes, for as long as the daemon runs. */

import type { Result } from 'neverthrow';

import { checkPoll, maxCallMs, planPoll } from '../../core/gateway/polling';
import { later } from '../../core/ids';
import type { EpochTime, MonoTime } from '../../core/ids';
import { isLater, latest, ORIGIN_POSITION } from '../../core/store-era';
import type { StorePosition } from '../../core/store-era';
import type { Change, Changes, Feed } from '../../ports/gateway';
import { fail as makeError } from '../../utils/errors';
import type { StepError } from '../../utils/errors';
import { pause } from '../../utils/pause';
import type { GatewayContext } from './context';

/** What changes are: `copy` is the whole collection of a store that came back from an older copy. */
export type ChangeKind = 'changes' | 'whole' | 'copy';

export interface WatchOptions<T> {
  readonly feed: Feed<T>;
  /** How long the store should hold a poll for changes, milliseconds. */
  readonly waitMs?: () => number;
  /**
   * Until when a peer's word shows that what is known here is young enough. Meanwhile polls wait as long
   * as they like; without it each is over in time for another one.
   */
  readonly freshUntil?: (now: MonoTime) => MonoTime;
  /**
   * When to look again after a look that ended at `since`: changes come in groups, and each call has
   * its price. Asked again while the rest lasts, so that it may end early or go on. Without changes
   * the next poll follows at once, unless `restsAlways`.
   */
  readonly nextPollAt?: (since: MonoTime) => MonoTime;
  readonly pausesWhenUnchanged?: boolean;
  /** Changes in the order of the store, or the whole collection. */
  readonly apply: (changes: readonly Change<T>[], kind: ChangeKind) => void;
}

export interface Watch {
  /** Up to where in the store's history the collection is known. */
  position(): StorePosition;
  /** Time since the store last answered, milliseconds; since the start before the first answer. */
  ageMs(): number;
  /** The end of the last failure of the store; undefined where there was none. */
  recoveredAt(): MonoTime | undefined;
  isFailing(): boolean;
  /** The collection is known up to there by another way. */
  skipTo(position: StorePosition): void;
  stop(): void;
}

const DEFAULT_WAIT_MS = 8_000;
const DEFAULT_REST_MS = 20;
/** A rest that may end early, and a call that may be given up, are looked at this often. */
const LOOK_MS = 100;
/** Daemons learn of the store's return together, and read from it anew within this time, milliseconds. */
const SPREAD_MS = 400;
/** Between tries while the store fails: at once soon after a failure, then so often that all daemons stay far below its rate. */
const FIRST_RETRY_MS = 60;
const LONGEST_RETRY_MS = 500;
/**
 * The same while a peer vouches for what is known here: hundreds of daemons that the store turns away
 * learn all from peers, and need it again only some time after its return.
 */
const VOUCHED_RETRY_SHARE = 0.3;

export function watchFeed<T>(ctx: GatewayContext, options: WatchOptions<T>): Watch {
  const {
    feed,
    apply: take,
    waitMs = () => DEFAULT_WAIT_MS,
    pausesWhenUnchanged: restsAlways = false,
  } = options;
  const { nextPollAt: restUntil = (since: MonoTime) => later(since, DEFAULT_REST_MS) } = options;
  const { freshUntil: trustUntil = (now: MonoTime) => now } = options;
  let position = ORIGIN_POSITION;
  /** The next call loads the whole collection. */
  let mustLoad = true;
  /** The store came back from an older copy since the last load. */
  let isCopy = false;
  /** Ends the call under way. */
  let cancel = new AbortController();
  let contact = readClocks(ctx);
  let returnedAt: MonoTime | undefined;
  let failures = 0;
  let stopped = false;

  const ageMs = (): number => elapsedMs(contact, readClocks(ctx));

  const accept = (result: Changes<T>, isWhole: boolean): void => {
    const awayMs = Math.round(ageMs());
    contact = readClocks(ctx);
    if (failures > 0) {
      returnedAt = contact.mono;
      const fields = { step: 'watch', collection: feed.name, failures, awayMs };
      ctx.logger.info('store regained', fields);
    }
    failures = 0;
    ctx.store.noteAnswer(contact.mono);
    position = latest(position, result.position);
    if (!isWhole && result.changes.length === 0) return;
    const whole = isCopy ? 'copy' : 'whole';
    if (isWhole) [mustLoad, isCopy] = [false, false];
    take(result.changes, isWhole ? whole : 'changes');
  };

  const longestRetryMs = (): number => {
    const now = ctx.clock.now();
    if (now >= trustUntil(now)) return LONGEST_RETRY_MS;
    return Math.max(LONGEST_RETRY_MS, ctx.tunables.value.settleMs * VOUCHED_RETRY_SHARE);
  };

  const fail = async (err: StepError, sentAt: MonoTime): Promise<void> => {
    if (err.code === 'history-gone') {
      ctx.logger.warn('history gone, loading anew', { step: 'watch', collection: feed.name });
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
    const delay = Math.min(longestRetryMs(), FIRST_RETRY_MS * 2 ** Math.min(failures, 8));
    ctx.store.noteFailure(feed.name);
    await pause(delay * (0.5 + ctx.random.next() / 2));
    await ctx.store.waitForRetry(feed.name, maxCallMs(ctx.tunables.value.settleMs));
  };

  const rest = async (): Promise<void> => {
    const since = ctx.clock.now();
    const leftMs = (): number => restUntil(since) - ctx.clock.now();
    for (let left = leftMs(); left > 0; left = leftMs()) await pause(Math.min(left, LOOK_MS));
  };

  /** Polls once; undefined where the call was given up only because what is known here has grown old. */
  const poll = async (): Promise<Result<Changes<T>, StepError> | undefined> => {
    const { settleMs } = ctx.tunables.value;
    const sentAt = ctx.clock.now();
    const plan = planPoll({
      now: sentAt,
      settleMs,
      preferredWaitMs: waitMs(),
      freshUntil: trustUntil(sentAt),
      isFailing: failures > 0,
    });
    const looks = setInterval(() => {
      const now = ctx.clock.now();
      const answeredAt = ctx.store.answeredAt();
      const verdict = checkPoll(plan, {
        now,
        freshUntil: trustUntil(now),
        ...(answeredAt !== undefined && { answeredAt }),
      });
      if (verdict !== 'wait') cancel.abort(verdict);
    }, LOOK_MS);
    const result = await feed.poll(position, plan.waitMs, cancel.signal);
    clearInterval(looks);
    const isNews = cancel.signal.reason === 'renew' || cancel.signal.reason === 'era';
    return result.isErr() && isNews ? undefined : result;
  };

  const step = async (): Promise<void> => {
    const isWhole = mustLoad;
    if (isCopy) await pause(ctx.random.next() * SPREAD_MS);
    cancel = new AbortController();
    const sentAt = ctx.clock.now();
    const result = await (isWhole ? feed.load() : poll());
    if (stopped || !result) return;
    if (result.isErr()) {
      await fail(result.error, sentAt);
      return;
    }
    if (result.value.position.era < ctx.store.era()) {
      await fail(outdated(), sentAt);
      return;
    }
    accept(result.value, isWhole);
    if (restsAlways || result.value.changes.length > 0) await rest();
  };

  /** The collection may have gone back: it is read anew, and what is missing may come again soon. */
  const loadAnew = (): void => {
    returnedAt = ctx.clock.now();
    [mustLoad, isCopy] = [true, true];
    ctx.logger.info('loading anew from an older copy', { step: 'watch', collection: feed.name });
    cancel.abort('era');
  };
  const eras = ctx.store.eras.subscribe(({ era }) => {
    if (isLater(position, ORIGIN_POSITION) && position.era < era) loadAnew();
  });

  const run = async (): Promise<void> => {
    while (!stopped) await step();
  };
  void run().catch((err: unknown) => {
    ctx.logger.error('watch ended by a fault', { step: 'watch', reason: String(err) });
    throw err;
  });

  return {
    position: () => position,
    ageMs,
    recoveredAt: () => returnedAt,
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

/** Of what was read before the store's return, and answered after that was known. */
function outdated(): StepError {
  return makeError('store-unavailable', 'answer of an earlier era', { step: 'watch' });
}

/** Whether the store was away at some time since `ms` milliseconds ago. */
export function hasFailedWithin(watch: Watch, now: MonoTime, ms: number): boolean {
  if (watch.isFailing()) return true;
  const returned = watch.recoveredAt();
  return returned !== undefined && now < later(returned, ms);
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
 * A suspended process does not see its monotonic clock move, and the time of day may jump. The longer of
 * the two is believed: knowledge that is taken for too old costs a call, the other way round a promise.
 */
function elapsedMs(from: Clocks, to: Clocks): number {
  return Math.max(to.mono - from.mono, to.epoch - from.epoch);
}

/** Follows a collection of the platform's store: loads it, then waits for changes, for as long as the daemon runs. */

import type { Result } from 'neverthrow';

import { judgePoll, longestCallMs, planPoll } from '../../core/gateway/polling';
import { later } from '../../core/ids';
import type { EpochTime, MonoTime } from '../../core/ids';
import type { Change, Changes, Feed } from '../../ports/gateway';
import type { StepError } from '../../utils/errors';
import { pause } from '../../utils/pause';
import type { GatewayContext } from './context';

export interface WatchOptions<T> {
  readonly feed: Feed<T>;
  /** How long the store should hold a poll for changes, milliseconds. */
  readonly waitMs?: () => number;
  /**
   * Until when a peer's word shows that what is known here is young enough. Meanwhile polls wait as long
   * as they like; without it each is over in time for another one.
   */
  readonly trustUntil?: (now: MonoTime) => MonoTime;
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
  /** Time since the store last answered, milliseconds; since the start before the first answer. */
  ageMs(): number;
  /** The end of the last failure of the store; undefined where there was none. */
  returnedAt(): MonoTime | undefined;
  isFailing(): boolean;
  /** The collection is known up to `revision` by another way. */
  skipTo(revision: number): void;
  stop(): void;
}

const DEFAULT_WAIT_MS = 8_000;
const DEFAULT_REST_MS = 20;
/** A rest that may end early, and a call that may be given up, are looked at this often. */
const LOOK_MS = 100;
/** Between tries while the store fails: at once soon after a failure, then so often that all daemons stay far below its rate. */
const FIRST_RETRY_MS = 60;
const LONGEST_RETRY_MS = 500;
/**
 * The same while a peer vouches for what is known here: hundreds of daemons that the store turns away
 * learn all from peers, and need it again only some time after its return.
 */
const VOUCHED_RETRY_SHARE = 0.3;

export function watchFeed<T>(ctx: GatewayContext, options: WatchOptions<T>): Watch {
  const { feed, take, waitMs = () => DEFAULT_WAIT_MS, restsAlways = false } = options;
  const { restUntil = (since: MonoTime) => later(since, DEFAULT_REST_MS) } = options;
  const { trustUntil = (now: MonoTime) => now } = options;
  let revision = 0;
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
    revision = Math.max(revision, result.revision);
    if (isWhole || result.changes.length > 0) take(result.changes, isWhole);
  };

  const longestRetryMs = (): number => {
    const now = ctx.clock.now();
    if (now >= trustUntil(now)) return LONGEST_RETRY_MS;
    return Math.max(LONGEST_RETRY_MS, ctx.tunables.value.settleMs * VOUCHED_RETRY_SHARE);
  };

  const fail = async (err: StepError, sentAt: MonoTime): Promise<void> => {
    if (err.code === 'history-gone') {
      ctx.logger.warn('history gone, loading anew', { step: 'watch', collection: feed.name });
      revision = 0;
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
    await ctx.store.turn(feed.name, longestCallMs(ctx.tunables.value.settleMs));
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
      wishedMs: waitMs(),
      trustedUntil: trustUntil(sentAt),
      isFailing: failures > 0,
    });
    const cancel = new AbortController();
    const looks = setInterval(() => {
      const now = ctx.clock.now();
      const answeredAt = ctx.store.answeredAt();
      const verdict = judgePoll(plan, {
        now,
        trustedUntil: trustUntil(now),
        ...(answeredAt !== undefined && { answeredAt }),
      });
      if (verdict !== 'wait') cancel.abort(verdict);
    }, LOOK_MS);
    const result = await feed.poll(revision, plan.waitMs, cancel.signal);
    clearInterval(looks);
    return result.isErr() && cancel.signal.reason === 'renew' ? undefined : result;
  };

  const step = async (): Promise<void> => {
    const isWhole = revision === 0;
    const sentAt = ctx.clock.now();
    const result = await (isWhole ? feed.load() : poll());
    if (stopped || !result) return;
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
    ageMs,
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

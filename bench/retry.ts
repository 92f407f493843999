/**
 * Compares retries with and without a budget while a fabric domain has no power: attempts per
 * accepted request, and requests answered. In the simulation a group accepts a fixed number of
 * attempts per second and refuses the rest.
 */

import { createRandom } from '../src/adapters/runtime';
import type { MonoTime } from '../src/core/ids';
import { createBudget, deposit, tryWithdraw } from '../src/core/retry/budget';
import type { RetryBudget } from '../src/core/retry/budget';
import { decideRetry } from '../src/core/retry/decide';
import type { AttemptFailure } from '../src/core/retry/decide';
import { summarise } from './statistics';
import type { Summary } from './statistics';

const GROUPS = 16;
const GROUPS_PER_DOMAIN = 4;
/** Attempts that one group accepts per second. */
const GROUP_RATE = 50;
const SECONDS = 60;
/** Start and end of the first domain's power loss, seconds. */
const DARK = { from: 20, to: 40 };
const MAX_ATTEMPTS = 4;
const DEADLINE_MS = 5_000;
const DELAYS = { firstMs: 20, maxMs: 1_000 };
const SEEDS = Array.from({ length: 10 }, (_, i) => i + 1);
/** Offered load as a fraction of the capacity of all groups. */
const LOADS = [0.5, 0.8, 1.1];
/** Time after which a group without power is no longer a candidate, milliseconds. */
const UNROUTABLE_AFTER_MS = 300;

interface Pending {
  readonly acceptedAt: number;
  readonly tried: ReadonlySet<number>;
  readonly attempts: number;
}

interface RunResult {
  readonly sentPerAccepted: number;
  readonly sentPerAcceptedWhileDark: number;
  readonly answeredShare: number;
}

const isDarkAt = (group: number, ms: number): boolean =>
  group < GROUPS_PER_DOMAIN && ms >= DARK.from * 1_000 && ms < DARK.to * 1_000;

const isOffered = (group: number, ms: number): boolean =>
  !isDarkAt(group, ms) || ms < DARK.from * 1_000 + UNROUTABLE_AFTER_MS;

function runRetries(load: number, hasBudget: boolean, seed: number): RunResult {
  const random = createRandom(seed);
  let budget: RetryBudget = createBudget();
  const taken = new Map<string, number>();
  const queue = new Map<number, Pending[]>();
  const counts = { accepted: 0, sent: 0, answered: 0, darkAccepted: 0, darkSent: 0 };

  const withdraw = (): boolean => {
    if (!hasBudget) return true;
    const remaining = tryWithdraw(budget);
    if (remaining !== undefined) budget = remaining;
    return remaining !== undefined;
  };

  const send = (group: number, ms: number): AttemptFailure | undefined => {
    if (isDarkAt(group, ms)) return 'lost';
    const groupSecond = `${group}/${Math.floor(ms / 1_000)}`;
    const before = taken.get(groupSecond) ?? 0;
    taken.set(groupSecond, before + 1);
    return before < GROUP_RATE ? undefined : 'refused';
  };

  const attempt = (pending: Pending, ms: number): void => {
    const candidates = Array.from({ length: GROUPS }, (_, i) => i).filter(
      (group) => !pending.tried.has(group) && isOffered(group, ms),
    );
    const group = candidates[Math.floor(random.next() * candidates.length)];
    if (group === undefined) return;
    counts.sent += 1;
    const isDark = ms >= DARK.from * 1_000 && ms < DARK.to * 1_000;
    if (isDark) counts.darkSent += 1;
    const failure = send(group, ms);
    if (failure === undefined) {
      counts.answered += 1;
      return;
    }
    const attempts = pending.attempts + 1;
    const deadline = (pending.acceptedAt + DEADLINE_MS) as MonoTime;
    const facts = {
      failure,
      repeatable: true,
      started: false,
      attempts,
      maxAttempts: MAX_ATTEMPTS,
      deadline,
    };
    const ctx = { now: ms as MonoTime, random: random.next(), withdraw };
    const decision = decideRetry(facts, DELAYS, ctx);
    if (decision.kind === 'stop') return;
    const at = Math.ceil(decision.at);
    const again = { ...pending, attempts, tried: new Set([...pending.tried, group]) };
    queue.set(at, [...(queue.get(at) ?? []), again]);
  };

  const arrivalsPerMs = (GROUPS * GROUP_RATE * load) / 1_000;
  let pendingArrivals = 0;
  for (let ms = 0; ms < SECONDS * 1_000; ms += 1) {
    queue.get(ms)?.forEach((pending) => {
      attempt(pending, ms);
    });
    queue.delete(ms);
    for (pendingArrivals += arrivalsPerMs; pendingArrivals >= 1; pendingArrivals -= 1) {
      counts.accepted += 1;
      if (ms >= DARK.from * 1_000 && ms < DARK.to * 1_000) counts.darkAccepted += 1;
      budget = deposit(budget);
      attempt({ acceptedAt: ms, tried: new Set(), attempts: 0 }, ms);
    }
  }
  return {
    sentPerAccepted: counts.sent / counts.accepted,
    sentPerAcceptedWhileDark: counts.darkSent / counts.darkAccepted,
    answeredShare: counts.answered / counts.accepted,
  };
}

export interface RetryRow {
  readonly load: number;
  readonly budget: boolean;
  readonly sentPerAccepted: Summary;
  readonly sentPerAcceptedWhileDark: Summary;
  readonly answeredShare: Summary;
}

function compare(load: number, budget: boolean): RetryRow {
  const results = SEEDS.map((seed) => runRetries(load, budget, seed));
  return {
    load,
    budget,
    sentPerAccepted: summarise(results.map((each) => each.sentPerAccepted)),
    sentPerAcceptedWhileDark: summarise(results.map((each) => each.sentPerAcceptedWhileDark)),
    answeredShare: summarise(results.map((each) => each.answeredShare)),
  };
}

/** One row per load, with and without a budget. */
export function compareRetries(): readonly RetryRow[] {
  return LOADS.flatMap((load) => [compare(load, false), compare(load, true)]);
}

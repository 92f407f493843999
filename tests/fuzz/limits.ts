/** Fuzzes shared rate limits: no span has more requests than the platform's rule allows, and the limit is used. */

import { allowedInSpan, SETTLE_MS, SPAN_MS } from '../support/server-rules';
import { LONGEST_ANSWER_MS, runLimits, TOLD_AFTER_MS } from './limits-world';
import type { LimitsResult } from './limits-world';
import type { FuzzOptions } from './options';

/** A lowered limit binds daemons once a response can have carried it, plus half a second as for a first limit. */
const UPDATE_DELAY_MS = LONGEST_ANSWER_MS + TOLD_AFTER_MS;
const SAMPLE_MS = 50;

export const SIZES = [1, 3, 7, 13, 14, 70, 195] as const;
const RUN_MS = 40_000;

/** Requests that the server allows in the span from `from`; infinite if it set no limit in the span. */
function allowanceIn(limitAt: LimitsResult['limitAt'], from: number): number {
  let sum = 0;
  for (let at = from; at < from + SPAN_MS; at += SAMPLE_MS) {
    const before = limitAt(Math.max(0, at - UPDATE_DELAY_MS)) ?? Infinity;
    sum += (Math.max(before, limitAt(at) ?? Infinity) * SAMPLE_MS) / 1_000;
  }
  return sum;
}

/** Describes the first span with more requests than the rule allows. */
export function findExcess({ arrivals, limitAt, firstNamedAt }: LimitsResult): string | undefined {
  const times = arrivals.filter(({ isCounted }) => isCounted).map(({ at }) => at);
  let last = 0;
  for (const [first, from] of times.entries()) {
    if (from < firstNamedAt + SETTLE_MS) continue;
    while (last < times.length && (times[last] ?? 0) < from + SPAN_MS) last += 1;
    const allowed = allowedInSpan(allowanceIn(limitAt, from));
    if (last - first > allowed)
      return `${last - first} requests from ${from} on, ${allowed} allowed`;
  }
  return undefined;
}

/** The fraction of the allowed requests that was sent, measured after the settling time. */
export function usedShare({ arrivals, limitAt, firstNamedAt }: LimitsResult): number {
  const from = firstNamedAt + SETTLE_MS;
  let allowance = 0;
  for (let at = from; at < RUN_MS; at += SAMPLE_MS) {
    allowance += ((limitAt(at) ?? 0) * SAMPLE_MS) / 1_000;
  }
  const sent = arrivals.filter(({ at }) => at >= from && limitAt(at) !== undefined).length;
  return Math.min(1, sent / allowance);
}

export interface SeedOptions {
  readonly faultShare?: number;
  readonly isUnshared?: boolean;
}

export function runSeed(
  seed: number,
  options: SeedOptions = {},
): LimitsResult & { readonly daemons: number } {
  const daemons = SIZES[Math.abs(seed) % SIZES.length] ?? 7;
  return { ...runLimits({ seed, daemons, ms: RUN_MS, ...options }), daemons };
}

/** Minimum mean utilisation over many histories; sending nothing would satisfy every limit. */
const MIN_UTILISATION = 0.5;

export function fuzzLimits({ seed: first, runs, onRun }: FuzzOptions): void {
  let used = 0;
  for (let seed = first; seed < first + runs; seed++) {
    const result = runSeed(seed);
    const excess = findExcess(result);
    if (excess !== undefined) {
      throw new Error(
        `seed ${seed}, ${result.daemons} daemons: ${excess}\n${result.trace.join('\n')}`,
      );
    }
    used += usedShare(result);
    onRun?.(seed - first + 1);
  }
  if (used / runs < MIN_UTILISATION) {
    throw new Error(
      `of the limits only ${(used / runs).toFixed(2)} was used, from seed ${first} on`,
    );
  }
}

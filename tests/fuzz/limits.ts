/** Fuzzing of shared limits: no span holds more requests than the platform's rule allows, and the limit is used. */

import { allowedInSpan, SETTLE_MS, SPAN_MS } from '../support/server-rules';
import { LONGEST_ANSWER_MS, runLimits, TOLD_AFTER_MS } from './limits-world';
import type { LimitsResult } from './limits-world';
import type { FuzzOptions } from './options';

/** A limit that has fallen binds daemons once an answer can have told them: as a first one does, half a second later. */
const TOLD_MS = LONGEST_ANSWER_MS + TOLD_AFTER_MS;
const SAMPLE_MS = 50;

export const SIZES = [1, 3, 7, 13, 14, 70, 195] as const;
const RUN_MS = 40_000;

/** Requests that the server takes in the span that begins at `from`; infinite where it named no limit in it. */
function takenIn(limitAt: LimitsResult['limitAt'], from: number): number {
  let sum = 0;
  for (let at = from; at < from + SPAN_MS; at += SAMPLE_MS) {
    const before = limitAt(Math.max(0, at - TOLD_MS)) ?? Infinity;
    sum += (Math.max(before, limitAt(at) ?? Infinity) * SAMPLE_MS) / 1_000;
  }
  return sum;
}

/** The first span with more requests than the rule allows, in words. */
export function findExcess({ arrivals, limitAt, firstNamedAt }: LimitsResult): string | undefined {
  const times = arrivals.filter(({ isCounted }) => isCounted).map(({ at }) => at);
  let last = 0;
  for (const [first, from] of times.entries()) {
    if (from < firstNamedAt + SETTLE_MS) continue;
    while (last < times.length && (times[last] ?? 0) < from + SPAN_MS) last += 1;
    const allowed = allowedInSpan(takenIn(limitAt, from));
    if (last - first > allowed)
      return `${last - first} requests from ${from} on, ${allowed} allowed`;
  }
  return undefined;
}

/** The part of what the server took that was sent to it, from the end of the time to settle on. */
export function usedShare({ arrivals, limitAt, firstNamedAt }: LimitsResult): number {
  const from = firstNamedAt + SETTLE_MS;
  let taken = 0;
  for (let at = from; at < RUN_MS; at += SAMPLE_MS) {
    taken += ((limitAt(at) ?? 0) * SAMPLE_MS) / 1_000;
  }
  const sent = arrivals.filter(({ at }) => at >= from && limitAt(at) !== undefined).length;
  return Math.min(1, sent / taken);
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

/** A server that gets nothing keeps every limit: over many histories at least so much of it is used. */
const LEAST_USED = 0.5;

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
  if (used / runs < LEAST_USED) {
    throw new Error(
      `of the limits only ${(used / runs).toFixed(2)} was used, from seed ${first} on`,
    );
  }
}

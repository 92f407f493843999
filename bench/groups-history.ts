/** Generates seeded fault histories of one fabric domain, at the rates expected of the users' planned size. */

import { createRandom } from '../src/adapters/runtime';
import type { Random } from '../src/ports/runtime';

/** `die`: the instance is lost and replaced later; `dark`: the domain loses power. */
export type FaultKind = 'pause' | 'restart' | 'die' | 'dark';

export interface Fault {
  readonly kind: FaultKind;
  /** Seconds from the start. */
  readonly at: number;
  /** Seconds until the instance or its replacement is back. */
  readonly forS: number;
  /** Index of the instance, modulo the domain's size. */
  readonly pick: number;
}

/** Faults per instance and day; the requirements give 150 failures and 830 restarts among 7,500. */
export const RATES = { die: 150 / 7_500, restart: 830 / 7_500, pause: 830 / 7_500 } as const;
/** One rack a week among 250 domains of 30 (7,500 servers). */
const DARK_PER_DAY = 1 / 7 / 250;

/** Fixed durations, seconds. Assumed: the requirements give none. */
export const TIMES = {
  shortPause: 10,
  longPause: 45,
  restart: 90,
  replaced: 600,
  dark: 300,
  load: 120,
} as const;

export interface HistoryOptions {
  readonly seed: number;
  readonly days: number;
  readonly instances: number;
}

const SECONDS_A_DAY = 86_400;
const LONG_PAUSES = 0.2;

export function createHistory({ seed, days, instances }: HistoryOptions): readonly Fault[] {
  const random = createRandom(seed);
  const faults: Fault[] = [];
  const perDay = (kind: FaultKind, rate: number, forS: () => number): void => {
    for (const at of arrivals(random, rate / SECONDS_A_DAY, days * SECONDS_A_DAY)) {
      faults.push({ kind, at, forS: forS(), pick: Math.floor(random.next() * instances) });
    }
  };
  const pause = () => (random.next() < LONG_PAUSES ? TIMES.longPause : TIMES.shortPause);
  perDay('pause', RATES.pause * instances, pause);
  perDay('restart', RATES.restart * instances, () => TIMES.restart);
  perDay('die', RATES.die * instances, () => TIMES.replaced);
  perDay('dark', DARK_PER_DAY, () => TIMES.dark);
  return faults.sort((a, b) => a.at - b.at);
}

/** Samples a Poisson process from exponential gaps. */
function arrivals(random: Random, perSecond: number, until: number): readonly number[] {
  const times: number[] = [];
  let at = 0;
  for (;;) {
    at += -Math.log(1 - random.next()) / perSecond;
    if (at >= until) return times;
    times.push(at);
  }
}

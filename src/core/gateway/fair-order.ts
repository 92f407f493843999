/**
 * Order among organisations within a priority class.
 *
 * Load pattern: one organisation sends far more requests than the others while there are not enough slots.
 * In order of arrival its requests would take nearly all slots, and those of a small organisation would
 * become late with them. So the requests of an organisation that was served less recently go first.
 */

import type { MonoTime } from '../ids';

/** Recently served requests of an organisation, decaying exponentially. */
export interface RecentUse {
  readonly served: number;
  readonly at: MonoTime;
}

/** Time constant of the decay, milliseconds: a daemon serves a few requests a second, so about 40 count. */
const DECAY_MS = 10_000;

function decayed({ served, at }: RecentUse, now: MonoTime): number {
  return served * Math.exp((at - now) / DECAY_MS);
}

/** The use with one more served request. */
export function noteServed(use: RecentUse | undefined, now: MonoTime): RecentUse {
  return { served: (use ? decayed(use, now) : 0) + 1, at: now };
}

/**
 * The rank of an organisation; the lower one goes first. Organisations of similar use have the same rank, so
 * that among these the order is that of arrival and holding time.
 */
export function rankByUse(use: RecentUse | undefined, now: MonoTime): number {
  return use ? Math.floor(Math.log2(1 + decayed(use, now))) : 0;
}

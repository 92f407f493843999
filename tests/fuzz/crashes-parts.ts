/** Requests whose prompts share parts, among them a few that crash each group that answers them. */

import type { Random } from '../../src/ports/runtime';
import type { Exchange } from '../../src/app/gateway/exchange';
import { makeRequest } from './crashes-fakes';

/** Kinds of requests, each with a first part of its own. */
const KINDS = 3;
const SUBJECTS = 20;
const FATAL_PARTS = 3;

export interface PartRequests {
  /** A sound request; `n` makes it unlike any other. */
  sound(n: number): Exchange;
  /** A request with one of the fatal parts, at any place among parts that sound ones share. */
  fatal(fatalPart: number, n: number): Exchange;
  readonly fatalParts: number;
}

/** The first part of a request's prompt. */
export function firstPartOf({ facts }: Exchange): string | undefined {
  return facts.sharedParts?.[0];
}

export function createPartRequests(random: Random): PartRequests {
  const pick = (count: number): number => Math.floor(random.next() * count);
  /** Some subjects are asked for far more often than others. */
  const subject = (): string => `subject${Math.floor(SUBJECTS * random.next() ** 2)}`;
  const fatalParts = 1 + pick(FATAL_PARTS);
  const kinds = Array.from({ length: fatalParts }, () => pick(KINDS));
  const places = Array.from({ length: fatalParts }, () => pick(3));
  return {
    fatalParts,
    sound: (n) => makeRequest(`sound ${n}`, [`kind${pick(KINDS)}`, subject()]),
    fatal: (part, n) => {
      const shared = [`kind${kinds[part] ?? 0}`, subject()];
      const place = places[part] ?? 0;
      const parts = [...shared.slice(0, place), `fatal${part}`, ...shared.slice(place)];
      return makeRequest(`fatal ${part} ${n}`, parts);
    },
  };
}

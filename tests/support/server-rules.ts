/** The platform's rules for what a server says of itself, as oracles count by them. */

/** Counted from so long after a server first named its limit, over spans of this length. */
export const SETTLE_MS = 3_000;
export const SPAN_MS = 4_000;
const SPARE_RATIO = 1.5;
const SPARE_REQUESTS = 5;
/** From so long after an answer asked for rest to its end, no more than so many requests of one daemon. */
const HEARD_MS = 500;
export const MOST_IN_REST = 2;

/** Requests that a span may hold in which the server takes `taken`. */
export function allowedInSpan(taken: number): number {
  return SPARE_RATIO * taken + SPARE_REQUESTS;
}

/** The same for a limit that stands throughout. */
export function allowedBy(limitPerS: number): number {
  return allowedInSpan((limitPerS * SPAN_MS) / 1_000);
}

/** Most requests in one span. */
export function mostInSpan(times: readonly number[]): number {
  const counts = times.map((from) => times.filter((t) => t >= from && t < from + SPAN_MS).length);
  return Math.max(0, ...counts);
}

/** Most requests of one daemon within a rest, where the server asks for one with each answer. */
export function mostInRest(times: readonly number[], restS: number): number {
  const counts = times.map(
    (from) => times.filter((t) => t > from + HEARD_MS && t < from + restS * 1_000).length,
  );
  return Math.max(0, ...counts);
}

/**
 * The platform's rules on the limits and backoffs that a server announces, and on requests that crash
 * servers, as the test oracles apply them.
 */

/** Requests count from this long after a server first announces its limit. */
export const SETTLE_MS = 3_000;
/** Length of the spans in which requests are counted. */
export const SPAN_MS = 4_000;
const TOLERANCE_RATIO = 1.5;
const TOLERANCE_REQUESTS = 5;
/** A backoff (Retry-After) binds a daemon from this long after the answer that asked for it. */
const BACKOFF_GRACE_MS = 500;
/** Most requests of one daemon from then to the end of the backoff. */
export const MOST_IN_REST = 2;

/** Requests allowed in a span in which the server accepts `accepted`. */
export function allowedInSpan(accepted: number): number {
  return TOLERANCE_RATIO * accepted + TOLERANCE_REQUESTS;
}

/** Requests allowed in a span with a constant limit. */
export function allowedBy(limitPerS: number): number {
  return allowedInSpan((limitPerS * SPAN_MS) / 1_000);
}

/** Returns the most requests in any one span; `times` in milliseconds. */
export function mostInSpan(times: readonly number[]): number {
  const counts = times.map((from) => times.filter((t) => t >= from && t < from + SPAN_MS).length);
  return Math.max(0, ...counts);
}

/** Returns the most requests of one daemon within one backoff, where every answer of the server asks for one. */
export function mostInRest(times: readonly number[], backoffS: number): number {
  const counts = times.map(
    (from) =>
      times.filter((t) => t > from + BACKOFF_GRACE_MS && t < from + backoffS * 1_000).length,
  );
  return Math.max(0, ...counts);
}

/** Servers that a request may crash before daemons are expected to recognise it. */
export const CRASHES_TO_RECOGNISE = 3;
/** Most further arrivals of such a request at servers, counted from `SETTLE_MS` after the last of these crashes. */
export const MAX_SENDS_AFTER_CRASHES = 3;

/** Servers that a part of a prompt may crash before daemons are expected to recognise it. */
export const CRASHES_TO_RECOGNISE_PART = 5;

/** From when on daemons should refuse a request with these crashes, milliseconds; infinite if there were too few. */
export function refusedFrom(
  crashTimes: readonly number[],
  crashesToRecognise = CRASHES_TO_RECOGNISE,
): number {
  const recognisedAt = crashTimes.toSorted((a, b) => a - b)[crashesToRecognise - 1];
  return recognisedAt === undefined ? Infinity : recognisedAt + SETTLE_MS;
}

/** Arrivals of a request at servers after daemons should have refused it; times in milliseconds. */
export function sendsAfterCrashes(
  crashTimes: readonly number[],
  arrivalTimes: readonly number[],
  crashesToRecognise = CRASHES_TO_RECOGNISE,
): number {
  const from = refusedFrom(crashTimes, crashesToRecognise);
  return arrivalTimes.filter((at) => at > from).length;
}

/** From this long after its last allowed crash on, a part must not keep other requests from being served. */
export const SERVED_AGAIN_MS = 2 * SETTLE_MS;
/** Share of the usual success rate that requests which share other parts with fatal ones must reach then. */
export const MIN_SHARE_OF_USUAL = 1 / 2;

/** Share of the success rate at other daemons that one which is cut off from all servers must reach. */
const CUT_OFF_RATIO = 2 / 3;
/** Failures at these daemons that are allowed in any case: a number, and a share of the requests. */
const CUT_OFF_FAILURES = 10;
const CUT_OFF_FAILURE_SHARE = 1 / 50;

function shareOf(served: readonly boolean[]): number {
  return served.length === 0 ? 1 : served.filter(Boolean).length / served.length;
}

/** Whether daemons that are cut off serve enough of the requests; the lists tell for each whether it was served. */
export function isServedEnough(
  atCutOff: readonly boolean[],
  atOthers: readonly boolean[],
): boolean {
  const failures = atCutOff.filter((served) => !served).length;
  const allowed = CUT_OFF_FAILURES + CUT_OFF_FAILURE_SHARE * atCutOff.length;
  return failures <= allowed || shareOf(atCutOff) >= CUT_OFF_RATIO * shareOf(atOthers);
}

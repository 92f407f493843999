/** Decides whether the loss of a group has another cause than a request that ran there. */

import type { Fingerprint, GroupId } from '../ids';
import { countInSequence } from './loss-sequence';
import type { LostGroup, QuarantineState, Strike } from './quarantine-types';

/** Requests that recently lost one group after the other, and these groups, whose losses they explain. */
interface RepeatedLosses {
  readonly fingerprints: ReadonlySet<Fingerprint>;
  readonly groups: ReadonlySet<GroupId>;
}

function findRepeatedLosses({ recent }: QuarantineState): RepeatedLosses {
  const byRequest = new Map<Fingerprint, Map<GroupId, Strike>>();
  for (const strike of recent) {
    const known = byRequest.get(strike.fingerprint) ?? new Map<GroupId, Strike>();
    byRequest.set(strike.fingerprint, known.set(strike.group, strike));
  }
  const repeated = [...byRequest].filter(
    ([, strikes]) => countInSequence([...strikes.values()]) > 1,
  );
  return {
    fingerprints: new Set(repeated.map(([fingerprint]) => fingerprint)),
    groups: new Set(repeated.flatMap(([, strikes]) => [...strikes.keys()])),
  };
}

function lostTogether(state: QuarantineState, strike: Strike): readonly LostGroup[] {
  const { correlationWindowMs: windowMs } = state.opts;
  return state.lost.filter((loss) => Math.abs(loss.epochAt - strike.at) <= windowMs);
}

function distinctGroups(losses: readonly LostGroup[]): number {
  return new Set(losses.map(({ group }) => group)).size;
}

/**
 * Whether the loss has a wider cause: a failed domain, or several groups lost together. Further groups that
 * requests explain by their repeated losses do not count; and no fault of many groups at one moment explains
 * that a request lost one group after the other.
 */
function hasWiderCause(state: QuarantineState, strike: Strike, repeated: RepeatedLosses): boolean {
  const together = lostTogether(state, strike);
  const isDomainDown = together.some(
    ({ group, isDomainDown: isDown }) => group === strike.group && isDown,
  );
  const inDomain = together.filter(({ domain }) => domain === strike.domain);
  const unexplained = together.filter(
    ({ group }) => group === strike.group || !repeated.groups.has(group),
  );
  const { domainFaultGroups: domainLimit, wideFaultGroups: wideLimit } = state.opts;
  const isWide =
    distinctGroups(unexplained) >= wideLimit && !repeated.fingerprints.has(strike.fingerprint);
  return isDomainDown || distinctGroups(inDomain) >= domainLimit || isWide;
}

/** Whether another request, sent by any daemon, ran on the same group and explains the loss better. */
function isCausedByOther(
  state: QuarantineState,
  { fingerprint, group, suspect, at }: Strike,
  repeated: RepeatedLosses,
): boolean {
  if (suspect) return false;
  if (repeated.groups.has(group) && !repeated.fingerprints.has(fingerprint)) return true;
  const { attributionWindowMs } = state.opts;
  return state.recent.some(
    (other) =>
      other.suspect && other.group === group && Math.abs(other.at - at) < attributionWindowMs,
  );
}

/** Returns a check of strikes: whether the loss has another cause than the request. */
export function createCauseCheck(state: QuarantineState): (strike: Strike) => boolean {
  const repeated = findRepeatedLosses(state);
  return (strike) =>
    hasWiderCause(state, strike, repeated) || isCausedByOther(state, strike, repeated);
}

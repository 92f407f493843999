/** Counts losses in sequence: how often a request lost a group, was sent again and lost another. */

/** A loss of a group and the age of the run that it ended, milliseconds; on any one clock. */
interface TimedLoss {
  readonly at: number;
  readonly ageMs: number;
}

/** Runs that overlap by less than this count as one after the other: daemons date each other's strikes roughly. */
const OVERLAP_MS = 200;

/**
 * The greatest number of strikes whose runs did not overlap. A request that many callers send is running on
 * several groups at any time and may lose them together; one that ends groups loses one after the other.
 */
export function countInSequence(strikes: readonly TimedLoss[]): number {
  let count = 0;
  let lostAt = -Infinity;
  for (const { at, ageMs } of strikes.toSorted((a, b) => a.at - b.at)) {
    if (at - ageMs < lostAt - OVERLAP_MS) continue;
    count += 1;
    lostAt = at;
  }
  return count;
}

/**
 * The order in which daemons take the lease of the leader.
 *
 * Load pattern: a fleet of hundreds in which most machines have a third of a core. The leader plans
 * groups and hears all the others; on a small machine it is late with its own renewals. The strongest
 * machines go first, in an order that all daemons work out alike.
 */

import type { DaemonId } from '../ids';
import { rankByRendezvous } from '../membership/rendezvous';

/** Processor cores by daemon. */
export type CoreCounts = ReadonlyMap<DaemonId, number>;

export function rankSuccessors(lease: string, strengths: CoreCounts): readonly DaemonId[] {
  const coresOf = (id: DaemonId): number => strengths.get(id) ?? 0;
  return [...rankByRendezvous(lease, [...strengths.keys()])].sort(
    (a, b) => coresOf(b) - coresOf(a),
  );
}

/** So many of the first in line look at the lease from the start. */
const FIRST_READERS = 6;

/**
 * How long a daemon waits before it looks at the lease while it hears of no leader, milliseconds. Those
 * behind look only once the ones before them have had their turns: hundreds that ask the store together
 * for a lease that one of them may take are a load and bring nothing.
 */
export function leaseReadDelayMs(rank: number, turnMs: number): number {
  return Math.max(0, rank - FIRST_READERS) * turnMs;
}

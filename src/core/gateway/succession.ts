/**
 * The order in which daemons try to acquire the leader's lease.
 *
 * Load pattern: a fleet of hundreds in which most machines have a third of a core. The leader plans groups
 * and receives the reports of all others; on a small machine it is late in renewing its lease. So daemons
 * with the most cores go first, in an order that all daemons compute alike.
 */

import type { DaemonId } from '../ids';
import { rankByRendezvous } from '../membership/rendezvous';

/** Processor cores by daemon. */
export type CoreCounts = ReadonlyMap<DaemonId, number>;

/** All daemons, the first candidate for the lease first: by cores, ties by rendezvous hashing. */
export function rankSuccessors(lease: string, cores: CoreCounts): readonly DaemonId[] {
  const coresOf = (id: DaemonId): number => cores.get(id) ?? 0;
  return [...rankByRendezvous(lease, [...cores.keys()])].sort((a, b) => coresOf(b) - coresOf(a));
}

/** Number of first candidates that read the lease without delay. */
const FIRST_READERS = 6;

/**
 * Time for which a daemon without a known leader waits before it reads the lease, milliseconds. Each later
 * candidate waits `stepMs` longer than the one before it: hundreds of daemons reading at once a lease that only
 * one can acquire would load the store for nothing.
 */
export function leaseReadDelayMs(rank: number, stepMs: number): number {
  return Math.max(0, rank - FIRST_READERS) * stepMs;
}

/** Backend servers of plain services: calls in flight on each, and which did not answer lately. */

import type { ServiceSpec } from '../../core/config/types';
import type { MonoTime } from '../../core/ids';
import { later } from '../../core/ids';
import type { Clock, Random } from '../../ports/runtime';

/** How long a backend server that could not be reached is passed over, milliseconds. */
const AVOID_MS = 1_000;

export interface Backends {
  /** The backend server with fewest calls in flight; undefined if none has room. */
  pick(spec: ServiceSpec, tried: ReadonlySet<string>): string | undefined;
  /** Counts a call in flight; the function it gives ends it. */
  acquire(address: string): () => void;
  /** Could not be reached just now. */
  markUnreachable(address: string): void;
}

export function createBackends(clock: Clock, random: Random): Backends {
  const inFlight = new Map<string, number>();
  const avoided = new Map<string, MonoTime>();
  const loadOf = (address: string): number => inFlight.get(address) ?? 0;
  const isAvoided = (address: string): boolean => (avoided.get(address) ?? 0) > clock.now();

  const change = (address: string, by: number): void => {
    const load = loadOf(address) + by;
    if (load === 0) inFlight.delete(address);
    else inFlight.set(address, load);
  };

  const leastLoaded = (addresses: readonly string[]): string | undefined => {
    const least = Math.min(...addresses.map(loadOf));
    const equals = addresses.filter((address) => loadOf(address) === least);
    return equals[Math.floor(random.next() * equals.length)];
  };

  return {
    pick: (spec, tried) => {
      const open = spec.backends.filter(
        (address) => !tried.has(address) && loadOf(address) < spec.maxInFlight,
      );
      const reachable = open.filter((address) => !isAvoided(address));
      return leastLoaded(reachable.length > 0 ? reachable : open);
    },
    acquire: (address) => {
      change(address, 1);
      return () => {
        change(address, -1);
      };
    },
    markUnreachable: (address) => {
      avoided.set(address, later(clock.now(), AVOID_MS));
    },
  };
}

/** Least-loaded selection among a plain service's backend servers, avoiding unreachable ones. */

import type { ServiceSpec } from '../../core/config/types';
import type { MonoTime } from '../../core/ids';
import { later } from '../../core/ids';
import type { Clock, Random } from '../../ports/runtime';

/** How long an unreachable backend server is avoided, milliseconds. */
const AVOID_MS = 1_000;

/** Calls in flight and reachability, by address of the backend server. */
export interface Backends {
  /**
   * Returns the backend server with the fewest calls in flight, with ties broken at random. Avoids
   * unreachable ones if possible. Undefined if all untried ones are at their limit.
   */
  pick(spec: ServiceSpec, tried: ReadonlySet<string>): string | undefined;
  /** Counts a call as in flight. The returned function ends it. */
  acquire(address: string): () => void;
  /** Marks the backend server as unreachable, so that it is avoided for a while. */
  markUnreachable(address: string): void;
}

/** Creates the tracker of backend servers. */
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

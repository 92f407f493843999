/** What this daemon may send to each backend server now, by all that the server said of itself. */

import { noteBackoff, backoffRemainingMs } from '../../core/gateway/server-backoff';
import type { Backoffs } from '../../core/gateway/server-backoff';
import type { InstanceId } from '../../core/ids';
import type { GatewayContext } from './context';
import type { RateLimits } from './rate-limits';

export interface Throttle {
  /** Requests that may be sent to the server now; infinite where it said nothing of it. */
  tokens(server: InstanceId): number;
  /** Takes a turn for a request that is being sent. */
  takeToken(server: InstanceId): void;
  /** Time until this daemon has a turn, milliseconds: 0 where it has one, infinite where it will have none. */
  msUntilToken(server: InstanceId): number;
  /** Time until the server takes a request that was refused here, from this daemon or another, milliseconds. */
  msUntilAccepted(server: InstanceId): number;
  /** Whether the server wants nothing from this daemon, also of what was chosen for it before. */
  isBackingOff(server: InstanceId): boolean;
  /** The server turned this daemon away and wants nothing from it for so long, milliseconds. */
  noteBackoff(server: InstanceId, restMs: number): void;
  /** Whether turns have come for requests that wait. */
  tick(): boolean;
}

/** The least of the times; 0 where there is none, since no server's word stands in the way then. */
export function minOrZero(times: readonly number[]): number {
  return times.length === 0 ? 0 : Math.min(...times);
}

export function createThrottle({ clock, logger }: GatewayContext, limits: RateLimits): Throttle {
  let rests: Backoffs = new Map();
  /** Servers that rested when it was last looked. */
  let resting: ReadonlySet<InstanceId> = new Set();

  const leftMs = (server: InstanceId): number => backoffRemainingMs(rests, server, clock.now());

  const hasAnyEnded = (): boolean => {
    const before = resting;
    resting = new Set([...rests.keys()].filter((server) => leftMs(server) > 0));
    return [...before].some((server) => !resting.has(server));
  };

  return {
    tokens: (server) => (leftMs(server) > 0 ? 0 : limits.tokens(server)),
    takeToken: (server) => {
      limits.takeToken(server);
    },
    msUntilToken: (server) => Math.max(leftMs(server), limits.msUntilToken(server)),
    msUntilAccepted: (server) => Math.max(leftMs(server), limits.msUntilAccepted(server)),
    isBackingOff: (server) => leftMs(server) > 0,
    noteBackoff: (server, restMs) => {
      const next = noteBackoff(rests, server, restMs, clock.now());
      if (next === rests) return;
      rests = next;
      logger.info('server rests', { step: 'rest', server, restMs: Math.round(leftMs(server)) });
    },
    tick: () => {
      const haveRestsEnded = hasAnyEnded();
      return limits.tick() || haveRestsEnded;
    },
  };
}

/**
 * Limits what this daemon sends to each backend server: the server's rate limit, the limit while it
 * is cold and its backoff requests combined.
 */

import { noteBackoff, backoffRemainingMs } from '../../core/gateway/server-backoff';
import type { Backoffs } from '../../core/gateway/server-backoff';
import type { ColdLimit } from '../../core/gateway/limits/cold';
import type { InstanceId } from '../../core/ids';
import type { ColdLimits } from './cold-servers';
import type { GatewayContext } from './context';
import type { RateLimits } from './rate-limits';

export interface Throttle {
  /** Requests that may be sent to the server now; infinite if the server set no limit. */
  tokens(server: InstanceId): number;
  /** Takes a token for a request that is being sent. */
  takeToken(server: InstanceId): void;
  /**
   * Time until a token is available, milliseconds: 0 if one is, infinite if this daemon gets none.
   */
  msUntilToken(server: InstanceId): number;
  /** Time until the server accepts a request from any daemon, milliseconds. */
  msUntilAccepted(server: InstanceId): number;
  /**
   * Whether the server asked this daemon to back off. Applies to requests already assigned to it as
   * well.
   */
  isBackingOff(server: InstanceId): boolean;
  /**
   * To be called just before a request that took a token is sent, which counts it. Returns false if
   * it must not be sent: the server asked for a backoff or became cold after it was chosen.
   */
  maySend(server: InstanceId): boolean;
  /** Returns the token of a request that was not sent. */
  returnToken(server: InstanceId): void;
  /** The limit on requests to a cold server; undefined if it is not cold. */
  coldLimit(server: InstanceId): ColdLimit | undefined;
  /** Factor on the free capacity of a server that has just become warm; otherwise 1. */
  warmUpFactor(server: InstanceId): number;
  /**
   * Notes that the server refused a request and asked this daemon to back off for `restMs`
   * milliseconds.
   */
  noteBackoff(server: InstanceId, restMs: number): void;
  /** Whether tokens became available for waiting requests. */
  tick(): boolean;
}

/** The smallest of the times; 0 for an empty list, where no server imposes a wait. */
export function minOrZero(times: readonly number[]): number {
  return times.length === 0 ? 0 : Math.min(...times);
}

export function createThrottle(
  { clock, logger }: GatewayContext,
  rateLimits: RateLimits,
  coldLimits: ColdLimits & { tick(): boolean },
): Throttle {
  let backoffs: Backoffs = new Map();
  /** Servers that were in backoff at the last check. */
  let backingOff: ReadonlySet<InstanceId> = new Set();

  const remainingMs = (server: InstanceId): number =>
    backoffRemainingMs(backoffs, server, clock.now());

  const hasAnyBackoffEnded = (): boolean => {
    const before = backingOff;
    backingOff = new Set([...backoffs.keys()].filter((server) => remainingMs(server) > 0));
    return [...before].some((server) => !backingOff.has(server));
  };

  return {
    tokens: (server) =>
      remainingMs(server) > 0 ? 0 : Math.min(rateLimits.tokens(server), coldLimits.tokens(server)),
    takeToken: (server) => {
      rateLimits.takeToken(server);
      coldLimits.takeToken(server);
    },
    msUntilToken: (server) =>
      Math.max(
        remainingMs(server),
        rateLimits.msUntilToken(server),
        coldLimits.msUntilToken(server),
      ),
    msUntilAccepted: (server) =>
      Math.max(
        remainingMs(server),
        rateLimits.msUntilAccepted(server),
        coldLimits.msUntilAccepted(server),
      ),
    isBackingOff: (server) => remainingMs(server) > 0,
    maySend: (server) => remainingMs(server) === 0 && coldLimits.noteSent(server),
    returnToken: (server) => {
      coldLimits.returnToken(server);
    },
    coldLimit: (server) => coldLimits.limit(server),
    warmUpFactor: (server) => coldLimits.warmUpFactor(server),
    noteBackoff: (server, restMs) => {
      const next = noteBackoff(backoffs, server, restMs, clock.now());
      if (next === backoffs) return;
      backoffs = next;
      logger.info('server rests', {
        step: 'rest',
        server,
        restMs: Math.round(remainingMs(server)),
      });
    },
    tick: () => {
      const hasCapacity = [rateLimits.tick(), coldLimits.tick(), hasAnyBackoffEnded()];
      return hasCapacity.includes(true);
    },
  };
}

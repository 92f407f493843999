/**
 * The latest known running and waiting requests of the other daemons, and the slowdowns measured by
 * all.
 */

import type { OfferedLoad } from '../../core/gateway/capacity';
import { later } from '../../core/ids';
import type { InstanceId, ModelId } from '../../core/ids';
import type { GatewayContext } from './context';
import type { LoadSums } from './loads';

/** Which daemons' loads were summed. */
export interface LoadSource {
  /** A majority of the daemons that may be running. */
  readonly coversMost: boolean;
  /** All daemons that may hold answers; false if absent. */
  readonly coversAll?: boolean;
  /** Only the few that this daemon hears from, in a large fleet without a leader. */
  readonly isLeaderless: boolean;
}

export interface PeerLoads {
  /** Returns false if the sums are ignored because earlier ones are the better estimate. */
  apply(sums: LoadSums, facts: LoadSource): boolean;
  /** Whether the loads of the other daemons are known and fresh. */
  areFresh(): boolean;
  /** The same, with those of every daemon that may hold answers. */
  areComplete(): boolean;
  /** Heads of the groups in which other daemons have requests. */
  heads(): readonly InstanceId[];
  /** Requests of the other daemons in a group, and the prompt tokens of those without an event. */
  running(head: InstanceId): number;
  pendingPrefill(head: InstanceId): number;
  /** Slowdown factor of a group, as measured by all daemons. */
  pace(head: InstanceId): number;
  /** Requests of the other daemons that wait for a model, and their arrival rate. */
  offeredLoad(model: ModelId): OfferedLoad;
}

/** How long a sum of all loads is fresh; leaders send several in that time. */
const FRESH_MS = 1_500;
/**
 * If no later sum arrives, for example while the store is down and nobody can hold the lease, the
 * old sum remains a better estimate than the loads of a few peers: callers stay with their daemons,
 * and the other daemons go on as before.
 */
const KEPT_MS = 15_000;

const NO_LOAD: OfferedLoad = { waiting: 0, perSecond: 0 };

export function createPeerLoads({ clock }: GatewayContext): PeerLoads {
  let running: ReadonlyMap<InstanceId, readonly [count: number, unread: number]> = new Map();
  let slowdowns: ReadonlyMap<InstanceId, number> = new Map();
  let waiting: ReadonlyMap<string, OfferedLoad> = new Map();
  let freshUntil = clock.now();
  let keptUntil = clock.now();
  let areAllCovered = false;

  return {
    apply: (sums, { coversMost, coversAll = false, isLeaderless }) => {
      const now = clock.now();
      if (isLeaderless && now < keptUntil) return false;
      if (!isLeaderless) keptUntil = later(now, KEPT_MS);
      if (coversMost) freshUntil = later(now, FRESH_MS);
      areAllCovered = coversAll;
      running = new Map(sums.running.map(([head, ...load]) => [head, load]));
      slowdowns = new Map(sums.paces);
      waiting = new Map(
        sums.waiting.map(([model, , count, perSecond]) => [model, { waiting: count, perSecond }]),
      );
      return true;
    },
    areFresh: () => clock.now() < freshUntil,
    areComplete: () => areAllCovered && clock.now() < freshUntil,
    heads: () => [...running].flatMap(([head, [count]]) => (count > 0 ? [head] : [])),
    running: (head) => running.get(head)?.[0] ?? 0,
    pendingPrefill: (head) => running.get(head)?.[1] ?? 0,
    pace: (head) => slowdowns.get(head) ?? 1,
    offeredLoad: (model) => waiting.get(model) ?? NO_LOAD,
  };
}

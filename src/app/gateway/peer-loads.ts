/** What the other daemons together have running and waiting, and the paces that all saw, as last told. */

import type { OfferedLoad } from '../../core/gateway/capacity';
import { later } from '../../core/ids';
import type { InstanceId, ModelId } from '../../core/ids';
import type { GatewayContext } from './context';
import type { LoadSums } from './loads';

/** Whose loads were summed. */
export interface LoadSource {
  /** Of most daemons that may be at work. */
  readonly coversMost: boolean;
  /** Of the few that this daemon hears in a large fleet without a leader. */
  readonly isLeaderless: boolean;
}

export interface PeerLoads {
  /** False where the sums are passed over, since others that were heard before are nearer to the truth. */
  apply(sums: LoadSums, facts: LoadSource): boolean;
  /** Whether the loads of the others are known, and young. */
  areFresh(): boolean;
  /** Requests of the others in a group, and the prompt tokens of those without an event. */
  running(head: InstanceId): number;
  pendingPrefill(head: InstanceId): number;
  /** How many times slower than usual a group is, as all saw it. */
  pace(head: InstanceId): number;
  /** Requests of the others that wait for a model, and those that come to them. */
  offeredLoad(model: ModelId): OfferedLoad;
}

/** The sum of all loads holds for so long: leaders tell it several times in that time. */
const FRESH_MS = 1_500;
/**
 * Where no later sum is heard, as while the store is away and nobody can hold the lease, this one stays nearer to
 * the truth than the loads of a few peers: callers keep to their daemons, and the others go on as before.
 */
const KEPT_MS = 15_000;

const NOTHING_ASKED: OfferedLoad = { waiting: 0, perSecond: 0 };

export function createPeerLoads({ clock }: GatewayContext): PeerLoads {
  let running: ReadonlyMap<InstanceId, readonly [count: number, unread: number]> = new Map();
  let paces: ReadonlyMap<InstanceId, number> = new Map();
  let waiting: ReadonlyMap<string, OfferedLoad> = new Map();
  let knownUntil = clock.now();
  let keptUntil = clock.now();

  return {
    apply: (sums, { coversMost: isWhole, isLeaderless: isUnled }) => {
      const now = clock.now();
      if (isUnled && now < keptUntil) return false;
      if (!isUnled) keptUntil = later(now, KEPT_MS);
      if (isWhole) knownUntil = later(now, FRESH_MS);
      running = new Map(sums.running.map(([head, ...load]) => [head, load]));
      paces = new Map(sums.paces);
      waiting = new Map(
        sums.waiting.map(([model, , count, perSecond]) => [model, { waiting: count, perSecond }]),
      );
      return true;
    },
    areFresh: () => clock.now() < knownUntil,
    running: (head) => running.get(head)?.[0] ?? 0,
    pendingPrefill: (head) => running.get(head)?.[1] ?? 0,
    pace: (head) => paces.get(head) ?? 1,
    offeredLoad: (model) => waiting.get(model) ?? NOTHING_ASKED,
  };
}

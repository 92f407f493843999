/** What the other daemons together have running and waiting, and the paces that all saw, as last told. */

import { later } from '../../core/ids';
import type { InstanceId, ModelId } from '../../core/ids';
import type { GatewayContext } from './context';
import type { LoadSums } from './loads';

export interface PeerLoads {
  /** `isWhole`: the sums are of most daemons that may be at work. */
  take(sums: LoadSums, isWhole: boolean): void;
  /** Whether the loads of the others are known, and young. */
  areKnown(): boolean;
  /** Requests of the others in a group, and the prompt tokens of those without an event. */
  running(head: InstanceId): number;
  unread(head: InstanceId): number;
  /** How many times slower than usual a group is, as all saw it. */
  pace(head: InstanceId): number;
  /** Daemons with requests that wait for a model, and how many wait. */
  waitingDaemons(model: ModelId): number;
  waitingRequests(model: ModelId): number;
  /** A request of this daemon goes to the group. */
  noteSent(head: InstanceId): void;
  /** Requests of this daemon sent there since the others' loads were last taken in. */
  sentSince(head: InstanceId): number;
}

/** The sum of all loads holds for so long: leaders tell it several times in that time. */
const FRESH_MS = 1_500;
/** Peers' reports of their loads are this old at most, but for a slow link: the interval at which few daemons gossip. */
const REPORT_AGE_MS = 200;

export function createPeerLoads({ clock }: GatewayContext): PeerLoads {
  let running: ReadonlyMap<InstanceId, readonly [count: number, unread: number]> = new Map();
  let paces: ReadonlyMap<InstanceId, number> = new Map();
  let waiting: ReadonlyMap<string, readonly [daemons: number, count: number]> = new Map();
  const sent = new Map<InstanceId, number>();
  let sentUntil = clock.now();
  let knownUntil = clock.now();

  return {
    take: (sums, isWhole) => {
      const now = clock.now();
      if (isWhole) knownUntil = later(now, FRESH_MS);
      running = new Map(sums.running.map(([head, ...load]) => [head, load]));
      paces = new Map(sums.paces);
      waiting = new Map(sums.waiting.map(([model, ...counts]) => [model, counts]));
      if (now < sentUntil) return;
      sent.clear();
      sentUntil = later(now, REPORT_AGE_MS);
    },
    areKnown: () => clock.now() < knownUntil,
    running: (head) => running.get(head)?.[0] ?? 0,
    unread: (head) => running.get(head)?.[1] ?? 0,
    pace: (head) => paces.get(head) ?? 1,
    waitingDaemons: (model) => waiting.get(model)?.[0] ?? 0,
    waitingRequests: (model) => waiting.get(model)?.[1] ?? 0,
    noteSent: (head) => {
      sent.set(head, (sent.get(head) ?? 0) + 1);
    },
    sentSince: (head) => sent.get(head) ?? 0,
  };
}

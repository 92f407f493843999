/** The list of refused requests and parts of prompts that all daemons share. */

import {
  addRefused,
  digestOfRefused,
  listRefusedUpdates,
  mergeRefusedUpdates,
  pruneRefused,
} from '../../../core/gateway/refused-requests';
import type {
  RefusedRequest,
  RefusedRequests,
  RefusedUpdate,
} from '../../../core/gateway/refused-requests';
import { hashText } from '../../../core/routing/hash';
import type { Fingerprint, MonoTime } from '../../../core/ids';
import type { GatewayContext } from '../context';

export interface RefusedList {
  get(fingerprint: Fingerprint): RefusedRequest | undefined;
  entries(): RefusedRequests;
  /** Adds an entry; the stricter one stays if the list has one. */
  add(fingerprint: Fingerprint, entry: RefusedRequest): void;
  /** Removes an entry; false if there was none. */
  remove(fingerprint: Fingerprint): boolean;
  /** Adds a peer's entries; false if the list had them. */
  merge(updates: readonly RefusedUpdate[]): boolean;
  updates(): RefusedUpdate[];
  /** Equal on daemons with the same entries; 0 for none. */
  digest(): number;
  /**
   * Whether this daemon may begin a trial now that may begin from `trialAt` on. Each has a turn of its own, again and
   * again, so that others learn how a trial ended before many have begun one.
   */
  isTurn(trialAt: MonoTime): boolean;
  prune(): void;
}

/** Time in which each daemon of a large fleet has a turn. */
const MAX_CYCLE_MS = 15_000;
/** Longer than others take to learn of a failed trial. */
const TURN_MS = 1_000;

/** `daemons`: number of daemons, this one included. */
export function createRefusedList(
  { clock, metrics, settings }: GatewayContext,
  daemons: () => number,
): RefusedList {
  let refused: RefusedRequests = new Map();

  const set = (next: RefusedRequests): void => {
    if (next.size !== refused.size) metrics.gauge('nutmegstack_refused_requests', next.size);
    refused = next;
  };

  return {
    get: (fingerprint) => refused.get(fingerprint),
    entries: () => refused,
    add: (fingerprint, entry) => {
      set(addRefused(refused, [[fingerprint, entry]]));
    },
    remove: (fingerprint) => {
      if (!refused.has(fingerprint)) return false;
      set(new Map([...refused].filter(([known]) => known !== fingerprint)));
      return true;
    },
    merge: (updates) => {
      const before = digestOfRefused(refused);
      set(mergeRefusedUpdates(refused, updates, clock.now()));
      return digestOfRefused(refused) !== before;
    },
    updates: () => listRefusedUpdates(refused, clock.now()),
    digest: () => digestOfRefused(refused),
    isTurn: (trialAt) => {
      const cycleMs = Math.min(MAX_CYCLE_MS, TURN_MS * daemons());
      const now = clock.now();
      // The same turns for all entries, since a request may hold several listed parts.
      return now >= trialAt && (now + (hashText(settings.id) % cycleMs)) % cycleMs < TURN_MS;
    },
    prune: () => {
      set(pruneRefused(refused, clock.now()));
    },
  };
}

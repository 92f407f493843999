/** Publishes the server updates that the leader receives from the store to all daemons. */

import { mergeUpdates } from '../../core/gateway/collection-updates';
import { later } from '../../core/ids';
import type { GatewayContext } from './context';
import type { Fleet } from './fleet';
import type { Leadership } from './lease';
import type { ServerRegistry, ServerUpdates } from './server-registry';

export interface UpdatePublisherDeps {
  readonly ctx: GatewayContext;
  readonly serverRegistry: ServerRegistry;
  readonly fleet: Fleet;
  readonly leadership: Leadership;
}

export interface UpdatePublisher {
  /** Publishes what is pending. */
  flush(): void;
  /** Publishes what is pending if the batching time is over. */
  tick(): void;
}

/** Server updates to a large fleet are batched for this long: half of the interval of loads. */
const UPDATE_BATCH_MS = 100;

export function createUpdatePublisher({
  ctx,
  serverRegistry,
  fleet,
  leadership,
}: UpdatePublisherDeps): UpdatePublisher {
  /** Server updates that wait to be published, and the earliest time to do so. */
  let pending: ServerUpdates | undefined;
  let publishAt = ctx.clock.now();

  const flush = (): void => {
    if (!pending) return;
    const { since, upTo, changes } = pending;
    pending = undefined;
    fleet.broadcastAsLeader({ kind: 'news', since, upTo, changes: [...changes] });
  };

  /**
   * Publishes server updates in batches: in a large fleet, each message is relayed to every daemon.
   */
  const tick = (): void => {
    const now = ctx.clock.now();
    if (now < publishAt) return;
    publishAt = later(now, fleet.isLarge() ? UPDATE_BATCH_MS : 0);
    flush();
  };

  serverRegistry.news.subscribe((updates) => {
    if (leadership.heldFencing() === undefined) {
      pending = undefined;
      return;
    }
    pending = mergeUpdates(pending, updates);
    tick();
  });

  return { flush, tick };
}

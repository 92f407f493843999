/** Queue of this daemon's requests that wait for a slot in a group. */

import { compareWaiting } from '../../core/gateway/waiting-order';
import type { WaitingRequest } from '../../core/gateway/waiting-order';
import { later } from '../../core/ids';
import type { ModelId, MonoTime } from '../../core/ids';
import type { GroupRegistry } from './group-registry';
import type { ServingGroup } from './group-index';
import type { GatewayContext } from './context';

export interface Waiter extends WaitingRequest {
  readonly model: ModelId;
  /** The wait ends unsuccessfully at this time. */
  readonly until: MonoTime;
  readonly gone: AbortSignal;
  /**
   * Retries skip the groups they tried before, so none may be left for them while there is one for
   * others.
   */
  readonly isRetry: boolean;
  /** It still has a slot in another group, and therefore is not counted as waiting. */
  readonly hasSlot?: boolean;
  /** Whether no group can become free for it, so that the wait ends now. */
  readonly isUnservable?: () => boolean;
  /** Takes a slot in a group, if one is free. */
  readonly choose: () => ServingGroup | undefined;
  /** Whether all groups of the model are cold, so that few of the requests get a slot in time. */
  readonly areGroupsCold?: () => boolean;
  /** Time until a slot may be taken after `ahead` other requests, milliseconds. */
  readonly msUntilToken?: (ahead: number) => number;
}

export interface WaitQueue {
  /** Resolves with undefined if the wait ends without a slot. */
  wait(waiter: Waiter): Promise<ServingGroup | undefined>;
  waiting(): readonly (readonly [ModelId, number])[];
  /** Number of requests that wait for the model. */
  count(model: ModelId): number;
  /** Offers slots to all that wait, and ends the waits that have become vain. */
  review(): void;
  /** Lowest priority number among the requests that wait for the model. */
  urgency(model: ModelId): number | undefined;
}

interface QueueEntry extends Waiter {
  readonly settle: (group: ServingGroup | undefined) => void;
}

export function createWaitQueue(ctx: GatewayContext, groupRegistry: GroupRegistry): WaitQueue {
  const entries = new Set<QueueEntry>();
  const counts = new Map<ModelId, number>();
  let isServing = false;

  const inOrder = (): QueueEntry[] => {
    const now = ctx.clock.now();
    return [...entries].sort((a, b) => compareWaiting(a, b, now));
  };

  /** Refuses the requests for a model without a slot that cannot get one in time. */
  const refuseUnservable = (model: ModelId): void => {
    let ahead = 0;
    for (const { until, settle, msUntilToken, ...entry } of inOrder()) {
      if (entry.model !== model || entry.isRetry || !msUntilToken) continue;
      if (later(ctx.clock.now(), msUntilToken(ahead)) > until) settle(undefined);
      else ahead += 1;
    }
  };

  /** Serves requests in order; a model found full is skipped for the rest of the round. */
  const serveAll = (): void => {
    const fullModels = new Set<ModelId>();
    const coldModels = new Set<ModelId>();
    for (const entry of inOrder()) {
      if (fullModels.has(entry.model)) continue;
      const group = entry.choose();
      if (group || entry.isUnservable?.()) entry.settle(group);
      else if (!entry.isRetry) fullModels.add(entry.model);
      if (!group && entry.areGroupsCold?.() === true) coldModels.add(entry.model);
    }
    for (const model of coldModels) refuseUnservable(model);
  };

  const serve = (): void => {
    if (entries.size === 0 || isServing) return;
    isServing = true;
    try {
      serveAll();
    } finally {
      isServing = false;
    }
  };

  groupRegistry.changes.subscribe(serve);

  const addCount = (model: ModelId, by: 1 | -1): void => {
    const count = (counts.get(model) ?? 0) + by;
    if (count > 0) counts.set(model, count);
    else counts.delete(model);
  };

  const wait = (waiter: Waiter): Promise<ServingGroup | undefined> =>
    new Promise((resolve) => {
      const settle = (group: ServingGroup | undefined): void => {
        if (!entries.delete(entry)) return;
        if (entry.hasSlot !== true) addCount(entry.model, -1);
        clearTimeout(timer);
        waiter.gone.removeEventListener('abort', onAbort);
        resolve(group);
      };
      const onAbort = (): void => {
        settle(undefined);
      };
      const entry: QueueEntry = { ...waiter, settle };
      const timer = setTimeout(onAbort, Math.max(0, waiter.until - ctx.clock.now()));
      waiter.gone.addEventListener('abort', onAbort, { once: true });
      if (waiter.gone.aborted) {
        clearTimeout(timer);
        resolve(undefined);
        return;
      }
      entries.add(entry);
      if (entry.hasSlot !== true) addCount(entry.model, 1);
    });

  const urgency = (model: ModelId): number | undefined => {
    const priorities = [...entries].flatMap((entry) =>
      entry.model === model && entry.hasSlot !== true ? entry.priority : [],
    );
    return priorities.length === 0 ? undefined : Math.min(...priorities);
  };

  return {
    ...{ wait, urgency, review: serve },
    waiting: () => [...counts],
    count: (model) => counts.get(model) ?? 0,
  };
}

/** Queue of this daemon's requests that wait for a slot in a group. */

import { compareWaiting } from '../../core/gateway/waiting-order';
import type { WaitingRequest } from '../../core/gateway/waiting-order';
import { later } from '../../core/ids';
import type { ModelId, MonoTime, OrganisationId } from '../../core/ids';
import type { GroupRegistry } from './group-registry';
import type { ServingGroup } from './group-index';
import type { GatewayContext } from './context';
import type { OrganisationUse } from './organisation-use';

/** What determines the place of a request in the queue. */
export interface QueuePlace extends Omit<WaitingRequest, 'organisationRank'> {
  readonly model: ModelId;
  readonly organisation?: OrganisationId | undefined;
  /** Its caller returned after a refusal: it goes before all organisations of its class. */
  readonly hasReturned?: boolean;
}

export interface Waiter extends QueuePlace {
  /** The wait ends unsuccessfully at this time. */
  readonly until: MonoTime;
  readonly gone: AbortSignal;
  /**
   * Retries skip the groups they tried before, so none may be left for them while there is one for
   * others.
   */
  readonly isRetry: boolean;
  /** Called once when the request becomes late: whether it leaves the queue without a slot. */
  readonly givesUp?: () => boolean;
  /** Whether no group can become free for it, so that the wait ends now. */
  readonly isHopeless?: () => boolean;
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
  /** Numbers of waiting requests by model and priority. */
  waiting(): readonly (readonly [model: ModelId, count: number, priority: number])[];
  /** Number of requests that wait for the model, of one priority or of all. */
  count(model: ModelId, priority?: number): number;
  /** Number of waiting requests of the model that would be served before a new one. */
  ahead(place: QueuePlace): number;
  /** Lowest priority number among the requests that wait for the model. */
  urgency(model: ModelId): number | undefined;
}

interface QueueEntry extends Waiter {
  readonly settle: (group: ServingGroup | undefined) => void;
}

/** Below the ranks of all organisations. */
const RETURNED_RANK = -1;

export function createWaitQueue(
  ctx: GatewayContext,
  groupRegistry: GroupRegistry,
  use?: Pick<OrganisationUse, 'rank'>,
): WaitQueue {
  const entries = new Set<QueueEntry>();
  const counts = new Map<ModelId, Map<number, number>>();
  let isServing = false;

  const withRank = (place: QueuePlace): WaitingRequest => ({
    ...place,
    organisationRank:
      place.hasReturned === true
        ? RETURNED_RANK
        : (use?.rank(place.model, place.organisation) ?? 0),
  });

  const inOrder = (): QueueEntry[] => {
    const now = ctx.clock.now();
    return [...entries]
      .map((entry) => ({ entry, place: withRank(entry) }))
      .sort((a, b) => compareWaiting(a.place, b.place, now))
      .map(({ entry }) => entry);
  };

  const ahead = (place: QueuePlace): number => {
    const now = ctx.clock.now();
    const own = withRank(place);
    return [...entries].filter(
      (entry) => entry.model === place.model && compareWaiting(withRank(entry), own, now) < 0,
    ).length;
  };

  /** Refuses the requests for a model without a slot that cannot get one in time. */
  const refuseHopeless = (model: ModelId): void => {
    let ahead = 0;
    for (const { until, settle, msUntilToken, ...entry } of inOrder()) {
      if (entry.model !== model || entry.isRetry || !msUntilToken) continue;
      if (later(ctx.clock.now(), msUntilToken(ahead)) > until) settle(undefined);
      else ahead += 1;
    }
  };

  /** Serves requests in order; a model found full is skipped for the rest of the round. */
  const serve = (): void => {
    if (entries.size === 0 || isServing) return;
    isServing = true;
    const fullModels = new Set<ModelId>();
    const coldModels = new Set<ModelId>();
    for (const entry of inOrder()) {
      if (fullModels.has(entry.model)) continue;
      const group = entry.choose();
      if (group || entry.isHopeless?.()) entry.settle(group);
      else if (!entry.isRetry) fullModels.add(entry.model);
      if (!group && entry.areGroupsCold?.() === true) coldModels.add(entry.model);
    }
    for (const model of coldModels) refuseHopeless(model);
    isServing = false;
  };

  groupRegistry.changes.subscribe(serve);

  const addCount = ({ model, priority }: QueueEntry, by: 1 | -1): void => {
    const classes = counts.get(model) ?? new Map<number, number>();
    counts.set(model, classes);
    const count = (classes.get(priority) ?? 0) + by;
    if (count > 0) classes.set(priority, count);
    else classes.delete(priority);
  };

  const countOf = (model: ModelId, priority?: number): number => {
    const classes = counts.get(model);
    if (priority !== undefined) return classes?.get(priority) ?? 0;
    return [...(classes?.values() ?? [])].reduce((sum, count) => sum + count, 0);
  };

  const wait = (waiter: Waiter): Promise<ServingGroup | undefined> =>
    new Promise((resolve) => {
      const settle = (group: ServingGroup | undefined): void => {
        if (!entries.delete(entry)) return;
        addCount(entry, -1);
        clearTimeout(timer);
        clearTimeout(lateTimer);
        waiter.gone.removeEventListener('abort', onAbort);
        resolve(group);
      };
      const onAbort = (): void => {
        settle(undefined);
      };
      const entry: QueueEntry = { ...waiter, settle };
      const now = ctx.clock.now();
      const timer = setTimeout(onAbort, Math.max(0, waiter.until - now));
      const onLate = (): void => {
        if (waiter.givesUp?.() === true) onAbort();
      };
      const lateMs = waiter.onTimeUntil - now;
      const lateTimer = waiter.givesUp && lateMs > 0 ? setTimeout(onLate, lateMs) : undefined;
      waiter.gone.addEventListener('abort', onAbort, { once: true });
      entries.add(entry);
      addCount(entry, 1);
    });

  const urgency = (model: ModelId): number | undefined => {
    const priorities = [...(counts.get(model)?.keys() ?? [])];
    return priorities.length === 0 ? undefined : Math.min(...priorities);
  };

  return {
    wait,
    waiting: () =>
      [...counts].flatMap(([model, classes]) =>
        [...classes].map(([priority, count]) => [model, count, priority] as const),
      ),
    count: countOf,
    ahead,
    urgency,
  };
}

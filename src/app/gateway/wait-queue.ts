/** Requests that wait on this daemon for a place in a group. */

import { compareWaiting } from '../../core/gateway/waiting-order';
import type { WaitingRequest } from '../../core/gateway/waiting-order';
import type { ModelId, MonoTime } from '../../core/ids';
import type { GroupRegistry } from './group-registry';
import type { ServingGroup } from './group-index';
import type { GatewayContext } from './context';

export interface Waiter extends WaitingRequest {
  readonly model: ModelId;
  /** Given up after this. */
  readonly until: MonoTime;
  readonly gone: AbortSignal;
  /** Groups tried before are left out, so that there may be none though others find one. */
  readonly isRetry: boolean;
  /** Takes a place in a group, if one is free. */
  readonly choose: () => ServingGroup | undefined;
}

export interface WaitQueue {
  /** Undefined once the wait is over in vain. */
  wait(waiter: Waiter): Promise<ServingGroup | undefined>;
  waiting(): readonly (readonly [ModelId, number])[];
  /** Requests that wait for the model. */
  count(model: ModelId): number;
}

interface Entry extends Waiter {
  readonly settle: (group: ServingGroup | undefined) => void;
}

export function createWaitQueue(ctx: GatewayContext, board: GroupRegistry): WaitQueue {
  const entries = new Set<Entry>();
  const counts = new Map<ModelId, number>();
  let isServing = false;

  const inTurn = (): Entry[] => {
    const now = ctx.clock.now();
    return [...entries].sort((a, b) => compareWaiting(a, b, now));
  };

  /** Serves in turn; a model found full is not looked at again in the same round. */
  const serve = (): void => {
    if (entries.size === 0 || isServing) return;
    isServing = true;
    const full = new Set<ModelId>();
    for (const entry of inTurn()) {
      if (full.has(entry.model)) continue;
      const group = entry.choose();
      if (group) entry.settle(group);
      else if (!entry.isRetry) full.add(entry.model);
    }
    isServing = false;
  };

  board.changes.subscribe(serve);

  const addCount = (model: ModelId, by: 1 | -1): void => {
    const count = (counts.get(model) ?? 0) + by;
    if (count > 0) counts.set(model, count);
    else counts.delete(model);
  };

  const wait = (waiter: Waiter): Promise<ServingGroup | undefined> =>
    new Promise((resolve) => {
      const settle = (group: ServingGroup | undefined): void => {
        if (!entries.delete(entry)) return;
        addCount(entry.model, -1);
        clearTimeout(timer);
        waiter.gone.removeEventListener('abort', onGone);
        resolve(group);
      };
      const onGone = (): void => {
        settle(undefined);
      };
      const entry: Entry = { ...waiter, settle };
      const timer = setTimeout(onGone, Math.max(0, waiter.until - ctx.clock.now()));
      waiter.gone.addEventListener('abort', onGone, { once: true });
      entries.add(entry);
      addCount(entry.model, 1);
    });

  return { wait, waiting: () => [...counts], count: (model) => counts.get(model) ?? 0 };
}

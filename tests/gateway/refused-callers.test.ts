import { Subject } from 'rxjs';
import { expect, it } from 'vitest';

import type { GroupRegistry } from '../../src/app/gateway/group-registry';
import { createRefusedCallers } from '../../src/app/gateway/refused-callers';
import { createWaitQueue } from '../../src/app/gateway/wait-queue';
import type { Waiter } from '../../src/app/gateway/wait-queue';
import { brandAs, later } from '../../src/core/ids';
import type { EpochTime } from '../../src/core/ids';
import { at, makeContext, SMALL } from './support';

// Guards against a caller that returns when it was told to and is overtaken again by new ones.
it('a caller that returns after a refusal goes first within its class', () => {
  let now = at(0);
  const clock = { now: () => now, epoch: () => brandAs<EpochTime>(0) };
  const refused = createRefusedCallers(clock);
  refused.noteRefused('seen');
  now = at(2_000);
  const changes = new Subject<void>();
  const queue = createWaitQueue(makeContext({ clock }), { changes } as unknown as GroupRegistry);
  const served: string[] = [];
  const add = (id: string, arrivedAt: number, priority: number): void => {
    const waiter: Waiter = {
      ...{ model: SMALL, priority, arrivedAt: at(arrivedAt), holdMs: 0, isRetry: true },
      ...{ onTimeUntil: later(now, 400), until: later(now, 1_300) },
      hasReturned: refused.hasReturned(id),
      gone: new AbortController().signal,
      choose: () => (served.push(id), undefined),
    };
    void queue.wait(waiter);
  };
  add('new', 1_900, 1);
  add('seen', 2_000, 1);
  add('urgent', 2_000, 0);
  changes.next();
  expect(served).toEqual(['urgent', 'seen', 'new']);
  now = at(10_000);
  refused.prune();
  expect(refused.hasReturned('seen')).toBe(false);
});

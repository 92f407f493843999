/** Leaves a server that does not answer for another one, if the call can be sent there. */

import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';
import type { Clock } from '../../ports/runtime';
import { createTimeout } from '../../utils/timeout';
import type { Timeout } from '../../utils/timeout';

/** When a call may leave its server. */
export interface Departure {
  readonly from: MonoTime;
  /** Later, too little time is left for another server. */
  readonly until: MonoTime;
  /** Takes what the call needs to be sent to another server; false if that is not to be had. */
  readonly prepare: () => boolean;
}

export interface DepartureSignal {
  /** Aborts when the call leaves its server, or its caller has left. */
  readonly signal: AbortSignal;
  readonly clear: () => void;
}

/** Servers and retries become available without notice, milliseconds. */
const RETRY_INTERVAL_MS = 20;

export function createDepartureSignal(
  clock: Clock,
  { from, until, prepare }: Departure,
  gone: AbortSignal,
): DepartureSignal {
  const controller = new AbortController();
  let timer: Timeout | undefined;
  const wait = (at: MonoTime): void => {
    timer = createTimeout(Math.max(1, at - clock.now()), tryToLeave);
  };
  const tryToLeave = (): void => {
    const now = clock.now();
    if (now > until) return;
    if (prepare()) controller.abort(new Error('no answer in time, sent to another server'));
    else wait(later(now, RETRY_INTERVAL_MS));
  };
  const onGone = (): void => {
    controller.abort(gone.reason);
  };
  gone.addEventListener('abort', onGone, { once: true });
  if (gone.aborted) onGone();
  else wait(from);
  return {
    signal: controller.signal,
    clear: () => {
      timer?.clear();
      gone.removeEventListener('abort', onGone);
    },
  };
}

/** Ends an attempt when its deadline passes or its caller goes away. */

import type { MonoTime } from '../../core/ids';
import type { Clock } from '../../ports/runtime';
import { fail } from '../../utils/errors';

export interface AttemptAbort {
  readonly controller: AbortController;
  /** From now on the deadline no longer ends the attempt. */
  readonly clearDeadline: () => void;
  /** To be called when the attempt is over. */
  readonly release: () => void;
}

export interface AbortOptions {
  readonly clock: Clock;
  readonly deadline: MonoTime;
  readonly gone: AbortSignal;
  /** The backend server, for the error. */
  readonly peer: string;
}

export function createAbort({ clock, deadline, gone, peer }: AbortOptions): AttemptAbort {
  const controller = new AbortController();
  const onGone = (): void => {
    controller.abort(fail('cancelled', 'caller went away', { step: 'answer', peer: 'caller' }));
  };
  const onLate = (): void => {
    controller.abort(fail('deadline-exceeded', 'deadline passed', { step: 'wait', peer }));
  };
  const timer = setTimeout(onLate, Math.max(0, deadline - clock.now()));
  if (gone.aborted) onGone();
  gone.addEventListener('abort', onGone, { once: true });
  const liftDeadline = (): void => {
    clearTimeout(timer);
  };
  const release = (): void => {
    liftDeadline();
    gone.removeEventListener('abort', onGone);
  };
  return { controller, clearDeadline: liftDeadline, release };
}

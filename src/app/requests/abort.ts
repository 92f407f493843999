/** Aborts an attempt when its deadline passes or its caller disconnects. */

import type { MonoTime } from '../../core/ids';
import type { Clock } from '../../ports/runtime';
import { fail } from '../../utils/errors';

/** The abort controller of one attempt. Its abort reason is a `StepError`. */
export interface AttemptAbort {
  readonly controller: AbortController;
  /** Stops the deadline from aborting the attempt, as once a stream has started. */
  readonly clearDeadline: () => void;
  /** Removes the timer and the listener. Must be called once the attempt has ended. */
  readonly release: () => void;
}

/** Options of {@link createAbort}. */
export interface AbortOptions {
  readonly clock: Clock;
  readonly deadline: MonoTime;
  /** Aborted when the caller disconnects. */
  readonly gone: AbortSignal;
  /** Address of the backend server, for error messages. */
  readonly peer: string;
}

/** Creates the abort controller of an attempt. Errors: `cancelled`, `deadline-exceeded`. */
export function createAbort({ clock, deadline, gone, peer }: AbortOptions): AttemptAbort {
  const controller = new AbortController();
  const onDisconnect = (): void => {
    controller.abort(
      fail('cancelled', 'the caller disconnected', { step: 'answer', peer: 'caller' }),
    );
  };
  const onDeadline = (): void => {
    controller.abort(
      fail('deadline-exceeded', 'the deadline passed during the attempt', { step: 'wait', peer }),
    );
  };
  const timer = setTimeout(onDeadline, Math.max(0, deadline - clock.now()));
  if (gone.aborted) onDisconnect();
  gone.addEventListener('abort', onDisconnect, { once: true });
  const liftDeadline = (): void => {
    clearTimeout(timer);
  };
  const release = (): void => {
    liftDeadline();
    gone.removeEventListener('abort', onDisconnect);
  };
  return { controller, clearDeadline: liftDeadline, release };
}

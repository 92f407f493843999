/**
 * An abort signal with a time limit. Unlike `AbortSignal.any` of an `AbortSignal.timeout`, which may be garbage
 * collected before it aborts, it aborts in any case.
 */

export interface DeadlineSignal {
  readonly signal: AbortSignal;
  /** Stops waiting; must be called once the work has ended. */
  readonly clear: () => void;
}

/** Aborts after `ms` milliseconds, or when `parent` aborts. */
export function createDeadlineSignal(ms: number, parent: AbortSignal): DeadlineSignal {
  const controller = new AbortController();
  const onParentAbort = (): void => {
    controller.abort(parent.reason);
  };
  const timer = setTimeout(() => {
    controller.abort(new Error('deadline reached'));
  }, ms);
  if (parent.aborted) onParentAbort();
  parent.addEventListener('abort', onParentAbort, { once: true });
  return {
    signal: controller.signal,
    clear: () => {
      clearTimeout(timer);
      parent.removeEventListener('abort', onParentAbort);
    },
  };
}

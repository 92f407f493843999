/** Time limits on I/O that hold also in a process that is short of processor time. */

export interface Timeout {
  clear(): void;
}

/**
 * Calls `onTimeout` after `ms`, unless I/O that is ready by then clears it. In a process that was held
 * up timers are run before the answers that arrived meanwhile are read: the limit would blame the other
 * side for this one's delay.
 */
export function createTimeout(ms: number, onTimeout: () => void): Timeout {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(onTimeout);
  }, ms);
  return {
    clear: () => {
      clearTimeout(timer);
      clearImmediate(immediate);
    },
  };
}

/** I/O timeouts that stay accurate when the event loop is delayed. */

export interface Timeout {
  clear(): void;
}

/**
 * Calls `onTimeout` after `ms` milliseconds, unless I/O that is ready by then clears it. After an event loop
 * delay, Node runs timers before it reads responses that have already arrived, so a plain timer would blame
 * the peer for this process's delay.
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

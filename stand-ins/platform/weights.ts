/** Weight store whose concurrent transfers share one bandwidth equally. */

interface Transfer {
  remaining: number;
  readonly done: () => void;
}

export interface WeightStore {
  /** Resolves when this many bytes were transferred. */
  transfer(bytes: number): Promise<void>;
  close(): void;
}

export function createWeightStore(bytesPerSecond: number): WeightStore {
  const active = new Set<Transfer>();
  let lastAt = performance.now();
  let timer: NodeJS.Timeout | undefined;

  const advance = (): void => {
    const now = performance.now();
    const bytesEach = ((now - lastAt) * bytesPerSecond) / 1000 / Math.max(active.size, 1);
    lastAt = now;
    for (const item of active) {
      item.remaining -= bytesEach;
      if (item.remaining > 0) continue;
      active.delete(item);
      item.done();
    }
  };

  const schedule = (): void => {
    clearTimeout(timer);
    if (active.size === 0) return;
    const least = Math.min(...[...active].map(({ remaining }) => remaining));
    const waitMs = Math.ceil((least * active.size * 1000) / bytesPerSecond);
    timer = setTimeout(() => {
      advance();
      schedule();
    }, waitMs);
  };

  return {
    transfer: (bytes) =>
      new Promise((resolve) => {
        advance();
        active.add({ remaining: bytes, done: resolve });
        schedule();
      }),
    close: () => {
      clearTimeout(timer);
    },
  };
}

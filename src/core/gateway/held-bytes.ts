/**
 * Bounds what all unfinished answers hold together.
 *
 * Load pattern: faulty servers send bodies without end, to many requests at a time. Each stays below the limit of one
 * answer, and together they take all memory. Sound answers are short, so the one that holds most gives way.
 */

/** One answer that is being read. */
export interface Hold {
  /** Notes that it holds so many bytes more. */
  add(bytes: number): void;
  /** To be called once it holds nothing any more. */
  release(): void;
}

export interface HeldBytes {
  /** `giveUp` is called, once, if the answer has to give way; its bytes no longer count then. */
  open(giveUp: () => void): Hold;
  total(): number;
}

interface OpenHold {
  bytes: number;
  readonly giveUp: () => void;
}

export function createHeldBytes(maxBytes: number): HeldBytes {
  const open = new Set<OpenHold>();
  let total = 0;

  const close = (hold: OpenHold): void => {
    if (open.delete(hold)) total -= hold.bytes;
  };

  const largest = (): OpenHold | undefined =>
    [...open].reduce<OpenHold | undefined>(
      (most, hold) => (most && most.bytes >= hold.bytes ? most : hold),
      undefined,
    );

  const makeRoom = (): void => {
    for (let hold = largest(); hold && total > maxBytes; hold = largest()) {
      close(hold);
      hold.giveUp();
    }
  };

  return {
    open: (giveUp) => {
      const hold: OpenHold = { bytes: 0, giveUp };
      open.add(hold);
      return {
        add: (bytes) => {
          if (!open.has(hold)) return;
          hold.bytes += bytes;
          total += bytes;
          if (total > maxBytes) makeRoom();
        },
        release: () => {
          close(hold);
        },
      };
    },
    total: () => total,
  };
}

/** A buffer to which chunks are appended without copying all earlier ones each time. */

export interface GrowingBuffer {
  length(): number;
  /** Appends `chunk` and returns all bytes. They are valid until the next call of `append`. */
  append(chunk: Buffer): Buffer;
  /** Replaces all bytes; bytes that were returned before stay as they are. */
  reset(bytes: Buffer): void;
}

const GROWTH = 2;

export function createGrowingBuffer(): GrowingBuffer {
  let held: Buffer = Buffer.alloc(0);
  let used = 0;
  return {
    length: () => used,
    append: (chunk) => {
      const needed = used + chunk.length;
      if (needed > held.length) {
        const larger = Buffer.allocUnsafe(needed * GROWTH);
        held.copy(larger, 0, 0, used);
        held = larger;
      }
      chunk.copy(held, used);
      used = needed;
      return held.subarray(0, used);
    },
    reset: (bytes) => {
      // Its capacity is its length, so the next append copies it and leaves other views as they are.
      held = bytes;
      used = bytes.length;
    },
  };
}

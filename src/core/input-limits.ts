/**
 * What may be read before it is an answer, and how much of an answer. A faulty sender may send interim responses,
 * empty lines, chunks of one byte or a body without end, as fast as they are read. One such connection must neither
 * fill the memory nor take the event loop from all others, so whatever exceeds these limits is closed, not drained.
 */

const KIB = 1_024;

/**
 * Bytes until the head of the final response. Node accepts a head of 16 KiB; the rest leaves room for interim
 * responses, which count as well.
 */
export const MAX_HEAD_BYTES = 64 * KIB;
/** Interim responses (1xx) of one request at once: a server may send one every few milliseconds. */
export const MAX_INTERIM_HEADS = 256;
/** Rest of a body that is read without use, so that the connection can be kept. */
export const MAX_DISCARDED_BYTES = 64 * KIB;
/** Time for that rest, milliseconds: longer costs more than a new connection. */
export const MAX_DISCARD_MS = 1_000;
/** Rest of a caller's body that is refused: closing sooner could lose the answer on its way to the caller. */
export const MAX_REFUSED_BYTES = 1_024 * KIB;
/** Bodies of answers that are held until their ends, together. */
export const MAX_HELD_BYTES = 32 * 1_024 * KIB;
/** Body of a failure, which is a message, not a result. */
export const MAX_FAILURE_BYTES = 1_024 * KIB;
/** Texts that daemons send each other with an error or a state. */
export const MAX_TEXT_BYTES = 4 * KIB;
/** Body of a report, or of the answer to an order. */
export const MAX_REPORT_BYTES = 256 * KIB;
/** Bytes of a body after which other connections are read first. */
export const TURN_BYTES = 256 * KIB;
/** Bytes that a slow caller may leave unread before its server's stream is paused. */
export const MAX_UNREAD_BYTES = 1_024 * KIB;

/** Chunks of a body are no smaller than this on average; each costs as much as some hundred bytes. */
const MIN_MEAN_CHUNK_BYTES = 8;
/** Chunks that may be smaller at once. */
const FREE_CHUNKS = 2 * KIB;

/**
 * What a sender may send for as long as it likes, per second: a server that works for hours may report with interim
 * responses, and send its answer in chunks of a byte. A sender at these rates takes a percent of the event loop.
 */
const INTERIM_HEADS_PER_S = 100;
const HEAD_BYTES_PER_S = 16 * KIB;
const SMALL_CHUNKS_PER_S = 100;

/** The time in milliseconds, as of a clock that never goes back. */
export type NowMs = () => number;

/** Sums up what arrives, less what has been allowed by the second since; time without input earns no credit. */
function createDebt(now: NowMs, perS: number): (more: number) => number {
  let debt = 0;
  let notedAt = now();
  return (more) => {
    const at = now();
    if (debt > 0) debt = Math.max(0, debt - ((at - notedAt) * perS) / 1_000);
    notedAt = at;
    debt += more;
    return debt;
  };
}

/** Counts what arrives before the head of the final response. Methods return the limit that is exceeded, if any. */
export interface HeadAccount {
  noteBytes(bytes: number): string | undefined;
  noteInterimHead(): string | undefined;
}

export function createHeadAccount(now: NowMs): HeadAccount {
  const addBytes = createDebt(now, HEAD_BYTES_PER_S);
  const addHeads = createDebt(now, INTERIM_HEADS_PER_S);
  return {
    noteBytes: (more) => {
      if (addBytes(more) <= MAX_HEAD_BYTES) return undefined;
      return `more than ${MAX_HEAD_BYTES} bytes without the head of a final response`;
    },
    noteInterimHead: () => {
      if (addHeads(1) <= MAX_INTERIM_HEADS) return undefined;
      return `more than ${MAX_INTERIM_HEADS} interim responses`;
    },
  };
}

/** Counts the chunks of a body. `note` returns the limit that is exceeded, if any. */
export interface BodyAccount {
  note(bytes: number): string | undefined;
}

/** `maxBytes`: longest body; unlimited for one that is forwarded as it arrives. */
export function createBodyAccount(now: NowMs, maxBytes = Infinity): BodyAccount {
  let bytes = 0;
  const addMissing = createDebt(now, SMALL_CHUNKS_PER_S * MIN_MEAN_CHUNK_BYTES);
  return {
    note: (more) => {
      bytes += more;
      if (bytes > maxBytes) return `body exceeds ${maxBytes} bytes`;
      const missing = addMissing(MIN_MEAN_CHUNK_BYTES - more);
      if (missing <= FREE_CHUNKS * MIN_MEAN_CHUNK_BYTES) return undefined;
      return `body in chunks of less than ${MIN_MEAN_CHUNK_BYTES} bytes`;
    },
  };
}

/**
 * Splits an event stream into complete events, so that no partial event is ever forwarded, and reads their
 * ids. The data is not parsed.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = Buffer.from('id:');
const EMPTY: Uint8Array = Buffer.alloc(0);
/** A longer event is treated as a fault. */
const MAX_EVENT_BYTES = 1_048_576;

/** One event with its bytes as received. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Undefined if the event has no id, or one that isn't a number. */
  readonly id: number | undefined;
}

/** Incremental reader of an event stream. */
export interface EventReader {
  /** The events that `chunk` completes. */
  push(chunk: Buffer): readonly StreamEvent[];
  /** Whether an incomplete event is buffered. */
  hasPartialEvent(): boolean;
  /** Whether the buffered event exceeds `MAX_EVENT_BYTES`. */
  isEventTooLong(): boolean;
}

/** End of the first event in `data`, past its empty line; -1 if the event is incomplete. */
function eventEnd(data: Buffer): number {
  for (let at = data.indexOf(LINE_FEED); at >= 0; at = data.indexOf(LINE_FEED, at + 1)) {
    const next = data[at + 1];
    if (next === LINE_FEED) return at + 2;
    if (next === CARRIAGE_RETURN && data[at + 2] === LINE_FEED) return at + 3;
  }
  return -1;
}

function readId(event: Buffer): number | undefined {
  let at = 0;
  while (at < event.length) {
    const end = event.indexOf(LINE_FEED, at);
    const line = event.subarray(at, end < 0 ? event.length : end);
    if (line.subarray(0, ID_FIELD.length).equals(ID_FIELD)) {
      const text = line.subarray(ID_FIELD.length).toString('latin1').trim();
      return /^\d+$/.test(text) ? Number(text) : undefined;
    }
    if (end < 0) return undefined;
    at = end + 1;
  }
  return undefined;
}

/** A reader at the start of a stream. */
export function createEventReader(): EventReader {
  let partial: Buffer = Buffer.from(EMPTY);
  return {
    push: (chunk) => {
      let data = partial.length === 0 ? chunk : Buffer.concat([partial, chunk]);
      const events: StreamEvent[] = [];
      for (let end = eventEnd(data); end >= 0; end = eventEnd(data)) {
        const bytes = data.subarray(0, end);
        events.push({ bytes, id: readId(bytes) });
        data = data.subarray(end);
      }
      partial = data;
      return events;
    },
    hasPartialEvent: () => partial.length > 0,
    isEventTooLong: () => partial.length > MAX_EVENT_BYTES,
  };
}

/**
 * Takes an event stream apart into whole events, so that no part of one is ever passed on, and reads
 * their ids. Contents are not looked at.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = Buffer.from('id:');
const EMPTY: Uint8Array = Buffer.alloc(0);
/** An event longer than this is a fault. */
const MAX_EVENT_BYTES = 1_048_576;

/** One event with its bytes as they came. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Undefined where the event has none, or one that is no number. */
  readonly id: number | undefined;
}

export interface EventReader {
  /** The whole events that `chunk` completes. */
  push(chunk: Buffer): readonly StreamEvent[];
  /** Whether a part of an event is left over. */
  hasPartialEvent(): boolean;
  /** Whether an event grew beyond all bounds. */
  isEventTooLong(): boolean;
}

/** End of the first event in `data`, past its empty line; -1 where it is not there yet. */
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

export function createEventReader(): EventReader {
  let rest: Buffer = Buffer.from(EMPTY);
  return {
    push: (chunk) => {
      let data = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const events: StreamEvent[] = [];
      for (let end = eventEnd(data); end >= 0; end = eventEnd(data)) {
        const bytes = data.subarray(0, end);
        events.push({ bytes, id: readId(bytes) });
        data = data.subarray(end);
      }
      rest = data;
      return events;
    },
    hasPartialEvent: () => rest.length > 0,
    isEventTooLong: () => rest.length > MAX_EVENT_BYTES,
  };
}

/**
 * Splits an event stream into complete events, so that no partial event is ever forwarded, and reads their
 * ids. The data is not parsed. Reports a stream that goes on without events.
 */

import { createGrowingBuffer } from '../../utils/growing-buffer';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const ID_FIELD = Buffer.from('id:');
/** A longer event is treated as a fault. */
const MAX_EVENT_BYTES = 1_048_576;
/** Empty events, such as comments that keep a connection alive, and events without an id, between two others. */
const MAX_FILLER_BYTES = 65_536;
const MAX_FILLERS = 4_096;
/** The longest separator that a chunk may split, less its last byte: an event may end across chunks. */
const SEPARATOR_OVERLAP = 2;

/** One event with its bytes as received. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Undefined if the event has no id, or one that isn't a number. */
  readonly id: number | undefined;
  /** It has only empty lines and comments, and no field. */
  readonly isEmpty: boolean;
  /** It is empty but for a comment, as servers send to keep a connection alive. */
  readonly isComment: boolean;
}

/** Incremental reader of an event stream. */
export interface EventReader {
  /** The events that `chunk` completes, up to a fault. */
  push(chunk: Buffer): readonly StreamEvent[];
  /** Whether an incomplete event is buffered. */
  hasPartialEvent(): boolean;
  /** Why the stream is not read any further, if it is not. */
  fault(): string | undefined;
}

/** End of the first event in `data`, past its empty line, searched from `from`; -1 if the event is incomplete. */
function eventEnd(data: Buffer, from: number): number {
  for (let at = data.indexOf(LINE_FEED, from); at >= 0; at = data.indexOf(LINE_FEED, at + 1)) {
    const next = data[at + 1];
    if (next === LINE_FEED) return at + 2;
    if (next === CARRIAGE_RETURN && data[at + 2] === LINE_FEED) return at + 3;
  }
  return -1;
}

function parseId(line: Buffer): number | undefined {
  const text = line.subarray(ID_FIELD.length).toString('latin1').trim();
  return /^\d+$/.test(text) ? Number(text) : undefined;
}

function hasField(line: Buffer): boolean {
  const [first] = line;
  return first !== undefined && first !== CARRIAGE_RETURN && first !== COLON;
}

function readEvent(bytes: Buffer): StreamEvent {
  let isEmpty = true;
  let hasComment = false;
  for (let at = 0; at < bytes.length;) {
    const found = bytes.indexOf(LINE_FEED, at);
    const end = found < 0 ? bytes.length : found;
    const line = bytes.subarray(at, end);
    if (line.subarray(0, ID_FIELD.length).equals(ID_FIELD))
      return { bytes, id: parseId(line), isEmpty: false, isComment: false };
    if (hasField(line)) isEmpty = false;
    if (line[0] === COLON) hasComment = true;
    at = end + 1;
  }
  return { bytes, id: undefined, isEmpty, isComment: isEmpty && hasComment };
}

/** Counts what lies between two events of a stream. `note` returns the limit that is exceeded, if any. */
function createFillerAccount(): { note(event: StreamEvent): string | undefined } {
  let hasIds = false;
  let fillers = 0;
  let bytes = 0;
  return {
    note: ({ id, isEmpty, bytes: { length } }) => {
      if (id !== undefined) hasIds = true;
      // Streams without any ids are forwarded as they are.
      if (id !== undefined || (!hasIds && !isEmpty)) {
        fillers = 0;
        bytes = 0;
        return undefined;
      }
      fillers += 1;
      bytes += length;
      if (fillers <= MAX_FILLERS && bytes <= MAX_FILLER_BYTES) return undefined;
      return 'the stream goes on without events';
    },
  };
}

/** A reader at the start of a stream. */
export function createEventReader(): EventReader {
  const partial = createGrowingBuffer();
  const filler = createFillerAccount();
  let fault: string | undefined;
  return {
    push: (chunk) => {
      const events: StreamEvent[] = [];
      if (fault !== undefined) return events;
      let from = Math.max(0, partial.length() - SEPARATOR_OVERLAP);
      let data = partial.length() === 0 ? chunk : partial.append(chunk);
      for (let end = eventEnd(data, from); end >= 0; end = eventEnd(data, 0)) {
        const event = readEvent(data.subarray(0, end));
        fault = filler.note(event);
        if (fault !== undefined) return events;
        events.push(event);
        data = data.subarray(end);
        from = 0;
      }
      if (events.length > 0 || partial.length() === 0) partial.reset(data);
      if (partial.length() > MAX_EVENT_BYTES) fault = 'event exceeds the size limit';
      return events;
    },
    hasPartialEvent: () => partial.length() > 0,
    fault: () => fault,
  };
}

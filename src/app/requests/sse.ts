/**
 * Frames of a server-sent event stream, seen from outside: where a frame ends, and whether the
 * stream came to its proper end. Contents are not parsed; a chunk that ends with a frame, the usual
 * case, is passed on as it is.
 */

const FRAME_END = Buffer.from('\n\n');
const END_MARK = Buffer.from('data: [DONE]\n\n');
const MARK_TEXT = Buffer.from('data: [DONE]');
const MARK_AT_LINE = Buffer.from('\ndata: [DONE]');
const CLOSING_BRACKET = 0x5d;
const LINE_FEED = 0x0a;
const EMPTY: Buffer = Buffer.alloc(0);
/** Long enough for the frame with the finish reason and a usage frame after it. */
const TAIL_BYTES = 4_096;
const MAX_TAIL_BYTES = 4 * TAIL_BYTES;
/** A finish reason that is a string. Within a JSON string the quotes would be escaped. */
const FINISH_REASON = /"finish_reason"\s*:\s*"/;

/** Why a stream is not a whole answer. */
export type StreamFault =
  'frame-too-long' | 'bytes-after-end' | 'misplaced-end' | 'no-end-mark' | 'no-finish-reason';

/** Watches one stream. */
export interface FrameCheck {
  /** Takes what came in and gives what may be passed on: whole frames, never the end mark. */
  push(chunk: Buffer): Buffer;
  /** The first fault seen so far. */
  fault(): StreamFault | undefined;
  /** The verdict once the stream has ended: a fault, or the end mark to pass on. */
  finish(): StreamFault | Buffer;
}

function endsWith(data: Buffer, suffix: Buffer): boolean {
  const at = data.length - suffix.length;
  return at >= 0 && data.compare(suffix, 0, suffix.length, at) === 0;
}

/** Length of the whole frames at the start of `data`. */
function wholeFrames(data: Buffer): number {
  const last = data.length - 1;
  if (data[last] === LINE_FEED && data[last - 1] === LINE_FEED) return data.length;
  const at = data.lastIndexOf(FRAME_END);
  return at < 0 ? 0 : at + FRAME_END.length;
}

/** Whether `frames` ends with a frame that is the end mark. */
function hasEndMark(frames: Buffer): boolean {
  // Nearly all frames end otherwise, which one byte tells.
  if (frames[frames.length - 3] !== CLOSING_BRACKET || !endsWith(frames, END_MARK)) return false;
  const before = frames.length - END_MARK.length - 1;
  return before < 0 || frames[before] === LINE_FEED;
}

/** Frames always start with a frame, so that the mark is at the start or after a line feed. */
function hasEndMarkInside(frames: Buffer): boolean {
  const at = frames.indexOf(MARK_TEXT);
  return at === 0 || (at > 0 && frames.includes(MARK_AT_LINE));
}

/** The latest chunks, with `TAIL_BYTES` in all or a little more. */
function lastOf(chunks: readonly Buffer[]): Buffer[] {
  let bytes = 0;
  let from = chunks.length;
  while (from > 0 && bytes < TAIL_BYTES) {
    from -= 1;
    bytes += chunks[from]?.length ?? 0;
  }
  return chunks.slice(from);
}

/** Starts watching a stream whose frames are at most `maxFrameBytes` long. */
export function createFrameCheck(maxFrameBytes: number): FrameCheck {
  let partial: Buffer = EMPTY;
  let tail: Buffer[] = [];
  let tailBytes = 0;
  let ended = false;
  let fault: StreamFault | undefined;

  /** Keeps the latest chunks, and drops old ones many at a time. */
  const remember = (frames: Buffer): void => {
    tail.push(frames);
    tailBytes += frames.length;
    if (tailBytes < MAX_TAIL_BYTES) return;
    tail = lastOf(tail);
    tailBytes = tail.reduce((sum, { length }) => sum + length, 0);
  };

  const keepPartial = (rest: Buffer): void => {
    partial = rest;
    if (rest.length > maxFrameBytes) fault ??= 'frame-too-long';
  };

  const push = (chunk: Buffer): Buffer => {
    if (ended) fault ??= 'bytes-after-end';
    if (fault !== undefined) return EMPTY;
    const data = partial.length === 0 ? chunk : Buffer.concat([partial, chunk]);
    const length = wholeFrames(data);
    keepPartial(length === data.length ? EMPTY : data.subarray(length));
    const frames = length === data.length ? data : data.subarray(0, length);
    ended = hasEndMark(frames);
    const forward = ended ? frames.subarray(0, frames.length - END_MARK.length) : frames;
    if (hasEndMarkInside(forward)) fault ??= 'misplaced-end';
    if (ended && partial.length > 0) fault ??= 'bytes-after-end';
    if (forward.length > 0) remember(forward);
    return fault === undefined ? forward : EMPTY;
  };

  const finish = (): StreamFault | Buffer => {
    if (fault !== undefined) return fault;
    if (!ended || partial.length > 0) return 'no-end-mark';
    const text = Buffer.concat(tail).toString('latin1');
    return FINISH_REASON.test(text) ? END_MARK : 'no-finish-reason';
  };

  return { push, finish, fault: () => fault };
}

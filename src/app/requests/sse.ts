/**
 * Framing of server-sent event streams: finds frame boundaries and verifies that the stream ends
 * properly. Contents are not parsed. A chunk that ends with a frame, the usual case, is forwarded
 * without copying.
 */

const FRAME_END = Buffer.from('\n\n');
const END_MARK = Buffer.from('data: [DONE]\n\n');
const MARK_TEXT = Buffer.from('data: [DONE]');
const MARK_AT_LINE = Buffer.from('\ndata: [DONE]');
const CLOSING_BRACKET = 0x5d;
const LINE_FEED = 0x0a;
const EMPTY: Buffer = Buffer.alloc(0);
/** Enough to hold the frame with the finish reason and a usage frame after it. */
const TAIL_BYTES = 4_096;
const MAX_TAIL_BYTES = 4 * TAIL_BYTES;
/** A finish reason that is a string. Inside a JSON string the quotes would be escaped. */
const FINISH_REASON = /"finish_reason"\s*:\s*"/;

/** Why a stream is not a complete answer. */
export type StreamFault =
  'frame-too-long' | 'bytes-after-end' | 'misplaced-end' | 'no-end-mark' | 'no-finish-reason';

/** Checks the framing of one stream. */
export interface FrameCheck {
  /** Takes a received chunk and returns the bytes to forward: complete frames, never the end mark. */
  push(chunk: Buffer): Buffer;
  /** The first fault found so far. */
  fault(): StreamFault | undefined;
  /** Called after the stream has ended. Returns a fault, or the end mark to forward. */
  finish(): StreamFault | Buffer;
}

function endsWith(data: Buffer, suffix: Buffer): boolean {
  const at = data.length - suffix.length;
  return at >= 0 && data.compare(suffix, 0, suffix.length, at) === 0;
}

/** Length of the complete frames at the start of `data`. */
function completeLength(data: Buffer): number {
  const last = data.length - 1;
  if (data[last] === LINE_FEED && data[last - 1] === LINE_FEED) return data.length;
  const at = data.lastIndexOf(FRAME_END);
  return at < 0 ? 0 : at + FRAME_END.length;
}

/** Whether `frames` ends with a frame that is the end mark. */
function hasEndMark(frames: Buffer): boolean {
  // Fast path: one byte rules out nearly all other frames.
  if (frames[frames.length - 3] !== CLOSING_BRACKET || !endsWith(frames, END_MARK)) return false;
  const before = frames.length - END_MARK.length - 1;
  return before < 0 || frames[before] === LINE_FEED;
}

/** `frames` begins at a frame boundary, so a mark is at its start or follows a line feed. */
function hasEndMarkInside(frames: Buffer): boolean {
  const at = frames.indexOf(MARK_TEXT);
  return at === 0 || (at > 0 && frames.includes(MARK_AT_LINE));
}

/** The last chunks that together hold at least `TAIL_BYTES`. */
function lastOf(chunks: readonly Buffer[]): Buffer[] {
  let bytes = 0;
  let from = chunks.length;
  while (from > 0 && bytes < TAIL_BYTES) {
    from -= 1;
    bytes += chunks[from]?.length ?? 0;
  }
  return chunks.slice(from);
}

/** Creates the check of one stream whose frames have at most `maxFrameBytes`. */
export function createFrameCheck(maxFrameBytes: number): FrameCheck {
  let partial: Buffer = EMPTY;
  let tail: Buffer[] = [];
  let tailBytes = 0;
  let ended = false;
  let fault: StreamFault | undefined;

  /** Keeps the latest chunks. Old ones are dropped in bulk to amortize the cost. */
  const appendTail = (frames: Buffer): void => {
    tail.push(frames);
    tailBytes += frames.length;
    if (tailBytes < MAX_TAIL_BYTES) return;
    tail = lastOf(tail);
    tailBytes = tail.reduce((sum, { length }) => sum + length, 0);
  };

  const keepPartial = (remainder: Buffer): void => {
    partial = remainder;
    if (remainder.length > maxFrameBytes) fault ??= 'frame-too-long';
  };

  const push = (chunk: Buffer): Buffer => {
    if (ended) fault ??= 'bytes-after-end';
    if (fault !== undefined) return EMPTY;
    const data = partial.length === 0 ? chunk : Buffer.concat([partial, chunk]);
    const length = completeLength(data);
    keepPartial(length === data.length ? EMPTY : data.subarray(length));
    const frames = length === data.length ? data : data.subarray(0, length);
    ended = hasEndMark(frames);
    const forward = ended ? frames.subarray(0, frames.length - END_MARK.length) : frames;
    if (hasEndMarkInside(forward)) fault ??= 'misplaced-end';
    if (ended && partial.length > 0) fault ??= 'bytes-after-end';
    if (forward.length > 0) appendTail(forward);
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

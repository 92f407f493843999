/** Describes an unexpected error for a log line, without its message: that may hold a part of what a caller sent. */

/** Frames of the stack that a line holds. */
const MAX_FRAMES = 12;

export interface ErrorFrames {
  readonly name: string;
  readonly code?: string;
  /** Where the error was thrown. */
  readonly frames: string;
}

function framesOf({ stack = '' }: Error): string {
  const frames = stack.split('\n').filter((line) => /^\s+at /.test(line));
  return frames
    .slice(0, MAX_FRAMES)
    .map((line) => line.trim())
    .join(' ');
}

/** Describes what was thrown, which may be anything. */
export function describeThrown(thrown: unknown): ErrorFrames {
  const err = thrown instanceof Error ? thrown : new Error('not an error');
  const { code } = err as NodeJS.ErrnoException;
  return { name: err.name, ...(code !== undefined && { code }), frames: framesOf(err) };
}

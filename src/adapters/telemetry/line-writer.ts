/**
 * Writes lines to a file descriptor without ever holding up the event loop. Writes to a pipe are
 * synchronous in Node, so a reader that stops reading would stop the process: here one write at a time
 * runs in libuv's thread pool, and lines beyond a bound are refused.
 */

import { write as writeToFd } from 'node:fs';

/** Writes bytes and calls back with an error, or with how many were taken. */
type WriteBytes = (
  bytes: Buffer,
  done: (err: NodeJS.ErrnoException | null, taken: number) => void,
) => void;

export interface LineWriterOptions {
  readonly write?: WriteBytes;
  /** Lines that wait may hold so many bytes together. */
  readonly maxBytes?: number;
}

export interface LineWriter {
  /** False where the line is lost because too much waits. */
  write(line: string): boolean;
  /** Resolves once nothing waits. */
  drain(): Promise<void>;
}

/** A few seconds of a daemon's log at its highest rate, and a small part of its memory. */
const MAX_WAITING_BYTES = 1024 * 1024;
/** A descriptor that takes nothing at the moment is tried again after this, milliseconds. */
const BUSY_RETRY_MS = 20;

const writeToStdout: WriteBytes = (bytes, done) => {
  writeToFd(process.stdout.fd, bytes, done);
};

export function createLineWriter({
  write = writeToStdout,
  maxBytes = MAX_WAITING_BYTES,
}: LineWriterOptions = {}): LineWriter {
  let waiting: string[] = [];
  let waitingBytes = 0;
  /** What is being written now; undefined between writes. */
  let current: Buffer | undefined;
  let onDrained: (() => void)[] = [];

  const finish = (): void => {
    current = undefined;
    if (waiting.length > 0) {
      start();
      return;
    }
    for (const resolve of onDrained) resolve();
    onDrained = [];
  };

  const writeOn = (bytes: Buffer): void => {
    current = bytes;
    write(bytes, (err, taken) => {
      if (err?.code === 'EAGAIN') {
        setTimeout(writeOn, BUSY_RETRY_MS, bytes);
        return;
      }
      // Nobody reads any more, and there is no other place to say so.
      if (err || taken >= bytes.length) finish();
      else writeOn(bytes.subarray(taken));
    });
  };

  const start = (): void => {
    const bytes = Buffer.from(waiting.join(''));
    waiting = [];
    waitingBytes = 0;
    writeOn(bytes);
  };

  return {
    write: (line) => {
      const text = `${line}\n`;
      if (waitingBytes + text.length > maxBytes) return false;
      waiting.push(text);
      waitingBytes += text.length;
      if (current === undefined) start();
      return true;
    },
    drain: () =>
      new Promise((resolve) => {
        if (current === undefined) resolve();
        else onDrained.push(resolve);
      }),
  };
}

/**
 * Writes lines to a file descriptor without blocking the event loop. Node writes to pipes synchronously,
 * so a reader that stops reading would block the process. Here one write at a time runs in libuv's thread
 * pool, and lines beyond a buffer limit are refused.
 */

import { write as writeToFd } from 'node:fs';

/** Writes bytes; calls back with an error or the number of bytes written. */
type WriteBytes = (
  bytes: Buffer,
  done: (err: NodeJS.ErrnoException | null, written: number) => void,
) => void;

export interface LineWriterOptions {
  readonly write?: WriteBytes;
  /** Maximum total length of the buffered lines. */
  readonly maxBytes?: number;
}

export interface LineWriter {
  /** Returns false, and drops the line, if the buffer is full. */
  write(line: string): boolean;
  /** Resolves once all buffered lines are written. */
  drain(): Promise<void>;
}

/** Holds a few seconds of a daemon's log at its highest rate; small against its memory. */
const DEFAULT_MAX_BYTES = 1024 * 1024;
/** Retry delay after EAGAIN, milliseconds. */
const BUSY_RETRY_MS = 20;

const writeToStdout: WriteBytes = (bytes, done) => {
  writeToFd(process.stdout.fd, bytes, done);
};

export function createLineWriter({
  write = writeToStdout,
  maxBytes = DEFAULT_MAX_BYTES,
}: LineWriterOptions = {}): LineWriter {
  let buffered: string[] = [];
  let bufferedBytes = 0;
  /** Bytes being written; undefined between writes. */
  let current: Buffer | undefined;
  let onDrained: (() => void)[] = [];

  const finish = (): void => {
    current = undefined;
    if (buffered.length > 0) {
      start();
      return;
    }
    for (const resolve of onDrained) resolve();
    onDrained = [];
  };

  const writeAll = (bytes: Buffer): void => {
    current = bytes;
    write(bytes, (err, written) => {
      if (err?.code === 'EAGAIN') {
        setTimeout(writeAll, BUSY_RETRY_MS, bytes);
        return;
      }
      // On an error the bytes are dropped: the reader is gone, and there is nowhere else to report it.
      if (err || written >= bytes.length) finish();
      else writeAll(bytes.subarray(written));
    });
  };

  const start = (): void => {
    const bytes = Buffer.from(buffered.join(''));
    buffered = [];
    bufferedBytes = 0;
    writeAll(bytes);
  };

  return {
    write: (line) => {
      const text = `${line}\n`;
      if (bufferedBytes + text.length > maxBytes) return false;
      buffered.push(text);
      bufferedBytes += text.length;
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

import { describe, expect, it } from 'vitest';

import { createLineWriter } from '../../src/adapters/telemetry/line-writer';

type Done = (err: NodeJS.ErrnoException | null, taken: number) => void;

/** A descriptor whose writes complete when the test says so. */
function createSlowFd() {
  const written: string[] = [];
  const pending: { bytes: Buffer; done: Done }[] = [];
  return {
    written,
    pending,
    write: (bytes: Buffer, done: Done) => {
      pending.push({ bytes, done });
    },
    /** Completes the write in flight with `taken` bytes, or all of them. */
    take: (taken?: number) => {
      const next = pending.shift();
      if (!next) throw new Error('no write is in flight');
      const count = taken ?? next.bytes.length;
      written.push(next.bytes.subarray(0, count).toString());
      next.done(null, count);
    },
  };
}

describe('a line writer', () => {
  it('batches lines while a write is in flight', () => {
    const fd = createSlowFd();
    const lines = createLineWriter({ write: fd.write });
    for (const line of ['a', 'b', 'c']) expect(lines.write(line)).toBe(true);
    expect(fd.pending).toHaveLength(1);
    fd.take();
    fd.take();
    expect(fd.written).toEqual(['a\n', 'b\nc\n']);
  });

  it('continues after a partial write', () => {
    const fd = createSlowFd();
    const lines = createLineWriter({ write: fd.write });
    lines.write('abcdef');
    fd.take(3);
    fd.take();
    expect(fd.written.join('')).toBe('abcdef\n');
  });

  it('refuses lines while too many bytes are buffered', () => {
    const fd = createSlowFd();
    const lines = createLineWriter({ write: fd.write, maxBytes: 8 });
    lines.write('first');
    expect(lines.write('1234567')).toBe(true);
    expect(lines.write('x')).toBe(false);
    fd.take();
    expect(lines.write('x')).toBe(true);
  });

  it('resolves drain() once everything is written', async () => {
    const fd = createSlowFd();
    const lines = createLineWriter({ write: fd.write });
    await lines.drain();
    lines.write('a');
    let isDrained = false;
    const drained = lines.drain().then(() => (isDrained = true));
    await Promise.resolve();
    expect(isDrained).toBe(false);
    fd.take();
    expect(await drained).toBe(true);
  });
});

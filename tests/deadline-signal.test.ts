import { describe, expect, it } from 'vitest';

import { createDeadlineSignal } from '../src/utils/deadline-signal';
import { pause } from '../src/utils/pause';

const LIMIT_MS = 300;
const SIGNALS = 100;
/** Objects that are allocated at a time, so that garbage is collected. */
const ALLOCATED = 100_000;

describe('a signal with a deadline', () => {
  // Guards against calls that are never given up because their composed signal was garbage collected.
  it('aborts although garbage is collected before', async () => {
    const callers = Array.from({ length: SIGNALS }, () => new AbortController());
    let aborted = 0;
    for (const caller of callers) {
      const { signal } = createDeadlineSignal(LIMIT_MS, caller.signal);
      signal.addEventListener('abort', () => (aborted += 1), { once: true });
    }
    const endAt = performance.now() + 2 * LIMIT_MS;
    let garbage: object[] = [];
    while (performance.now() < endAt) {
      garbage = Array.from({ length: ALLOCATED }, () => ({}));
      await pause(LIMIT_MS / 30);
    }
    expect(garbage.length).toBe(ALLOCATED);
    expect(aborted).toBe(SIGNALS);
  });

  it('aborts with its parent', () => {
    const parent = new AbortController();
    const { signal, clear } = createDeadlineSignal(LIMIT_MS, parent.signal);
    parent.abort(new Error('caller disconnected'));
    clear();
    expect((signal.reason as Error).message).toBe('caller disconnected');
  });

  it('does not abort once it is cleared', async () => {
    const { signal, clear } = createDeadlineSignal(10, new AbortController().signal);
    clear();
    await pause(50);
    expect(signal.aborted).toBe(false);
  });
});

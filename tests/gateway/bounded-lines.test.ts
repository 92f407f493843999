import { describe, expect, it } from 'vitest';

import { createBoundedLines } from '../../src/adapters/telemetry/bounded-lines';

const INFO = '{"level":"info","message":"request ended"}';
const WARNING = '{"level":"warn","message":"group suspected"}';

function setUp() {
  const lines: string[] = [];
  const clock = { now: 0 };
  const write = createBoundedLines({
    write: (line) => lines.push(line) > 0,
    now: () => clock.now,
    ordinary: { perS: 10, burst: 5 },
    important: { perS: 10, burst: 5 },
  });
  return { lines, clock, write };
}

describe('a bounded log', () => {
  it('drops lines beyond the budget and reports their number', () => {
    const { lines, clock, write } = setUp();
    for (let i = 0; i < 50; i++) write(INFO);
    expect(lines).toHaveLength(5);
    clock.now = 1_000;
    write(INFO);
    expect(lines.at(-1)).toContain('"count":45');
  });

  it('keeps warnings while ordinary lines are dropped', () => {
    const { lines, write } = setUp();
    for (let i = 0; i < 50; i++) write(INFO);
    write(WARNING);
    expect(lines.at(-1)).toBe(WARNING);
  });

  it('never exceeds burst and rate', () => {
    const { lines, clock, write } = setUp();
    for (let i = 0; i < 1_000; i++) {
      clock.now = i * 10;
      write(INFO);
    }
    const written = lines.filter((line) => line === INFO).length;
    expect(written).toBeLessThanOrEqual(5 + 100);
  });
});

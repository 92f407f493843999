import { expect, it } from 'vitest';

import { createLoopDelay } from '../../src/app/gateway/loop-delay';
import { createLogger } from '../../src/adapters/telemetry/logger';
import { createClock } from '../../src/adapters/runtime';
import { later } from '../../src/core/ids';
import { makeContext } from './support';

const TICK_MS = 50;
const GAUGE = /^nutmegstack_loop_delay_max_ms (\S+)$/m;

// Guards against a silence of servers that cannot be told from a process that did not run.
it('shows the longest delay of the last interval and logs long ones', async () => {
  const clock = createClock();
  let now = clock.now();
  const lines: string[] = [];
  const ctx = {
    ...makeContext({ clock: { ...clock, now: () => now } }),
    logger: createLogger({ write: (line) => lines.push(line) }),
  };
  const loopDelay = createLoopDelay(ctx, TICK_MS);
  const run = (ticks: number, delayMs = 0): void => {
    for (let n = 0; n < ticks; n++) {
      now = later(now, TICK_MS + delayMs);
      loopDelay.tick();
    }
  };
  const shown = async () => Number(GAUGE.exec(await ctx.metrics.render())?.[1]);
  run(10);
  run(1, 320);
  expect(lines.filter((line) => line.includes('"delayMs":320'))).toHaveLength(1);
  run(200);
  expect(await shown()).toBeCloseTo(320);
  run(200);
  expect(await shown()).toBeCloseTo(0);
  expect(lines).toHaveLength(1);
});

// Guards against a start that counts as a pause, so that the first callers seem to have waited for all of it.
it('counts no pause before the first tick', () => {
  const clock = createClock();
  let now = clock.now();
  const loopDelay = createLoopDelay(makeContext({ clock: { ...clock, now: () => now } }), TICK_MS);
  now = later(now, 900);
  expect(loopDelay.blockedSince()).toBeUndefined();
  loopDelay.tick();
  expect(loopDelay.blockedSince()).toBeUndefined();
  const dueAt = later(now, TICK_MS);
  now = later(now, 900);
  expect(loopDelay.blockedSince()).toBe(dueAt);
});

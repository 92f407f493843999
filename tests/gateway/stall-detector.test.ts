import { describe, expect, it } from 'vitest';

import { createStallDetector } from '../../src/app/gateway/stall-detector';
import { createProgress, noteEvent, noteSent } from '../../src/core/gateway/progress';
import { at } from './support';

const CONTEXT = {
  ...{ expectedPauseMs: 50, prefillMs: 0, running: 4 },
  ...{ hasPeerLoads: true, runningOnPeers: 0 },
};
const TICK_MS = 50;

/** A detector that has ticked on time until `ms`, and a group whose last event was read at 0. */
function setUp(ms: number) {
  let now = 0;
  const detector = createStallDetector({ now: () => at(now), epoch: () => 0 as never });
  const progress = noteEvent(noteSent(createProgress(at(0)), at(0), 100), at(0), 50);
  const tickAt = (time: number): string | undefined => {
    now = time;
    detector.tick();
    return detector.detect(progress, CONTEXT);
  };
  for (let time = TICK_MS; time <= ms; time += TICK_MS) tickAt(time);
  return { tickAt };
}

describe('a group without events', () => {
  it('is stalled once it has been silent for 500 ms', () => {
    const { tickAt } = setUp(450);
    expect(tickAt(499)).toBeUndefined();
    expect(tickAt(500)).toContain('silent for 500 ms');
  });

  // Guards against counting time in which events that had arrived were not read.
  it.each([60, 100, 140, 199, 400])(
    'is not stalled after a tick that is %i ms apart from the last, before events are read',
    (apartMs) => {
      const { tickAt } = setUp(400);
      expect(tickAt(400 + apartMs)).toBeUndefined();
    },
  );

  it('is stalled at the next tick in time if it is still silent', () => {
    const { tickAt } = setUp(400);
    expect(tickAt(540)).toBeUndefined();
    expect(tickAt(590)).toContain('silent');
  });
});

import { describe, expect, it } from 'vitest';

import { fakeTime } from './fake-time';
import { createStreamWorld } from './stream-fixture';

describe('a daemon that is about to end', () => {
  fakeTime();

  // Guards against a stream that waits for a slot, is sent late in a stop, and cut with the daemon.
  it.each([
    { what: 'full', isFull: true },
    { what: 'not served', isFull: false },
  ])('refuses a stream that waits as its model is $what', async ({ isFull }) => {
    const world = createStreamWorld({ groups: 1 });
    if (isFull) world.setFull('s0', true);
    else world.setServing('s0', false);
    const caller = await world.request();
    world.beginEnd();
    await world.pass(0);
    expect([caller.status(), world.runs.length]).toEqual([503, 0]);
  });

  it('goes on with a stream that was passed on', async () => {
    const world = createStreamWorld({ groups: 1 });
    const caller = await world.request();
    world.beginEnd();
    world.runAt('s0').finishFrom(1);
    await world.pass(50);
    expect([caller.state(), caller.ids()]).toEqual(['whole', [1, 2, 3, 4, 5, 6]]);
  });
});

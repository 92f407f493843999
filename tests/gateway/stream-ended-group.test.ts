/** Streams of a group of which a server is found to have ended. */

import { expect, it } from 'vitest';

import { fakeTime } from './fake-time';
import { createStreamWorld, groupOf, LAST_EVENT } from './stream-fixture';

fakeTime();

const ALL_EVENTS = Array.from({ length: LAST_EVENT + 1 }, (_, id) => id);

// Guards against answers cut at all daemons because one of them, which leads, was refused a connection by a server
// that stopped listening as it drains, or by its own link, while the server goes on with the stream.
it.each([1, 2])(
  'a stream whose server goes on sending is answered whole by it, with %i groups',
  async (groups) => {
    const world = createStreamWorld({ groups, route: { maxAttempts: 1 } });
    const caller = await world.request();
    const run = world.runs[0];
    if (!run) throw new Error('nothing was sent');
    run.send(0, 1);
    await world.pass(50);
    world.registry.suspect(groupOf(run.head), 'lost', 'found by leader-1, members ended');
    world.registry.evacuate({ ...world.stallOf(run.head), evidence: 'ended' });
    await world.pass(50);
    if (!run.isClosed) run.finishFrom(2);
    await world.pass(50);
    expect([caller.state(), caller.ids()]).toEqual(['whole', ALL_EVENTS]);
  },
);

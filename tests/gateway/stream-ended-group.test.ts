/** Streams of a group of which a server is found to have ended. */

import { describe, expect, it } from 'vitest';

import { brandAs } from '../../src/core/ids';
import type { GroupId } from '../../src/core/ids';
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

// Guards against a stream that waits until its deadline, as the peer that passed it on ended and its model has no group
// other than the one that it was lost with.
it('a resumable stream whose peer ends goes on at the same group', async () => {
  const world = createStreamWorld({ groups: 1, byPeer: true });
  const caller = await world.request();
  world.runAt('s0').send(0, 1);
  world.runAt('s0').close();
  await world.pass(50);
  const [, next] = world.runs;
  if (!next) throw new Error('nothing was sent again');
  next.finishFrom(2);
  await world.pass(50);
  expect([next.lastEventId, caller.state(), caller.ids()]).toEqual(['1', 'whole', ALL_EVENTS]);
});

describe('a resumable stream without an event whose group ends as the last of its model', () => {
  /** The stream waits for its group until that ends, long after it arrived; the end is known before or after the connection breaks. */
  async function loseLastGroup(isKnownFirst = true) {
    const world = createStreamWorld({ groups: 2 });
    world.setServing('s1', false);
    const caller = await world.request();
    await world.pass(2_000);
    if (isKnownFirst) world.setServing('s0', false);
    world.runAt('s0').close();
    await world.pass(100);
    world.setServing('s0', false);
    await world.pass(900);
    return { world, caller };
  }

  // Guards against a 502 for a stream that has time left, a moment before its model is served again.
  it.each([
    { what: 'another head', head: 's1', isKnownFirst: true },
    { what: 'the same head', head: 's0', isKnownFirst: true },
    { what: 'another head, known to have ended later', head: 's1', isKnownFirst: false },
  ])('is sent to the group that is formed next, with $what', async ({ head, isKnownFirst }) => {
    const { world, caller } = await loseLastGroup(isKnownFirst);
    world.setServing(head, true, brandAs<GroupId>('next-group'));
    await world.pass(50);
    const next = world.runs[1];
    if (!next) throw new Error('nothing was sent again');
    expect(next.head).toBe(head);
    next.finishFrom(0);
    await world.pass(50);
    expect([caller.state(), caller.ids()]).toEqual(['whole', ALL_EVENTS]);
  });

  // Guards against a stream that is held until its deadline although no group is formed.
  it('gets its answer soon if none is formed', async () => {
    const { world, caller } = await loseLastGroup();
    expect(caller.state()).toBe('open');
    await world.pass(600);
    expect(caller.state()).not.toBe('open');
  });
});

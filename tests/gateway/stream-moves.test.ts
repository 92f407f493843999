import { describe, expect, it } from 'vitest';

import { createRetries } from '../../src/app/gateway/retries';
import { fakeTime } from './fake-time';
import { createStreamWorld, groupOf, LAST_EVENT } from './stream-fixture';
import type { StreamWorld, StreamWorldOptions } from './stream-fixture';

fakeTime();

const ALL_EVENTS = Array.from({ length: LAST_EVENT + 1 }, (_, id) => id);
const HEADS = ['s0', 's1', 's2'];
/** Every daemon suspends a silent group this soon, and some while later a lost one. */
const STALL_MS = 700;

/** A world with one stream that has had two events. */
async function begin(options: StreamWorldOptions) {
  const world = createStreamWorld(options);
  const caller = await world.request();
  const run = world.runs[0];
  if (!run) throw new Error('nothing was sent');
  run.send(0, 1);
  return { world, caller, run };
}

const others = (head: string, groups: number): string[] =>
  HEADS.slice(0, groups).filter((one) => one !== head);

/** The leader found the group lost, as stall reporting applies it. */
function findLost(world: StreamWorld, head: string): void {
  world.registry.suspect(groupOf(head), 'lost', 'found by leader-1');
  world.registry.evacuate(world.stallOf(head));
}

describe('a stream whose group is found lost while its server goes on sending', () => {
  // Guards against findings of a leader that is late itself: they cut streams of sound groups.
  it.each([1, 2])('is answered whole by its server, with %i groups', async (groups) => {
    const { world, caller, run } = await begin({ groups });
    findLost(world, run.head);
    await world.pass(100);
    run.send(2);
    findLost(world, run.head);
    await world.pass(100);
    run.finishFrom(3);
    await world.pass(50);
    expect([caller.state(), caller.ids()]).toEqual(['whole', ALL_EVENTS]);
    expect(world.runs).toHaveLength(1);
  });

  // Guards against a second finding that spends the last attempt, as in the operators' play.
  it('is answered whole when a second finding comes after its last attempt began', async () => {
    const { world, caller, run } = await begin({ groups: 2 });
    run.close();
    await world.pass(50);
    const [other] = others(run.head, 2);
    const second = world.runAt(other ?? '');
    second.send(2);
    findLost(world, second.head);
    await world.pass(100);
    second.finishFrom(3);
    await world.pass(50);
    expect([caller.state(), caller.ids()]).toEqual(['whole', ALL_EVENTS]);
  });
});

describe('a silent stream', () => {
  const LACKS: readonly (StreamWorldOptions & { readonly lack: string })[] = [
    { lack: 'no other group', groups: 1 },
    { lack: 'no slot in another group', groups: 2 },
    { lack: 'no retry', groups: 2, retries: 0 },
    { lack: 'no attempt', groups: 2, route: { maxAttempts: 1 } },
    { lack: 'a route that does not resume', groups: 2, route: { isResumable: false } },
  ];

  // Guards against callers' connections that are broken although the server still works on the answer.
  describe.each(LACKS)('with $lack', ({ lack, ...options }) => {
    it.each(['seen silent by this daemon', 'found lost by the leader'])(
      'is not torn when its group is %s, and goes on when its server does',
      async (finding) => {
        const { world, caller, run } = await begin(options);
        if (lack === 'no slot in another group')
          for (const head of others(run.head, 2)) world.setFull(head, true);
        await world.pass(STALL_MS);
        if (finding === 'found lost by the leader') findLost(world, run.head);
        await world.pass(2_000);
        expect(caller.state()).toBe('open');
        expect(run.isClosed).toBe(false);
        run.finishFrom(2);
        await world.pass(50);
        expect([caller.state(), caller.ids()]).toEqual(['whole', ALL_EVENTS]);
        expect(world.runs).toHaveLength(1);
      },
    );
  });

  // Guards against the same before the first event, where prompts are prefilled.
  it('is kept before its first event, too, if no slot is free', async () => {
    const world = createStreamWorld({ groups: 1 });
    const caller = await world.request();
    await world.pass(3_000);
    expect(caller.state()).toBe('open');
    world.runAt('s0').finishFrom(0);
    await world.pass(50);
    expect([caller.state(), caller.ids()]).toEqual(['whole', ALL_EVENTS]);
  });

  // Guards against streams that stay with a dark server although they could go on.
  it('is moved, and answered whole, when a slot, a retry and an attempt are at hand', async () => {
    const { world, caller, run } = await begin({ groups: 2, retries: 1 });
    run.sendPart(2);
    await world.pass(STALL_MS);
    expect(run.isClosed).toBe(false);
    const [other = ''] = others(run.head, 2);
    const second = world.runAt(other);
    expect(second.lastEventId).toBe('1');
    second.send(2);
    expect(run.isClosed).toBe(true);
    second.finishFrom(3);
    await world.pass(50);
    expect([caller.state(), caller.ids()]).toEqual(['whole', ALL_EVENTS]);
    expect([world.runs.length, world.retriesLeft()]).toEqual([2, 0]);
  });

  // Guards against streams that ask for a slot once and then wait out their deadline.
  it('is moved once a slot in another group becomes free', async () => {
    const { world, caller, run } = await begin({ groups: 2 });
    const [other = ''] = others(run.head, 2);
    world.setFull(other, true);
    await world.pass(STALL_MS);
    expect(run.isClosed).toBe(false);
    world.setFull(other, false);
    await world.pass(50);
    world.runAt(other).finishFrom(2);
    expect(run.isClosed).toBe(true);
    await world.pass(50);
    expect([caller.state(), caller.ids()]).toEqual(['whole', ALL_EVENTS]);
  });

  // Guards against a log that names the framing of another answer than the one the caller got.
  it.each([
    { what: 'its first', framing: 'chunks', server: 0 },
    { what: 'its second', framing: 'length', server: 1 },
  ])(
    'is logged with the framing of $what answer where that goes on',
    async ({ framing, server }) => {
      const { world, run } = await begin({ groups: 2, framings: ['chunks', 'length'] });
      await world.pass(STALL_MS);
      const runs = [run, world.runAt(others(run.head, 2)[0] ?? '')];
      runs[server]?.finishFrom(2);
      await world.pass(50);
      const ended = world.lines().find(({ step }) => step === 'end');
      expect(ended).toMatchObject({ outcome: 'served', framing });
    },
  );

  // Guards against a prefill for nothing: the first server is at work on the answer again.
  it('is not moved once it has had an event again', async () => {
    const { world, caller, run } = await begin({ groups: 2 });
    const [other = ''] = others(run.head, 2);
    world.setFull(other, true);
    await world.pass(STALL_MS);
    run.send(2);
    world.setFull(other, false);
    await world.pass(300);
    expect([run.isClosed, world.runs.length]).toEqual([false, 1]);
    run.finishFrom(3);
    await world.pass(50);
    expect([caller.state(), caller.ids()]).toEqual(['whole', ALL_EVENTS]);
  });

  // Guards against streams that are moved because this daemon did not run: their events are not read yet.
  it.each(['before', 'after'])(
    'is not moved for a finding that is read %s the first tick after a pause of this process',
    async (order) => {
      const { world, caller, run } = await begin({ groups: 2 });
      await world.pass(100);
      world.pauseProcess(800);
      if (order === 'after') await world.pass(50);
      findLost(world, run.head);
      await world.pass(50);
      run.finishFrom(2);
      await world.pass(50);
      expect([caller.state(), caller.ids()]).toEqual(['whole', ALL_EVENTS]);
      expect(world.runs).toHaveLength(1);
    },
  );

  // Guards against a slot that is held in the next group while the stream stays where it is.
  it('takes neither a slot nor a token as long as no retry is left', async () => {
    const { world, run } = await begin({ groups: 2, retries: 0 });
    await world.pass(3_000);
    expect(world.registry.running().map(([head]) => head)).toEqual([run.head]);
  });
});

describe('streams that are silent together', () => {
  // Guards against more retries than the fleet's budget allows, which users count, when a group is lost.
  it('are moved as far as the retry budget allows; the others are kept and answered whole', async () => {
    const world = createStreamWorld({
      groups: 2,
      retries: (ctx) => createRetries(ctx, () => 1),
      tunables: { retryRatio: 0.25, retrySlack: 4, retryWindowMs: 10_000 },
    });
    world.setFull('s1', true);
    const callers = await Promise.all(
      Array.from({ length: 8 }, (_, n) => world.request(`request-${n}`)),
    );
    const first = [...world.runs];
    for (const run of first) run.send(0, 1);
    world.setFull('s1', false);
    await world.pass(1_200);
    const moved = world.runs.length - first.length;
    expect(moved).toBeGreaterThan(0);
    // As users count it: a share of the requests, and a fixed number.
    expect(moved).toBeLessThanOrEqual(0.25 * first.length + 4);
    expect(first.filter(({ isClosed }) => isClosed)).toEqual([]);
    for (const run of world.runs) if (!run.isClosed) run.finishFrom(2);
    await world.pass(50);
    for (const caller of callers)
      expect([caller.state(), caller.ids()]).toEqual(['whole', ALL_EVENTS]);
  });
});

describe('a stream whose server has ended', () => {
  // Guards against callers who wait out their deadline for a server of which the leader knows that it ended.
  it.each([
    { silentMs: 350, withinMs: 50 },
    // It may go on for a while without the server that has ended.
    { silentMs: 0, withinMs: 400 },
  ])('is resumed in another group $withinMs ms after $silentMs ms of silence', async (times) => {
    const { world, caller, run } = await begin({ groups: 2 });
    await world.pass(times.silentMs);
    world.registry.suspect(groupOf(run.head), 'lost', 'found by leader-1');
    world.registry.evacuate({ ...world.stallOf(run.head), evidence: 'ended' });
    await world.pass(times.withinMs);
    expect(run.isClosed).toBe(true);
    const second = world.runAt(others(run.head, 2)[0] ?? '');
    expect(second.lastEventId).toBe('1');
    second.finishFrom(2);
    await world.pass(50);
    expect([caller.state(), caller.ids()]).toEqual(['whole', ALL_EVENTS]);
  });
});

describe('servers that pause together', () => {
  // Guards against streams that are moved from one paused group to the next, for a prefill each.
  it('keep their streams, which go on afterwards', async () => {
    const world = createStreamWorld({ groups: 2 });
    const callers = await Promise.all(['a', 'b', 'c', 'd'].map((id) => world.request(id)));
    for (const run of world.runs) run.send(0, 1);
    expect(new Set(world.runs.map(({ head }) => head)).size).toBe(2);
    await world.pass(3_000);
    expect(world.runs).toHaveLength(4);
    // One goes on a little earlier.
    for (const id of [2, 3]) {
      for (const run of world.runs) {
        run.send(id);
        await world.pass(50);
      }
    }
    expect(world.runs).toHaveLength(4);
    for (const run of world.runs) run.finishFrom(4);
    await world.pass(50);
    for (const caller of callers)
      expect([caller.state(), caller.ids()]).toEqual(['whole', ALL_EVENTS]);
  });
});

describe('a new request after a pause of all servers', () => {
  // Guards against refusals for seconds after the pause, while all groups are still suspended.
  it('is sent as soon as a group gives an event again', async () => {
    const { world, run } = await begin({ groups: 1 });
    await world.pass(700);
    await world.request('request-2');
    await world.pass(300);
    expect(world.runs).toHaveLength(1);
    run.send(2);
    await world.pass(50);
    expect(world.runs).toHaveLength(2);
  });
});

describe('a group whose suspension ended without an event', () => {
  // Guards against all waiting requests sent at once to a group of which a server is lost.
  it('gets one request, and others once that has an event', async () => {
    const { world, caller, run } = await begin({ groups: 1 });
    await world.pass(STALL_MS);
    caller.leave();
    await world.pass(1_600);
    for (const id of ['b', 'c', 'd']) await world.request(id);
    await world.pass(300);
    expect([run.isClosed, world.runs.length]).toEqual([true, 2]);
    world.runAt('s0').send(0);
    await world.pass(50);
    expect(world.runs).toHaveLength(4);
  });
});

describe('a caller that leaves', () => {
  // Guards against a request that is sent for a caller who left while it was being moved or waited.
  it('gets nothing sent if it has left before, and its server stops if it leaves later', async () => {
    const world = createStreamWorld({ groups: 1 });
    await world.request('left', true);
    expect(world.runs).toHaveLength(0);
    const caller = await world.request('leaves');
    const run = world.runAt('s0');
    run.send(0);
    await world.pass(1_000);
    caller.leave();
    await world.pass(50);
    expect(run.isClosed).toBe(true);
    expect(world.registry.running()).toEqual([]);
  });
});

describe('a stream that is moved while connections to all groups time out', () => {
  // Guards against the end of an answer for a link of this daemon that is slow for a second or two.
  it('is answered whole once they are reached again', async () => {
    const { world, caller, run } = await begin({ groups: 4, retries: 1 });
    const heads = HEADS.slice(0, 4);
    for (const head of heads) world.setUnreachable(head, true);
    await world.pass(400);
    findLost(world, run.head);
    await world.pass(800);
    expect(run.isClosed).toBe(false);
    for (const head of heads) world.setUnreachable(head, false);
    await world.pass(3_000);
    const next = world.runs.at(-1);
    expect(next?.lastEventId).toBe('1');
    next?.finishFrom(2);
    await world.pass(50);
    expect([caller.state(), caller.ids()]).toEqual(['whole', ALL_EVENTS]);
  });

  // Guards against requests without a pause to a group that is refused at the last moment and not suspended.
  it('does not try the same group again at once', async () => {
    const { world, run } = await begin({ groups: 2 });
    const [other = ''] = others(run.head, 2);
    world.setHeldBack(other);
    await world.pass(400);
    findLost(world, run.head);
    await world.pass(800);
    expect(run.isClosed).toBe(false);
    expect([1, 2]).toContain(world.heldBackCount());
  });
});

describe('a stream in a group that is silent for good', () => {
  // Guards against a stream that hangs although a slot and a retry are free, because the other group is slow.
  it('is moved to a group whose events come 400 ms apart', async () => {
    const world = createStreamWorld({ groups: 2 });
    await world.request('a');
    await world.request('b');
    const [dark, slow] = world.runs;
    if (!dark || !slow) throw new Error('nothing was sent');
    expect(dark.head).not.toBe(slow.head);
    dark.send(0, 1);
    for (let id = 0; id < 5; id++) {
      slow.send(id);
      await world.pass(400);
    }
    expect(world.runs.map(({ head }) => head)).toEqual([dark.head, slow.head, slow.head]);
  });
});

import { describe, expect, it, vi } from 'vitest';

import { fakeTime } from './fake-time';
import { createStreamWorld, LAST_EVENT } from './stream-fixture';
import type { ServerRun } from './stream-fixture';

fakeTime();

const MAX_EVENT_BYTES = 1_048_576;
const ALL = Array.from({ length: LAST_EVENT + 1 }, (_, id) => id);
const event = (id: number): string => `id: ${id}\ndata: piece\n\n`;

function sendText(run: ServerRun, text: string): void {
  run.emit('data', Buffer.from(text));
}

/** A resumable stream that got event 0, then `send`, and is finished by the next group. */
async function resumeAfter(send: (run: ServerRun) => void) {
  const world = createStreamWorld({ groups: 2, route: { isResumable: true, maxAttempts: 2 } });
  const caller = await world.request();
  const [first] = world.runs;
  if (!first) throw new Error('nothing was sent');
  first.send(0);
  send(first);
  await world.pass(10);
  const second = world.runs[1];
  second?.finishFrom(Number(second.lastEventId) + 1);
  await world.pass(10);
  return { caller, first, resumedAfter: second?.lastEventId };
}

describe('a chunk with sound events and a fault', () => {
  // Guards against events that count as forwarded and never were: the next run goes on after them (ORDER).
  it.each([
    { fault: 'an event that is left out', text: event(1) + event(2) + event(4) },
    { fault: 'an event that comes twice', text: event(1) + event(2) + event(2) },
    {
      fault: 'an event that is too long',
      text: `${event(1)}${event(2)}id: 3\ndata: ${'x'.repeat(MAX_EVENT_BYTES)}`,
    },
  ])('loses none of the sound ones: $fault', async ({ text }) => {
    const { caller, first, resumedAfter } = await resumeAfter((run) => {
      sendText(run, text);
    });
    expect(resumedAfter).toBe('2');
    expect([caller.ids(), caller.state(), first.isClosed]).toEqual([ALL, 'whole', true]);
  });

  // Guards against what the parser still holds being forwarded beside the next run.
  it('ends the reading, whatever follows in the same turn', async () => {
    const { caller, resumedAfter } = await resumeAfter((run) => {
      sendText(run, event(1) + event(3));
      sendText(run, event(2));
      sendText(run, event(3));
    });
    expect(resumedAfter).toBe('1');
    expect([caller.ids(), caller.state()]).toEqual([ALL, 'whole']);
  });
});

describe('an answer that ends with its connection, after events from another group', () => {
  /** A stream whose second group answers so and does `end`. */
  async function resumeUnmeasured(end: (run: ServerRun) => void, maxAttempts = 2) {
    const world = createStreamWorld({
      ...{ groups: 3, route: { isResumable: true, maxAttempts } },
      framings: ['chunks', 'close'],
    });
    const caller = await world.request();
    const [first] = world.runs;
    first?.send(0);
    first?.close();
    await world.pass(10);
    const second = world.runs[1];
    if (!second) throw new Error('nothing was resumed');
    end(second);
    await world.pass(10);
    return { world, caller };
  }

  it('is whole once its server has ended it in order', async () => {
    const { world, caller } = await resumeUnmeasured((run) => {
      run.finishFrom(1);
    });
    expect([caller.ids(), caller.state(), world.runs.length]).toEqual([ALL, 'whole', 2]);
    const ended = world.lines().find(({ step }) => step === 'end');
    expect(ended).toMatchObject({ outcome: 'served', framing: 'close' });
  });

  // Guards against the end of the caller's chunks for a stream that is cut (ORDER).
  it.each([
    { cut: 'between two events', text: '' },
    { cut: 'within an event', text: 'id: 2\ndata: pi' },
  ])('goes on at the next group if its server is lost $cut', async ({ text }) => {
    const { world, caller } = await resumeUnmeasured((run) => {
      run.send(1);
      if (text !== '') sendText(run, text);
      run.close();
    }, 3);
    expect(caller.state()).toBe('open');
    expect(world.runs[2]?.lastEventId).toBe('1');
    world.runs[2]?.finishFrom(2);
    await world.pass(10);
    expect([caller.ids(), caller.state()]).toEqual([ALL, 'whole']);
  });

  // Guards against a server that stops behind its head, whose end would be that of the caller's stream (ORDER).
  it('goes on at the next group if its server ends it behind its head', async () => {
    const { world, caller } = await resumeUnmeasured((run) => {
      run.finishFrom(LAST_EVENT + 1);
    }, 3);
    expect(caller.state()).toBe('open');
    expect(world.runs[2]?.lastEventId).toBe('0');
    world.runs[2]?.finishFrom(1);
    await world.pass(10);
    expect([caller.ids(), caller.state()]).toEqual([ALL, 'whole']);
  });

  // Guards against a count of answers in doubt that includes those which no caller got.
  it('is not logged as the framing of a stream that is broken off', async () => {
    const { world, caller } = await resumeUnmeasured((run) => {
      run.send(1);
      run.close();
    });
    expect(caller.state()).toBe('torn');
    const ended = world.lines().find(({ step }) => step === 'end');
    expect(ended).toMatchObject({ outcome: 'torn' });
    expect(ended).not.toHaveProperty('framing');
  });
});

describe('an error at the end of an answer without events', () => {
  // Guards against a stream that waits for its time-out, as nothing catches what a listener throws.
  it('costs this answer only', async () => {
    const reply = vi
      .fn(() => [] as string[])
      .mockImplementationOnce(() => {
        throw new Error('of no use to a caller');
      });
    const route = { isResumable: true, maxAttempts: 2 };
    const world = createStreamWorld({ groups: 2, route, reply });
    const caller = await world.request();
    world.runs[0]?.finishFrom(LAST_EVENT + 1);
    await world.pass(10);
    world.runs[1]?.finishFrom(0);
    await world.pass(10);
    expect([caller.ids(), caller.state()]).toEqual([ALL, 'whole']);
  });
});

/** What the inspection of a group's members tells of it. */

import { describe, expect, it } from 'vitest';

import { after, DARK, ENDED, MALFORMED, paused, startAsking } from './asked-members';
import type { Behaviour } from './asked-members';
import { fakeTime } from './fake-time';
import type { InstanceId } from '../../src/core/ids';
import { at } from './support';

type Asking = ReturnType<typeof startAsking>;

const GROUPS = [
  { group: 'g', size: 3, domain: 'd0' },
  { group: 'h', size: 3, domain: 'd1' },
];

describe('the log line of an inspection', () => {
  fakeTime();

  // Guards against a group that ended without a record of what its members did, seen from where.
  it('tells how each member answered, what this process did, and the age of the last event', async () => {
    const test = startAsking(GROUPS);
    const [, second, third] = test.membersOf('g');
    test.set([second], DARK);
    test.set([third], ENDED);
    const eventAt = at(Date.now() - 700);
    test.inspect('g', () => eventAt);
    await test.run(100);
    test.block(400);
    await test.run(1_500);
    const line = test.lines('members asked').at(-1);
    expect(line?.answers).toMatch(/^s1: \d+ms, s2: silent \d{3,}ms, s3: ended$/);
    expect(line?.eventAgeMs).toBeGreaterThanOrEqual(700);
    expect(line?.longestDelayMs).toBeGreaterThanOrEqual(300);
  });

  it('tells what servers of other domains did if no member answers', async () => {
    const test = startAsking(GROUPS);
    test.set(test.membersOf('g'), DARK);
    test.inspect('g');
    await test.run(4_000);
    expect(test.lines('members asked').at(-1)?.references).toMatch(/^s4: \d+ms, s5: \d+ms/);
  });

  it('names the outcome, which a metric counts', async () => {
    const test = startAsking(GROUPS);
    test.set(test.membersOf('g').slice(0, 1), ENDED);
    test.inspect('g');
    test.inspect('h');
    await test.run(2_000);
    expect(test.found.map(({ stall }) => stall.evidence)).toEqual(['ended']);
    const text = await test.ctx.metrics.render();
    for (const outcome of ['ended', 'answered'])
      expect(text).toContain(`nutmegstack_member_inspections_total{outcome="${outcome}"} 1`);
  });
});

describe('a group whose members all answer', () => {
  fakeTime();

  const stillSilent = async (eventAgeMs: number | undefined, set: (test: Asking) => void) => {
    const test = startAsking(GROUPS);
    set(test);
    const startedAt = Date.now();
    test.inspect('g', () => {
      if (eventAgeMs === undefined) return undefined;
      return at(Math.max(startedAt - 700, Date.now() - eventAgeMs));
    });
    await test.run(5_000);
    return test.stillSilent.map(({ group }) => group);
  };

  // Guards against a group with a lost member that nobody knows, which stays until it breaks.
  it('is still silent if it gives no event for a while after they did', async () => {
    expect(await stillSilent(undefined, () => undefined)).toEqual(['g']);
    expect(await stillSilent(10_000, () => undefined)).toEqual(['g']);
  });

  // Guards against the end of groups whose streams go on after a pause of all servers.
  it('is not once it gives events, or while not all of them answer', async () => {
    expect(await stillSilent(50, () => undefined)).toEqual([]);
    const afterPause = (test: Asking): void => {
      test.set(test.all(), paused(800));
    };
    expect(await stillSilent(1_200, afterPause)).toEqual([]);
    const withDark = (test: Asking): void => {
      test.set(test.membersOf('g').slice(0, 1), DARK);
    };
    expect(await stillSilent(undefined, withDark)).toEqual([]);
  });

  it('is not if no streams are left in it', async () => {
    const test = startAsking(GROUPS, { isBusy: false });
    test.inspect('g');
    await test.run(5_000);
    expect(test.stillSilent).toEqual([]);
  });
});

describe('a member whose report is malformed', () => {
  fakeTime();

  // Guards against a server that serves and is found lost for an odd value in its report.
  it('is there', async () => {
    const test = startAsking(GROUPS);
    test.set(test.membersOf('g').slice(0, 1), MALFORMED);
    test.inspect('g');
    await test.run(6_000);
    expect(test.found).toEqual([]);
    expect(test.lines('members asked').at(-1)?.outcome).toBe('answered');
  });

  it('was only silent if it answers so afterwards', async () => {
    const test = startAsking(GROUPS);
    const [second] = test.membersOf('g').slice(1);
    test.set([second], DARK);
    test.inspect('g');
    await test.run(2_000);
    expect(test.found).toHaveLength(1);
    test.set([second], MALFORMED);
    await test.run(2_000);
    expect(test.lines('lost server answers again')).toHaveLength(1);
  });
});

describe('an inspection', () => {
  fakeTime();

  // Guards against requests to servers of a zone that is evacuated while its groups are looked at.
  it('sends nothing more to a zone once it is evacuated', async () => {
    const test = startAsking(GROUPS);
    test.set(test.all(), DARK);
    test.inspect('g');
    await test.run(40);
    test.evacuated.add('a');
    const before = test.asked();
    await test.run(6_000);
    expect(test.asked()).toBe(before);
    expect(test.found).toEqual([]);
  });

  // Guards against a server that is asked for as long as the process runs.
  it('asks lost servers no more once this daemon does not lead', async () => {
    const test = startAsking(GROUPS);
    test.set(test.membersOf('g').slice(0, 1), ENDED);
    test.inspect('g');
    await test.run(3_000);
    expect(test.excluded.size).toBe(1);
    test.endLease();
    await test.run(1_500);
    const before = test.asked();
    await test.run(6_000);
    expect(test.asked()).toBe(before);
  });
});

describe('a member that was found silent and answers no question', () => {
  fakeTime();

  // Guards against the end of a sound group for a pause that was over long before, as its members paused again.
  it.each([
    { eventAfterMs: 600, isExcluded: false },
    // The event may be from before the finding.
    { eventAfterMs: 300, isExcluded: true },
  ])(
    'is excluded: $isExcluded if its group gives an event $eventAfterMs ms later',
    async (given) => {
      const test = startAsking(GROUPS);
      const [, member] = test.membersOf('g');
      test.set([member], DARK);
      let eventAt = at(Date.now());
      test.inspect('g', () => eventAt);
      await test.run(2_000);
      expect([...test.excluded.keys()]).toEqual([member]);
      eventAt = at((test.found[0]?.at ?? 0) + given.eventAfterMs);
      await test.run(1_500);
      expect(test.excluded.size).toBe(given.isExcluded ? 1 : 0);
    },
  );
});

describe('an idle group of which entries have expired', () => {
  fakeTime();
  const IDLE = { isBusy: false };

  it('loses a member that answers nothing either, and none that does', async () => {
    const test = startAsking(GROUPS, IDLE);
    const [, dark, cut] = test.membersOf('g');
    test.set([dark], DARK);
    test.lapse([dark, cut]);
    await test.run(1_000);
    expect([...test.excluded.keys()]).toEqual([dark]);
  });

  // Guards against the end of a group that is given streams while its members are looked at.
  it('loses none once it has streams, whose events decide', async () => {
    const test = startAsking(GROUPS, IDLE);
    const [, dark] = test.membersOf('g');
    test.set([dark], DARK);
    test.lapse([dark]);
    await test.run(200);
    test.beginStreams();
    await test.run(4_000);
    expect(test.found).toEqual([]);
  });

  // Guards against groups that end because all entries expired in a long pause.
  it('loses no member while no server answers', async () => {
    const test = startAsking(GROUPS, IDLE);
    test.set(test.all(), paused(2_000));
    test.lapse(test.all());
    await test.run(6_000);
    expect(test.found).toEqual([]);
  });
});

describe('a leader that is refused connections', () => {
  fakeTime();
  const GROUPS = ['g', 'h', 'i', 'j'].map((group, n) => ({ group, size: 8, domain: `d${n}` }));

  // Guards against the end of a sound group, and of its streams at all daemons, for a link of the leader alone.
  it('ends no group whose members a peer reaches', async () => {
    const test = startAsking(GROUPS);
    const [, second] = test.membersOf('g');
    test.set([second], ENDED);
    if (second !== undefined) test.throughPeers.add(second);
    test.inspect('g');
    await test.run(3_000);
    expect(test.lost()).toEqual([]);
  });

  it('ends no group while all servers refuse it', async () => {
    const test = startAsking(GROUPS);
    test.set(test.all(), ENDED);
    for (const { group } of GROUPS) test.inspect(group);
    await test.run(3_000);
    expect(test.lost()).toEqual([]);
  });
});

/** Answers over a link that is full: each some milliseconds after the one before. */
function queued(delayMs: number, gapMs: number): Behaviour {
  let last = 0;
  return (now) => (last = Math.max(now + delayMs, last + gapMs));
}

describe('an inspection over a link that is full', () => {
  fakeTime();
  const GROUPS = ['g', 'h', 'i', 'j'].map((group, n) => ({ group, size: 8, domain: `d${n}` }));
  const INSPECTED_S = 6.5;
  const SERVERS = 14;

  // Guards against a leader that fills its link further with requests for reports, one look after the other.
  it.each([
    { name: 'all 450 ms late', behaviour: () => after(450) },
    { name: 'all 600 ms late', behaviour: () => after(600) },
    { name: '600 ms late and 5 ms apart', behaviour: () => queued(600, 5) },
    { name: '600 ms late and 20 ms apart', behaviour: () => queued(600, 20) },
    { name: '1,200 ms late', behaviour: () => after(1_200) },
  ])('asks each server four times a second at most: answers $name', async ({ behaviour }) => {
    const test = startAsking(GROUPS);
    test.set(test.all(), behaviour());
    test.inspect('g');
    await test.run(INSPECTED_S * 1_000);
    expect(test.asked()).toBeLessThanOrEqual(SERVERS * 4 * INSPECTED_S);
    expect(test.lost()).toEqual([]);
  });
});

describe('a draining member that refuses connections', () => {
  fakeTime();

  const drain = (): { test: Asking; member: InstanceId } => {
    const test = startAsking(GROUPS);
    const member = test.membersOf('g')[1];
    if (member === undefined) throw new Error('no members');
    test.drain(member);
    test.set([member], ENDED);
    return { test, member };
  };

  // Guards against streams that wait for the engine's own limit where a server is taken away while it drains.
  it('is found lost within 0.6 s if its group gives no event', async () => {
    const { test } = drain();
    test.inspect('g');
    await test.run(600);
    expect(test.found.map(({ stall }) => [stall.group, stall.evidence])).toEqual([['g', 'silent']]);
  });

  // Guards against the end of a group whose member has stopped listening and stays until the work is done.
  it('is not lost while its group gives events', async () => {
    const { test } = drain();
    test.inspect('g', () => at(Date.now() - 100));
    await test.run(3_000);
    expect(test.lost()).toEqual([]);
  });
});

/**
 * Which silence of servers shows that they are lost. Guards against groups that are ended, and streams that
 * are moved, because servers or the observer stood still for a moment; and against losses that stay unseen.
 */

import { describe, expect, it } from 'vitest';

import type { GroupId, MonoTime } from '../../src/core/ids';
import { brandAs } from '../../src/core/ids';
import { after, DARK, ENDED, HEALTHY, paused, startAsking } from './asked-members';
import type { Behaviour } from './asked-members';
import { fakeTime } from './fake-time';

/** Two zones of two domains with two groups each. */
const FLEET = ['a', 'b'].flatMap((zone) =>
  ['0', '1'].flatMap((domain) =>
    ['0', '1'].map((n) => ({
      ...{ group: `${zone}${domain}${n}`, size: 8, domain: `${zone}${domain}`, zone },
    })),
  ),
);
const GROUP = 'a00';
const NAMES = FLEET.map(({ group }) => group);

type Asking = ReturnType<typeof startAsking>;

/** Daemons report the groups as silent time and again. */
async function inspectFor(test: Asking, groups: readonly string[], ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 100) {
    for (const group of groups) test.inspect(group);
    await test.run(100);
  }
}

function expectNothingFound({ found, excluded, lines }: Asking): void {
  expect(found).toEqual([]);
  expect([...excluded.keys()]).toEqual([]);
  expect(lines('members asked').map(({ outcome }) => outcome)).not.toContain('silent');
}

describe('members that answer late', () => {
  fakeTime();

  // Guards against ending sound groups while the leader's link is full of configurations.
  it.each([260, 400, 700, 1_200])(
    'are not lost if all answers take %i ms, as on a slow link',
    async (ms) => {
      const test = startAsking(FLEET);
      test.set(test.all(), after(ms));
      await inspectFor(test, NAMES, 3_000);
      expectNothingFound(test);
    },
  );

  it.each([
    { usual: 120, slow: 400 },
    { usual: 200, slow: 700 },
    { usual: 240, slow: 900 },
  ])(
    'are not lost if the answers of others take $usual ms and theirs $slow ms',
    async ({ usual, slow }) => {
      const test = startAsking(FLEET);
      test.set(test.all(), after(usual));
      for (const group of NAMES) test.set(test.membersOf(group).slice(5), after(slow));
      await inspectFor(test, NAMES, 3_000);
      expectNothingFound(test);
    },
  );

  it('are not lost if the answers of some servers elsewhere do not come either', async () => {
    const test = startAsking(FLEET);
    for (const group of NAMES) test.set(test.membersOf(group).slice(4), paused(1_200));
    await inspectFor(test, NAMES, 3_000);
    expectNothingFound(test);
  });

  // Guards against ending groups of servers that only this daemon does not reach.
  it.each([1, 8])('are not lost if peers reach them, %i of eight', async (count) => {
    const test = startAsking(FLEET);
    const cut = test.membersOf(GROUP).slice(0, count);
    test.set(cut, DARK);
    for (const id of cut) test.throughPeers.add(id);
    await inspectFor(test, [GROUP], 4_000);
    expectNothingFound(test);
  });

  // Guards against a time limit that passes while the process does not run.
  it.each([{ from: 10 }, { from: 50 }, { from: 100 }, { from: 200 }, { from: 300 }])(
    'are not lost if this process does not run for 300 ms after $from ms',
    async ({ from }) => {
      const test = startAsking(FLEET);
      test.set(test.all(), after(20));
      test.set(test.membersOf(GROUP).slice(2), after(120));
      for (const group of NAMES) test.inspect(group);
      await test.run(from);
      test.block(300);
      await test.run(3_000);
      expectNothingFound(test);
    },
  );
});

describe('a pause', () => {
  fakeTime();

  // Guards against a whole fleet that is formed anew, and weights loaded again, after a short pause.
  it.each([300, 400, 600, 800, 1_100, 1_500, 3_000])(
    'of all servers for %i ms ends no group',
    async (ms) => {
      const test = startAsking(FLEET);
      test.set(test.all(), paused(ms));
      await inspectFor(test, NAMES, ms + 3_000);
      expectNothingFound(test);
    },
  );

  it.each([300, 800, 1_500])('of a domain for %i ms ends none of its groups', async (ms) => {
    const test = startAsking(FLEET);
    test.set(test.inDomain('a0'), paused(ms));
    await inspectFor(test, ['a00', 'a01'], ms + 3_000);
    expectNothingFound(test);
  });

  it('of a zone for 1.5 s ends none of its groups', async () => {
    const test = startAsking(FLEET);
    test.set(test.inZone('a'), paused(1_500));
    await inspectFor(test, NAMES.slice(0, 4), 4_000);
    expectNothingFound(test);
  });

  // Guards against a group whose members come back one after another.
  it('of a domain that ends at different times on its servers ends none of its groups', async () => {
    const test = startAsking(FLEET);
    test.inDomain('a0').forEach((id, n) => {
      test.set([id], paused(800 + 15 * n));
    });
    await inspectFor(test, ['a00', 'a01'], 4_000);
    expectNothingFound(test);
  });

  it('of the only group of a fleet does not end it', async () => {
    const test = startAsking(FLEET.slice(0, 1));
    test.set(test.all(), paused(800));
    await inspectFor(test, [GROUP], 4_000);
    expectNothingFound(test);
  });
});

describe('a group that gives events', () => {
  fakeTime();

  // Guards against the end of a group whose streams go on at some daemon.
  it.each<[string, Behaviour, number]>([
    ['one of its members is silent', DARK, 1],
    ['all of its members are silent', DARK, 8],
  ])('is not lost although %s', async (_, behaviour, members) => {
    const test = startAsking(FLEET);
    test.set(test.membersOf(GROUP).slice(0, members), behaviour);
    const lastEventAt = (): MonoTime => brandAs<MonoTime>(Date.now() - 200);
    for (let passed = 0; passed < 4_000; passed += 100) {
      test.inspect(GROUP, lastEventAt);
      await test.run(100);
    }
    expectNothingFound(test);
  });
});

describe('a loss', () => {
  fakeTime();

  /** Lets the group be inspected until it is found lost; returns the time that this took. */
  const findAfter = async (test: Asking, group = GROUP): Promise<number> => {
    const startedAt = Date.now();
    await inspectFor(test, [group], 4_000);
    const first = test.found.find(({ stall }) => stall.group === brandAs<GroupId>(group));
    return first ? first.at - startedAt : Infinity;
  };

  // Guards against a dark server that is found only when its group breaks by itself.
  it.each([0, 3, 7])('of member %i of eight, which is dark, is found within 0.6 s', async (n) => {
    const test = startAsking(FLEET);
    const dark = test.membersOf(GROUP).slice(n, n + 1);
    test.set(dark, DARK);
    expect(await findAfter(test)).toBeLessThanOrEqual(600);
    expect([...test.excluded.keys()]).toEqual(dark);
    expect(test.found[0]?.stall.evidence).toBe('silent');
  });

  it('of a member whose port refuses is found at once', async () => {
    const test = startAsking(FLEET);
    const ended = test.membersOf(GROUP).slice(2, 3);
    test.set(ended, ENDED);
    expect(await findAfter(test)).toBeLessThanOrEqual(50);
    expect([...test.excluded.keys()]).toEqual(ended);
    expect(test.found[0]?.stall.evidence).toBe('ended');
  });

  it('of a member whose port refuses is found at once although nothing else answers', async () => {
    const test = startAsking(FLEET);
    test.set(test.all(), DARK);
    test.set(test.membersOf(GROUP).slice(2, 3), ENDED);
    expect(await findAfter(test)).toBeLessThanOrEqual(50);
  });

  it('of three of eight members, which are dark, is found after two seconds', async () => {
    const test = startAsking(FLEET);
    const dark = test.membersOf(GROUP).slice(2, 5);
    test.set(dark, DARK);
    const ms = await findAfter(test);
    expect([ms >= 2_000, ms <= 2_600]).toEqual([true, true]);
    expect([...test.excluded.keys()]).toEqual(dark);
  });

  it('of a domain for good is found after two seconds', async () => {
    const test = startAsking(FLEET);
    test.set(test.inDomain('a0'), DARK);
    await inspectFor(test, ['a00', 'a01'], 1_900);
    expectNothingFound(test);
    await inspectFor(test, ['a00', 'a01'], 900);
    expect(new Set(test.lost())).toEqual(new Set(['a00', 'a01']));
    expect(test.excluded.size).toBe(16);
  });

  it('of a zone for good is found within three seconds, all its groups together', async () => {
    const test = startAsking(FLEET);
    test.set(test.inZone('a'), DARK);
    const groups = NAMES.slice(0, 4);
    await inspectFor(test, groups, 3_000);
    expect(new Set(test.lost())).toEqual(new Set(groups));
    expect(test.excluded.size).toBe(32);
  });

  it('of a member is found in a fleet of one group', async () => {
    const test = startAsking(FLEET.slice(0, 1));
    test.set(test.membersOf(GROUP).slice(4, 5), DARK);
    expect(await findAfter(test)).toBeLessThanOrEqual(600);
  });

  it('of one of two groups of a domain, a fleet without another domain, is found', async () => {
    const test = startAsking(FLEET.slice(0, 2));
    test.set(test.membersOf(GROUP), DARK);
    const ms = await findAfter(test);
    expect([ms >= 2_000, ms <= 2_800]).toEqual([true, true]);
  });

  // Guards against losses elsewhere that hide each further one.
  it('of a member is found while another zone is dark', async () => {
    const test = startAsking(FLEET);
    test.set(test.inZone('b'), DARK);
    test.set(test.membersOf(GROUP).slice(1, 2), DARK);
    expect(await findAfter(test)).toBeLessThanOrEqual(600);
  });

  // Guards against a slow link, or a far region, that hides each loss.
  it.each([
    { ms: 60, limitMs: 600 },
    { ms: 200, limitMs: 1_800 },
    { ms: 400, limitMs: 3_500 },
  ])(
    'of a member is found within $limitMs ms if all answers take $ms ms',
    async ({ ms, limitMs }) => {
      const test = startAsking(FLEET);
      test.set(test.all(), after(ms));
      test.set(test.membersOf(GROUP).slice(1, 2), DARK);
      expect(await findAfter(test)).toBeLessThanOrEqual(limitMs);
    },
  );
});

describe('a server that was excluded for its silence', () => {
  fakeTime();

  // Guards against sound servers that stay unused for twenty seconds after a pause.
  it('is used again soon after it answers', async () => {
    const test = startAsking(FLEET);
    const [member] = test.membersOf(GROUP);
    test.set([member], DARK);
    await inspectFor(test, [GROUP], 1_000);
    expect(test.excluded.size).toBe(1);
    test.set([member], HEALTHY);
    await test.run(2_000);
    expect(test.excluded.size).toBe(0);
  });

  it('stays excluded, and is asked about once a second, while it does not answer', async () => {
    const test = startAsking(FLEET);
    test.set(test.membersOf(GROUP).slice(0, 1), DARK);
    await inspectFor(test, [GROUP], 1_000);
    const before = test.asked();
    await test.run(10_000);
    expect(test.excluded.size).toBe(1);
    expect(test.asked() - before).toBeGreaterThanOrEqual(5);
    expect(test.asked() - before).toBeLessThanOrEqual(15);
  });
});

describe('a dark member of a fleet in one zone', () => {
  fakeTime();

  // Guards against a loss that is not found because one of the few other domains is dark as well.
  it('is found within 0.6 s while another domain is dark', async () => {
    const test = startAsking(
      ['d0', 'd1', 'd2', 'd3'].map((domain, n) => ({ group: `g${n}`, size: 3, domain })),
    );
    test.set([test.membersOf('g0')[1]], DARK);
    test.set(test.inDomain('d1'), DARK);
    test.inspect('g0');
    await test.run(600);
    expect(test.lost()).toEqual(['g0']);
  });
});

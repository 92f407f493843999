/**
 * Slow members of groups. Guards against these failures: a group stays at the speed of one slow member beside a
 * fast spare; groups are interrupted where that gains nothing (a short period, a slow zone, a slow spare); too
 * many groups are interrupted at once; servers are asked for reports too often, or for nothing; a slow server
 * is preferred to a normal one, or is never used again.
 */

import { describe, expect, it } from 'vitest';

import { evaluateReports } from '../../src/core/gateway/forming/slow-reports';
import { brandAs } from '../../src/core/ids';
import type { GroupId } from '../../src/core/ids';
import { startPlannedFleet } from './planned-fleet';
import { instance, LARGE, makeServer, SMALL } from './support';

/** Each domain has a group of the large model, one of the small model, and two spares. */
const SERVERS_WITH_SPARES = 11;
const FOUR = Array.from({ length: 4 }, () => SERVERS_WITH_SPARES);
const EIGHT = [...FOUR, ...FOUR];

describe('a slow member of a group', () => {
  it.each([
    { domains: FOUR, slowGroups: 2, least: 3 },
    { domains: EIGHT, slowGroups: 4, least: 6 },
  ])(
    'is replaced by a spare in $slowGroups groups, one in four groups of the model at a time',
    async ({ domains, slowGroups, least }) => {
      const { fleet, run, setSlow, largeGroup, isServing } = await startPlannedFleet(domains);
      const members = Array.from({ length: slowGroups }, (_, n) => largeGroup(n)[n]);
      setSlow(members);
      expect(await run(15_000)).toBe(least);
      expect(members.filter((id) => id && isServing(id))).toEqual([]);
      // A group that had to load weights would need 16 s.
      expect([fleet.serving(LARGE), fleet.violations]).toEqual([domains.length, []]);
    },
  );

  it('does not get the spare that another group of its domain is given', async () => {
    const { fleet, run, setSlow, largeGroup, closed } = await startPlannedFleet([
      16, 16, 16, 16, 16, 16,
    ]);
    const groups = fleet.serving(LARGE);
    expect(groups).toBeGreaterThanOrEqual(8);
    const domainOf = (n: number) => fleet.servers.get(largeGroup(n)[0] ?? instance('none'))?.domain;
    const inDomain = Array.from({ length: groups }, (_, n) => n).filter(
      (n) => domainOf(n) === 'd0',
    );
    expect(inDomain).toHaveLength(2);
    setSlow(inDomain.map((n) => largeGroup(n)[2]));
    await run(10_000);
    expect(closed).toHaveLength(1);
  });

  it.each([
    { name: 'in a period shorter than the replacement', domains: FOUR, factor: 4, ms: 900 },
    { name: 'in a period too short for the gain', domains: FOUR, factor: 2, ms: 3_000 },
    { name: 'in a domain without a spare', domains: [9, 9, 9, 9], factor: 4, ms: 20_000 },
    { name: 'in one of three groups of its model', domains: [11, 11, 11], factor: 4, ms: 20_000 },
  ])('stays, and no report is requested, $name', async ({ domains, factor, ms }) => {
    const { run, setSlow, slow, largeGroup, reports, closed } = await startPlannedFleet(domains);
    setSlow([largeGroup(0)[2]], factor);
    await run(ms);
    slow.clear();
    await run(3_000);
    expect([reports, closed]).toEqual([[], []]);
  });

  it('stays while the spares are slow as well', async () => {
    const { run, setSlow, spares, largeGroup, slow, closed, isServing } =
      await startPlannedFleet(FOUR);
    const member = largeGroup(0)[2];
    setSlow([member, ...spares('d0')]);
    await run(10_000);
    expect(closed).toEqual([]);
    for (const id of spares('d0')) slow.delete(id);
    await run(6_000);
    expect(member && isServing(member)).toBe(false);
  });

  it.each([
    { name: 'in a group that is slow as a whole', factor: () => 4 },
    {
      name: 'in a group whose members are slow to different degrees',
      factor: (n: number) => 3 + n,
    },
  ])('stays $name', async ({ factor }) => {
    const { run, setSlow, spares, largeGroup, closed } = await startPlannedFleet(FOUR);
    [...largeGroup(0), ...spares('d0')].forEach((id, n) => {
      setSlow([id], factor(n % 4));
    });
    await run(15_000);
    expect(closed).toEqual([]);
  });

  it('stays in a zone that is slow as a whole, and no report is requested', async () => {
    const { fleet, run, setSlow, reports, closed } = await startPlannedFleet(FOUR);
    setSlow([...fleet.servers.keys()]);
    await run(15_000);
    expect([reports, closed]).toEqual([[], []]);
  });
});

describe('a group that seems slow', () => {
  // Guards against replacing members because this daemon, or all servers, stood still for a moment.
  it('stays while its members answer nothing, or report normal speed', async () => {
    const { run, measured, largeGroup, closed, pauseAll, reports } = await startPlannedFleet(FOUR);
    const [head] = largeGroup(0);
    if (head === undefined) throw new Error('no group');
    measured.set(head, 4);
    pauseAll(3_000);
    await run(10_000);
    expect(reports.length).toBeGreaterThan(0);
    expect(closed).toEqual([]);
  });
});

describe('reports of members', () => {
  it('are requested every two seconds at most if no member is slow', async () => {
    const { run, measured, largeGroup, reports } = await startPlannedFleet(FOUR);
    const head = largeGroup(0)[0];
    if (!head) throw new Error('no group');
    // The factor of the group is high for another reason than a slow member.
    measured.set(head, 4);
    await run(10_000);
    const times = reports.filter(({ server }) => server === head).map(({ at: time }) => time);
    expect(times.length).toBeGreaterThan(1);
    const gaps = times.slice(1).map((time, i) => time - (times[i] ?? 0));
    expect(Math.min(...gaps)).toBeGreaterThanOrEqual(2_000);
  });
});

describe('a replaced slow server', () => {
  const startReplaced = async () => {
    const test = await startPlannedFleet([10, 10, 10, 10]);
    const group = test.largeGroup(0);
    const [member] = group.slice(2);
    if (member === undefined) throw new Error('no group');
    test.setSlow([member]);
    await test.run(10_000);
    expect(test.isServing(member)).toBe(false);
    return { ...test, member, domain: test.fleet.servers.get(member)?.domain ?? '' };
  };

  it('forms a group if nothing else is there, and is replaced once there is', async () => {
    const { fleet, planner, run, largeGroup, isServing, member, domain } = await startReplaced();
    const other = largeGroup(0).find((id) => fleet.servers.get(id)?.domain === domain);
    const membership = other && fleet.rows().get(other)?.membership;
    if (!membership) throw new Error('no group');
    fleet.kill(other);
    planner.inspect({ group: membership.group, head: other });
    await run(8_000);
    expect([fleet.serving(LARGE), isServing(member)]).toEqual([4, true]);
    fleet.add(domain);
    await run(40_000);
    expect([fleet.serving(LARGE), isServing(member)]).toEqual([4, false]);
  });

  it('is not picked for a lost member while it stays slow and there is another spare', async () => {
    const { fleet, planner, run, largeGroup, setSlow, isServing } = await startPlannedFleet(FOUR);
    const [member, , , other] = largeGroup(0);
    const membership = other && fleet.rows().get(other)?.membership;
    if (!member || !membership) throw new Error('no group');
    setSlow([member]);
    await run(20_000);
    const { group = membership.group } = fleet.rows().get(other)?.membership ?? {};
    fleet.kill(other);
    planner.inspect({ group, head: other });
    await run(4_000);
    expect([fleet.serving(LARGE), isServing(member)]).toEqual([4, false]);
  });

  it('returns to normal use once a report shows normal speed', async () => {
    const { fleet, run, largeGroup, setSlow, slow, isServing, member, domain } =
      await startReplaced();
    slow.delete(member);
    await run(2_500);
    const next = largeGroup(0).find((id) => fleet.servers.get(id)?.domain === domain);
    setSlow([next]);
    await run(10_000);
    expect([isServing(member), next && isServing(next)]).toEqual([true, false]);
  });

  it('does not keep its group from ending under a new leader', async () => {
    const { fleet, run, setSlow, largeGroup, closed, replaceLeader } =
      await startPlannedFleet(FOUR);
    setSlow([largeGroup(0)[2]]);
    while (closed.length === 0 && fleet.now() < 30_000) await run(50);
    expect(closed).toHaveLength(1);
    replaceLeader();
    await run(10_000);
    expect([fleet.serving(LARGE), fleet.violations]).toEqual([4, []]);
  });

  it('is not known to a new leader', async () => {
    const { run, reports, replaceLeader } = await startReplaced();
    replaceLeader();
    const before = reports.length;
    await run(10_000);
    expect(reports.length).toBe(before);
  });
});

describe('reports of a group of two', () => {
  const check = {
    ...{ group: brandAs<GroupId>('g'), model: SMALL, slowdown: 4, slowForMs: 1_500 },
    members: [makeServer('m0'), makeServer('m1')],
    spares: [{ server: makeServer('s0'), joinMs: 200 }],
  };

  it.each([
    { m0: 1, m1: 4, s0: 1, outcome: 'replace' },
    { m0: 1.2, m1: 1.4, s0: 1, outcome: 'no-slow-member' },
    { m0: 4, m1: 4, s0: 1, outcome: 'no-slow-member' },
    { m0: 1, m1: 4, s0: 3, outcome: 'no-fast-spare' },
    { m0: 1, m1: 4, outcome: 'no-fast-spare' },
    { m0: 1, m1: 1.6, s0: 1, outcome: 'not-worthwhile' },
    { m0: 1, s0: 1, outcome: 'no-answer' },
  ])('lead to the outcome $outcome for $m0, $m1 and a spare of $s0', ({ outcome, ...reported }) => {
    const answers = Object.entries(reported).flatMap(([id, factor]) =>
      typeof factor === 'number' ? [[instance(id), factor] as const] : [],
    );
    expect(evaluateReports(check, new Map(answers)).outcome).toBe(outcome);
  });
});

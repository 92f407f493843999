import { describe, expect, it } from 'vitest';

import { createRandom } from '../../src/adapters/runtime';
import { createEngineFleet } from '../../stand-ins/users-platform/engines';
import { createLeader } from './leader';
import { FLEET, instance, LARGE, SMALL } from './support';

function headOf(fleet: ReturnType<typeof createEngineFleet>, model: string) {
  const found = [...fleet.servers.values()].find(
    ({ joined, id }) =>
      joined?.state === 'open' && joined.model === model && joined.members[0] === id,
  );
  if (!found) throw new Error(`no group of ${model} serves`);
  return found;
}

describe('groups of a domain', () => {
  it('are formed of all models, with spares left over', () => {
    const fleet = createEngineFleet({ ...FLEET, domains: [11], hasTraffic: false });
    createLeader(fleet).run(8_000);
    expect([fleet.serving(LARGE), fleet.serving(SMALL)]).toEqual([1, 1]);
    expect(fleet.violations).toEqual([]);
  });

  it('share the models evenly over domains', () => {
    const fleet = createEngineFleet({ ...FLEET, domains: [11, 11, 11], hasTraffic: false });
    createLeader(fleet).run(15_000);
    expect([fleet.serving(LARGE), fleet.serving(SMALL)]).toEqual([3, 3]);
  });

  it('wait for further servers before they take a model that lacks groups less', () => {
    const fleet = createEngineFleet({ ...FLEET, domains: [3], hasTraffic: false });
    const leader = createLeader(fleet);
    leader.run(500);
    expect(leader.state().formations.size).toBe(0);
    for (let i = 0; i < 8; i++) fleet.add('d0');
    leader.run(6_000);
    expect([fleet.serving(LARGE), fleet.serving(SMALL)]).toEqual([1, 1]);
  });
});

describe('a lost member', () => {
  it.each([LARGE, SMALL])('of %s is replaced by a warm spare within a second', (model) => {
    const fleet = createEngineFleet({ ...FLEET, domains: [11], hasTraffic: false });
    const leader = createLeader(fleet);
    leader.run(15_000);
    const loads = fleet.loads();
    const member = headOf(fleet, model).joined?.members[1] ?? instance('none');
    fleet.kill(member);
    leader.run(600);
    expect(fleet.serving(model)).toBe(0);
    leader.run(1_000);
    expect(fleet.serving(model)).toBe(1);
    expect(fleet.loads()).toBe(loads);
    expect(fleet.violations).toEqual([]);
  });

  it('that is the head frees the others only once it must be broken', () => {
    const fleet = createEngineFleet({ ...FLEET, domains: [11], hasTraffic: false });
    const leader = createLeader(fleet);
    leader.run(15_000);
    const head = headOf(fleet, LARGE);
    fleet.cut(head.id, true);
    fleet.kill(head.joined?.members[1] ?? instance('none'));
    leader.run(5_000);
    expect(fleet.serving(LARGE)).toBe(0);
    leader.run(6_000);
    expect(fleet.serving(LARGE)).toBe(1);
    expect(fleet.violations).toEqual([]);
  });
});

describe('a server that starts again under its name', () => {
  it.each([LARGE, SMALL])('is no member of its group of %s any more', (model) => {
    const fleet = createEngineFleet({ ...FLEET, domains: [11], hasTraffic: false });
    const leader = createLeader(fleet);
    leader.run(15_000);
    fleet.restart(headOf(fleet, model).joined?.members[1] ?? instance('none'));
    leader.run(1_500);
    expect(fleet.serving(model)).toBe(1);
    expect(fleet.violations).toEqual([]);
  });

  it('as the head of a group sets the members free at once', () => {
    const fleet = createEngineFleet({ ...FLEET, domains: [11], hasTraffic: false });
    const leader = createLeader(fleet);
    leader.run(15_000);
    fleet.restart(headOf(fleet, LARGE).id);
    leader.run(1_500);
    expect(fleet.serving(LARGE)).toBe(1);
    expect(fleet.violations).toEqual([]);
  });
});

describe('a spare', () => {
  it('stays warm for its model when another one is lost', () => {
    const fleet = createEngineFleet({ ...FLEET, domains: [11], hasTraffic: true });
    const leader = createLeader(fleet, { hasTraffic: true });
    leader.run(90_000);
    const { servers } = fleet;
    const spares = [...servers.values()].filter(({ joined }) => joined?.members.length === 1);
    expect(spares).toHaveLength(2);
    const loads = fleet.loads();
    fleet.kill(spares[0]?.id ?? instance('none'));
    leader.run(20_000);
    expect(fleet.loads()).toBe(loads);
  });
});

describe('a new leader', () => {
  it('adopts the groups that serve, without an order to them', () => {
    const fleet = createEngineFleet({ ...FLEET, domains: [9], hasTraffic: false });
    const leader = createLeader(fleet);
    leader.run(10_000);
    const orders = leader.orders();
    leader.replace();
    leader.run(5_000);
    expect([fleet.serving(LARGE), fleet.serving(SMALL)]).toEqual([1, 1]);
    expect(leader.orders()).toBe(orders);
  });

  it('opens a group that its predecessor left whole', () => {
    const fleet = createEngineFleet({ ...FLEET, domains: [6], hasTraffic: false });
    const leader = createLeader(fleet);
    leader.run(1_750);
    expect(fleet.serving(LARGE)).toBe(0);
    leader.replace();
    leader.run(1_500);
    expect(fleet.serving(LARGE)).toBe(1);
    expect(fleet.violations).toEqual([]);
  });
});

describe('a member that leaves by plan', () => {
  it('is replaced after the requests in flight', () => {
    const fleet = createEngineFleet({ ...FLEET, domains: [11], hasTraffic: false });
    const leader = createLeader(fleet);
    leader.run(15_000);
    fleet.drain(headOf(fleet, SMALL).joined?.members[2] ?? instance('none'));
    leader.run(2_000);
    expect(fleet.serving(SMALL)).toBe(1);
    expect(fleet.violations).toEqual([]);
  });
});

describe('a model without enough groups', () => {
  it('is formed again with the servers kept for losses, before others are loaded anew', () => {
    const fleet = createEngineFleet({ ...FLEET, domains: [26], hasTraffic: true });
    const demand = new Map([
      [LARGE, 2],
      [SMALL, 0.5],
    ]);
    const leader = createLeader(fleet, { hasTraffic: true, demand });
    leader.run(120_000);
    const before = fleet.serving(LARGE);
    const loads = fleet.loads();
    const members = headOf(fleet, LARGE).joined?.members ?? [];
    for (const id of members.slice(1, 3)) fleet.kill(id);
    leader.run(12_000);
    expect(fleet.serving(LARGE)).toBe(before);
    expect(fleet.loads() - loads).toBeLessThanOrEqual(2);
    expect(fleet.violations).toEqual([]);
  });

  it('has its published part of the work where nothing shows that it is asked for', () => {
    const fleet = createEngineFleet({ ...FLEET, domains: [11], hasTraffic: true });
    const demand = new Map([[SMALL, 0.5]]);
    createLeader(fleet, { hasTraffic: true, demand }).run(60_000);
    expect([fleet.serving(LARGE), fleet.serving(SMALL)]).toEqual([1, 1]);
  });
});

describe('a model that has lost all its groups', () => {
  const demand = new Map([
    [LARGE, 0.5],
    [SMALL, 3],
  ]);

  function startServing(domains: readonly number[]) {
    const fleet = createEngineFleet({ ...FLEET, domains, hasTraffic: false });
    const leader = createLeader(fleet, { hasTraffic: false, demand });
    leader.run(15_000);
    leader.beginTraffic();
    return { fleet, leader };
  }

  it('gets the servers of a group of another model, where what is free does not suffice', () => {
    const { fleet, leader } = startServing([12]);
    const members = headOf(fleet, LARGE).joined?.members ?? [];
    for (const id of members.slice(1, 4)) fleet.kill(id);
    leader.run(60_000);
    expect(fleet.serving(LARGE)).toBe(1);
    expect(fleet.serving(SMALL)).toBeGreaterThanOrEqual(1);
    expect(fleet.violations).toEqual([]);
  });

  it('takes none from a model that would then have none', () => {
    const { fleet, leader } = startServing([10]);
    const members = headOf(fleet, LARGE).joined?.members ?? [];
    for (const id of members.slice(1, 3)) fleet.kill(id);
    leader.run(60_000);
    expect(fleet.serving(SMALL)).toBeGreaterThanOrEqual(1);
    expect(fleet.violations).toEqual([]);
  });

  it('takes none where the servers kept for losses suffice', () => {
    const { fleet, leader } = startServing([13]);
    const before = fleet.serving(SMALL);
    const members = headOf(fleet, LARGE).joined?.members ?? [];
    fleet.kill(members[2] ?? instance('none'));
    leader.run(3_000);
    expect(fleet.serving(LARGE)).toBe(1);
    expect(fleet.serving(SMALL)).toBe(before);
    expect(fleet.violations).toEqual([]);
  });
});

describe('a model whose groups are nearly full', () => {
  it('is given back its group without a load, by a model with groups to spare', () => {
    const fleet = createEngineFleet({ ...FLEET, domains: [12], hasTraffic: false });
    const demand = new Map([
      [LARGE, 0.85],
      [SMALL, 0.7],
    ]);
    const leader = createLeader(fleet, { demand });
    leader.run(15_000);
    leader.beginTraffic();
    fleet.beginTraffic();
    leader.run(40_000);
    expect([fleet.serving(LARGE), fleet.serving(SMALL)]).toEqual([1, 2]);
    fleet.kill(headOf(fleet, LARGE).joined?.members[1] ?? instance('none'));
    leader.run(5_000);
    expect([fleet.serving(LARGE), fleet.serving(SMALL)]).toEqual([1, 1]);
    expect(fleet.violations).toEqual([]);
  });
});

describe('the survivors of a large group', () => {
  it('wait for one more server, as long as no smaller group is needed', () => {
    const fleet = createEngineFleet({ ...FLEET, domains: [9], hasTraffic: false });
    const demand = new Map([
      [LARGE, 1.9],
      [SMALL, 1.75],
    ]);
    const leader = createLeader(fleet, { demand });
    for (let i = 0; i < 9; i++) fleet.add('d1');
    leader.run(15_000);
    leader.beginTraffic();
    fleet.beginTraffic();
    expect(fleet.serving(LARGE)).toBe(2);
    fleet.kill(headOf(fleet, LARGE).joined?.members[1] ?? instance('none'));
    leader.run(6_000);
    fleet.add('d0');
    fleet.add('d1');
    leader.run(24_000);
    expect(fleet.serving(LARGE)).toBe(2);
    expect(fleet.violations).toEqual([]);
  });
});

describe('members lost every few seconds, and as many servers added', () => {
  /** Share of the time in which the large model had as many groups as its work fills, over some seeds. */
  function shareServed(seed: number): number {
    const random = createRandom(seed);
    const fleet = createEngineFleet({ ...FLEET, domains: [11, 11, 11], hasTraffic: false });
    const demand = new Map([
      [LARGE, 2],
      [SMALL, 1.5],
    ]);
    const leader = createLeader(fleet, { demand });
    leader.run(15_000);
    leader.beginTraffic();
    fleet.beginTraffic();
    let served = 0;
    for (let second = 0; second < 90; second++) {
      if (second % 5 === 0) {
        const alive = [...fleet.servers.values()].filter((each) => each.isAlive);
        const joined = alive.filter((each) => (each.joined?.members.length ?? 0) > 1);
        const victim = joined[Math.floor(random.next() * joined.length)];
        if (victim) fleet.kill(victim.id);
      }
      if (second % 5 === 2) fleet.add(`d${Math.floor(random.next() * 3)}`);
      leader.run(1_000);
      if (fleet.serving(LARGE) >= 2) served += 1;
    }
    expect(fleet.violations).toEqual([]);
    return served / 90;
  }

  it('leave the large model the groups that its work fills', () => {
    const shares = [1, 2, 3, 4].map(shareServed);
    expect(shares.reduce((sum, share) => sum + share, 0) / shares.length).toBeGreaterThan(0.8);
  });
});

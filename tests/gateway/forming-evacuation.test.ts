import { describe, expect, it } from 'vitest';

import { createEngineFleet } from '../../stand-ins/users-platform/engines';
import type { EngineFleet } from '../../stand-ins/users-platform/engines';
import { brandAs } from '../../src/core/ids';
import type { ServerName } from '../../src/core/ids';
import { createLeader } from './leader';
import { FLEET, instance, LARGE, SMALL } from './support';

const zoneOf = (domain: number): string => `zone-${domain}`;

/** Groups of each server of a domain, with their states. */
function membershipsIn(fleet: EngineFleet, domain: string) {
  return [...fleet.servers.values()]
    .filter((server) => server.domain === domain)
    .map(({ id, joined, staged }) => [id, joined?.group, joined?.state, staged]);
}

/** Groups of a domain, without warm spares. */
function groupsIn(fleet: EngineFleet, domain: string): string[] {
  const groups = [...fleet.servers.values()].flatMap(({ domain: own, joined }) =>
    own === domain && joined?.group.startsWith('group-') ? [joined.group] : [],
  );
  return [...new Set(groups)];
}

describe('groups in an evacuated zone', () => {
  // Guards against groups of the zone that are ended, prepared or opened, and against orders to it.
  it('stay as they are, also with a leaving member, and serve on after the evacuation', () => {
    const fleet = createEngineFleet({ ...FLEET, domains: [11, 11], zoneOf, hasTraffic: false });
    const leader = createLeader(fleet);
    leader.run(30_000);
    const before = membershipsIn(fleet, 'd0');
    leader.evacuate('zone-0');
    const [member] = fleet.named(brandAs<ServerName>('s000'))?.joined?.members ?? [];
    fleet.drain(member ?? instance('none'));
    leader.run(10_000);
    leader.replace();
    leader.run(10_000);
    expect(leader.misdirected()).toBe(0);
    expect(membershipsIn(fleet, 'd0')).toEqual(before);
    leader.evacuate();
    leader.run(5_000);
    expect([fleet.serving(LARGE), fleet.serving(SMALL)]).toEqual([2, 2]);
    expect(fleet.violations).toEqual([]);
  });

  it('that are being formed get no more orders, and open after the evacuation', () => {
    const fleet = createEngineFleet({ ...FLEET, domains: [11, 11], zoneOf, hasTraffic: false });
    const leader = createLeader(fleet);
    leader.run(1_200);
    expect(leader.state().formations.size).toBeGreaterThan(0);
    leader.evacuate('zone-0');
    leader.run(20_000);
    expect(leader.misdirected()).toBe(0);
    expect([fleet.serving(LARGE), fleet.serving(SMALL)]).toEqual([1, 1]);
    const loading = groupsIn(fleet, 'd0');
    leader.evacuate();
    leader.run(3_000);
    expect([fleet.serving(LARGE), fleet.serving(SMALL)]).toEqual([2, 2]);
    expect(groupsIn(fleet, 'd0')).toEqual(expect.arrayContaining(loading));
    expect(fleet.violations).toEqual([]);
  });

  it('that are being ended get no more orders until the evacuation ends', () => {
    const fleet = createEngineFleet({ ...FLEET, domains: [11, 11], zoneOf, hasTraffic: false });
    const leader = createLeader(fleet, { lateMs: () => 60_000 });
    leader.run(30_000);
    const [member] = fleet.named(brandAs<ServerName>('s000'))?.joined?.members ?? [];
    fleet.setLate(true);
    fleet.drain(member ?? instance('none'));
    leader.run(100);
    expect(leader.state().retirements.size).toBe(1);
    leader.evacuate('zone-0');
    leader.run(10_000);
    expect(leader.misdirected()).toBe(0);
    fleet.setLate(false);
    leader.evacuate();
    leader.run(5_000);
    expect([fleet.serving(LARGE), fleet.serving(SMALL)]).toEqual([2, 2]);
    expect(fleet.violations).toEqual([]);
  });

  // Guards against a model that counts groups which get no requests, and so gets no others.
  it('do not count for their model, which gets a group elsewhere', () => {
    const models = FLEET.engine.models.filter(({ name }) => name === SMALL);
    const engine = { ...FLEET.engine, models };
    const fleet = createEngineFleet({
      ...FLEET,
      engine,
      domains: [4, 3],
      zoneOf,
      hasTraffic: true,
    });
    const offeredLoad = new Map([[SMALL, 0.5]]);
    const leader = createLeader(fleet, { engine, offeredLoad, hasTraffic: true });
    leader.run(40_000);
    expect([groupsIn(fleet, 'd0').length, groupsIn(fleet, 'd1').length]).toEqual([1, 0]);
    leader.evacuate('zone-0');
    leader.run(20_000);
    expect([groupsIn(fleet, 'd0').length, groupsIn(fleet, 'd1').length]).toEqual([1, 1]);
    expect(leader.misdirected()).toBe(0);
  });
});

import { describe, expect, it } from 'vitest';

import { addSample, estimateDemand } from '../../src/core/gateway/forming/demand';
import type { DemandHistory } from '../../src/core/gateway/forming/demand';
import type { FormingMechanism } from '../../src/core/gateway/forming/settings';
import {
  expectedShortfall,
  isWorthMaking,
  judgeChange,
} from '../../src/core/gateway/forming/worth';
import type { EngineSpec } from '../../src/core/gateway/types';
import { createEngineFleet } from '../../stand-ins/users-platform/engines';
import { createLeader } from './leader';
import { createCallers, wave } from './model-callers';
import type { LoadCurve } from './model-callers';
import { at, ENGINE, FLEET, LARGE, SMALL } from './support';

function engineOf(large: number, small: number): EngineSpec {
  const [first, second] = ENGINE.models;
  const models = [
    ...(first ? [{ ...first, size: large, share: 0.5 }] : []),
    ...(second ? [{ ...second, size: small, share: 0.5 }] : []),
  ];
  return { ...ENGINE, batchSize: 14, loadsPerS: 13, loadsAtOnce: 20, models };
}

interface Scenario {
  readonly engine: EngineSpec;
  readonly domains: readonly number[];
  readonly large: LoadCurve;
  readonly small: LoadCurve;
  readonly disabledMechanisms?: readonly FormingMechanism[];
}

/** A fleet whose groups are formed and whose callers begin at 40 s. */
function startServing({ engine, domains, large, small, disabledMechanisms = [] }: Scenario) {
  const fleet = createEngineFleet({ ...FLEET, engine, domains, hasTraffic: false });
  const curves = new Map([
    [LARGE, large],
    [SMALL, small],
  ]);
  const callers = createCallers(fleet, engine, curves);
  const { measure } = callers;
  const leader = createLeader(fleet, { engine, measure, disabledMechanisms });
  leader.run(40_000);
  leader.beginTraffic();
  fleet.beginTraffic();
  callers.reset();
  const groups = () => [fleet.serving(LARGE), fleet.serving(SMALL)];
  const changes = () =>
    [...leader.state().reassignments.values()].filter(({ step }) => step !== 'dropped').length;
  return { fleet, leader, callers, groups, changes };
}

const domainsOf = (count: number, servers: number) => Array.from({ length: count }, () => servers);
const WAVE: Scenario = {
  engine: engineOf(8, 2),
  domains: domainsOf(3, 18),
  large: wave(1.1),
  small: wave(0.5, 0.2),
};

describe('callers of a model that are refused while groups of another one have room', () => {
  // The rules of `rebalance.ts` miss the peaks of a wave and any change that needs a weight load.
  it.each([
    { name: '3 domains of 18, sizes 8 and 2, a wave', ...WAVE, gain: 0.1 },
    {
      name: '9 domains of 18, sizes 8 and 2, a wave',
      ...WAVE,
      domains: domainsOf(9, 18),
      gain: 0.1,
    },
    {
      name: '6 domains of 27, sizes 12 and 6',
      ...WAVE,
      engine: engineOf(12, 6),
      domains: domainsOf(6, 27),
      large: () => 1.2,
      small: () => 0.5,
      gain: 0.1,
    },
    {
      name: '3 domains of 18, sizes 6 and 3',
      ...WAVE,
      engine: engineOf(6, 3),
      large: () => 1.6,
      small: () => 0.5,
      gain: 0.1,
    },
  ])('are served more: $name', ({ gain, ...scenario }) => {
    const play = (disabledMechanisms: readonly FormingMechanism[]) => {
      const { leader, fleet, callers } = startServing({ ...scenario, disabledMechanisms });
      leader.run(60_000);
      callers.reset();
      leader.run(60_000);
      expect(fleet.violations).toEqual([]);
      return { large: callers.share(LARGE), small: callers.share(SMALL) };
    };
    const before = play(['worth']);
    const after = play([]);
    expect(after.large).toBeGreaterThan(before.large + gain);
    expect(after.small).toBeGreaterThan(0.95);
  });
});

describe('groups', () => {
  // A change at each peak and back at each trough would stop both models' callers for seconds each time.
  it.each([
    { name: 'a wave', ...WAVE, domains: domainsOf(9, 18), large: wave(1.3), small: wave(0.7) },
    { name: 'constant load above capacity', ...WAVE, large: () => 1.4, small: () => 1.1 },
  ])('change their model only until the best plan is reached, under $name', (scenario) => {
    const { leader, fleet, groups, changes } = startServing(scenario);
    leader.run(90_000);
    const [before, loads] = [groups(), fleet.loads()];
    for (let second = 0; second < 120; second += 10) {
      leader.run(10_000);
      expect(groups()).toEqual(before);
    }
    expect([changes(), fleet.loads() - loads]).toEqual([0, 0]);
  });

  // A change for a load that is over before the new group serves costs callers and gains nothing.
  it.each([
    { lastsS: 4, isChanged: false },
    { lastsS: 1_000, isChanged: true },
  ])('change their model for a burst of $lastsS s: $isChanged', ({ lastsS, isChanged }) => {
    const burst: LoadCurve = (second) => (second > 80 && second < 80 + lastsS ? 2.5 : 0.6);
    const { leader, groups } = startServing({ ...WAVE, large: burst, small: () => 0.9 });
    const [before = 0] = groups();
    leader.run(100_000);
    expect(groups()[0] !== before).toBe(isChanged);
  });

  // Demand must not alter a plan that serves all callers.
  it('are those without the demand while every model has room at its peak', () => {
    const play = (disabledMechanisms: readonly FormingMechanism[]) => {
      const scenario = { ...WAVE, large: wave(0.6), small: wave(0.6), disabledMechanisms };
      const { leader, fleet, groups } = startServing(scenario);
      const victim = [...fleet.servers.values()].find(({ joined }) => joined?.model === LARGE);
      leader.run(20_000);
      if (victim) fleet.kill(victim.id);
      leader.run(60_000);
      return [...groups(), leader.orders(), fleet.loads()];
    };
    expect(play([])).toEqual(play(['worth']));
  });

  // Members lost in several domains at once leave a large model fewer groups than its load needs.
  it('of a model that lost half of its own are replaced at the cost of another model', () => {
    const scenario = { ...WAVE, domains: domainsOf(6, 18), large: () => 0.95, small: () => 0.5 };
    const { leader, fleet, groups, callers } = startServing(scenario);
    const [before = 0] = groups();
    leader.run(20_000);
    const heads = [...fleet.servers.values()].filter(
      ({ joined, id }) =>
        joined?.model === LARGE && joined.state === 'open' && joined.members[0] === id,
    );
    for (const { joined } of heads.slice(0, Math.ceil(before / 2)))
      for (const id of joined?.members.slice(0, 7) ?? []) fleet.kill(id);
    leader.run(60_000);
    callers.reset();
    leader.run(20_000);
    expect(callers.share(LARGE)).toBeGreaterThan(0.95);
    expect(callers.share(SMALL)).toBeGreaterThan(0.95);
    expect(fleet.violations).toEqual([]);
  });

  // A new leader knows neither the change nor the demand, and finds closing groups and free servers.
  it('are formed again after the leader is lost during a change', () => {
    const { leader, fleet, callers } = startServing(WAVE);
    const isEnding = () =>
      [...leader.state().reassignments.values()].some(({ step }) => step === 'ending');
    for (let ms = 0; ms < 60_000 && !isEnding(); ms += 50) leader.run(50);
    expect(isEnding()).toBe(true);
    leader.replace();
    leader.run(60_000);
    callers.reset();
    leader.run(40_000);
    expect(callers.share(LARGE)).toBeGreaterThan(0.85);
    expect(callers.share(SMALL)).toBeGreaterThan(0.95);
    expect(fleet.violations).toEqual([]);
  });
});

describe('the worth of a change', () => {
  const MODELS = engineOf(8, 2).models;
  const supplyOf = (large: number, small: number, urgency?: number) => ({
    models: MODELS,
    groups: new Map([
      [LARGE, 4],
      [SMALL, 20],
    ]),
    demand: new Map([
      [
        LARGE,
        { load: large, peakLoad: large, unserved: 1, ...(urgency !== undefined && { urgency }) },
      ],
      [SMALL, { load: small, peakLoad: small, unserved: 1, urgency: 1 }],
    ]),
  });
  const CHANGE = {
    ...{ model: LARGE, gained: 1, lost: new Map([[SMALL, 4]]) },
    ...{ prepareMs: 0, pauseMs: 4_000, riskedGroups: 0 },
  };

  it.each([
    { name: 'the other model has room', supply: supplyOf(4.8, 10), is: true },
    { name: 'the other model is full as well', supply: supplyOf(4.4, 20), is: false },
    {
      name: 'the other model is full, but this one is served far less',
      supply: supplyOf(12, 17),
      is: true,
    },
    {
      name: 'the loads take as long as the change lasts',
      supply: supplyOf(4.8, 10),
      change: { prepareMs: 58_000 },
      is: false,
    },
    {
      name: 'neither serves for most of the time',
      supply: supplyOf(4.8, 18),
      change: { pauseMs: 55_000 },
      is: false,
    },
    {
      name: 'spares are used up that are needed as often',
      supply: supplyOf(4.8, 10),
      change: { riskedGroups: 1 },
      is: false,
    },
  ])('suffices: $is if $name', ({ supply, change = {}, is }) => {
    const judged = { ...CHANGE, ...change };
    expect(isWorthMaking(judgeChange(supply, judged, 60_000))).toBe(is);
  });

  it('is greater for callers who are more urgent', () => {
    const net = (urgency: number) => judgeChange(supplyOf(5, 17, urgency), CHANGE, 60_000).net;
    expect(net(0)).toBeGreaterThan(net(1));
    expect(net(1)).toBeGreaterThan(net(2));
  });

  it('rests on the mean shortfall of a wave', () => {
    const steps = Array.from(
      { length: 10_000 },
      (_, i) => 10 + 5 * Math.sin((2 * Math.PI * i) / 10_000),
    );
    for (const groups of [4, 7, 10, 13, 16]) {
      const mean = steps.reduce((sum, load) => sum + Math.max(0, load - groups), 0) / steps.length;
      expect(expectedShortfall({ load: 10, peakLoad: 15 }, groups)).toBeCloseTo(mean, 3);
    }
  });
});

describe('the demand for a model', () => {
  const SAMPLE = {
    running: 56,
    waiting: 0,
    perSecond: 28,
    slots: 56,
    batchSize: 14,
    holdMs: 2_000,
  };
  const measure = (seconds: number, sampleAt: (second: number) => typeof SAMPLE) => {
    let history: DemandHistory | undefined;
    for (let second = 0; second <= seconds; second += 0.5)
      history = addSample(history, sampleAt(second), at(second * 1_000));
    return history && estimateDemand(history);
  };

  it('is unknown until most of a wave has been seen', () => {
    expect(measure(10, () => SAMPLE)).toBeUndefined();
    expect(measure(13, () => SAMPLE)?.load).toBeCloseTo(4);
  });

  it('includes requests that are refused at once, which hold and wait for no slot', () => {
    expect(measure(30, () => ({ ...SAMPLE, perSecond: 35 }))).toMatchObject({
      load: 5,
      unserved: 1,
    });
  });

  it('does not grow without limit with the returns of refused callers', () => {
    expect(measure(30, () => ({ ...SAMPLE, perSecond: 500 }))?.load).toBeCloseTo(6.4);
  });

  it('is known by its peak at every phase of a wave', () => {
    const curve = wave(40);
    for (const seconds of [31, 34, 37, 40, 43]) {
      const demand = measure(seconds, (second) => ({
        ...SAMPLE,
        running: curve(second),
        perSecond: curve(second) / 2,
      }));
      expect(demand?.load).toBeCloseTo(40 / 14, 0);
      expect(demand?.peakLoad).toBeGreaterThan(58 / 14);
      expect(demand?.peakLoad).toBeLessThan(66 / 14);
    }
  });
});

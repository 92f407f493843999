import { describe, expect, it } from 'vitest';

import { createDomain, reduceDomain } from '../src/core/groups/domain';
import type {
  DomainEffect,
  DomainEvent,
  DomainSettings,
  DomainState,
  GroupTransaction,
  ModelPlan,
  PolicyNames,
} from '../src/core/groups/domain-types';
import { keyOf } from '../src/core/groups/rows';
import { openSlots } from '../src/core/groups/slots';
import type { EngineReport, InstanceInfo } from '../src/core/groups/types';
import type { MonoTime } from '../src/core/ids';

const POLICIES: PolicyNames = {
  replace: 'preload',
  choose: 'warm-first',
  loads: 'value-first',
  spares: 'none',
};

function plan(id: string, change: Partial<ModelPlan> = {}): ModelPlan {
  const weights = { downtime: 1, stranded: 1 };
  const base = { id, membersPerReplica: 2, replicas: 1, weights, policies: POLICIES };
  return { ...base, ...change } as ModelPlan;
}

function facts(id: string): InstanceInfo {
  const fixed = { domain: 'd', zone: 'z', accelerators: 1, leaving: false, checksFencing: true };
  return { id, address: `${id}:1`, ...fixed } as InstanceInfo;
}

function reportOf(id: string, change: Partial<EngineReport> = {}): EngineReport {
  const idle = { state: 'idle', weights: [], inFlight: 0, queued: 0, fencing: 0, leaving: false };
  return { instance: id, incarnation: '1', ...idle, ...change } as unknown as EngineReport;
}

/** Drives one domain by hand; the effects of the last call are kept. */
class Driven {
  state: DomainState;
  effects: DomainEffect[] = [];

  constructor(
    readonly ids: readonly string[],
    readonly plans: readonly ModelPlan[],
    settings: Partial<DomainSettings> = {},
  ) {
    const all = { rowRefreshMs: 1e9, ...settings };
    this.state = createDomain({ domain: 'd' as never, settings: all }, 0 as MonoTime);
    const lease = { fencing: 3, fenceVersion: 8, validUntil: 1e9 } as never;
    const models = Object.fromEntries(plans.map((one) => [one.id, one]));
    this.tell(0, { kind: 'configured', models });
    this.tell(0, { kind: 'listed', instances: ids.map(facts) });
    this.tell(0, { kind: 'leased', lease });
  }

  tell(now: number, ...events: readonly DomainEvent[]): readonly DomainEffect[] {
    this.effects = [];
    for (const event of events) {
      const step = reduceDomain(this.state, event, { now: now as MonoTime });
      this.state = step.state;
      this.effects.push(...step.effects);
    }
    return this.effects;
  }

  /** Answers the reading of rows: none is there. */
  readNothing(now: number): void {
    const rows = this.ids.map((instance) => ({
      version: 0,
      row: { instance, epoch: 0, fencing: 0 } as never,
    }));
    this.tell(now, { kind: 'tick' });
    this.tell(now, { kind: 'read', groups: [], instances: rows });
  }

  report(now: number, id: string, change: Partial<EngineReport> = {}): void {
    const report = reportOf(id, change);
    this.tell(now, {
      kind: 'reported',
      instance: id as never,
      report,
      sentAt: now as MonoTime,
    });
  }

  tick(now: number): readonly DomainEffect[] {
    const groups = Object.values<DomainState['groups'][never]>(this.state.groups);
    const open = openSlots({
      domain: 'd' as never,
      models: this.state.models,
      groups: groups.map(({ row }) => row),
      instances: this.ids.map(facts),
    });
    return this.tell(now, { kind: 'slots', open, loadsElsewhere: 0 }, { kind: 'tick' });
  }

  commitOf(): GroupTransaction | undefined {
    return this.effects.flatMap((one) => (one.kind === 'commit' ? [one.transaction] : []))[0];
  }

  orders(): readonly string[] {
    return this.effects.flatMap((one) =>
      one.kind === 'order' ? [`${one.order.kind} ${one.instance}`] : [],
    );
  }

  /** Commits what is pending. */
  commit(now: number, version: number): void {
    const tx = this.commitOf();
    if (!tx) throw new Error('nothing to commit');
    const versions = Object.fromEntries(tx.writes.map(({ write }) => [keyOf(write), version]));
    this.tell(now, { kind: 'committed', id: tx.id, versions });
  }
}

function formed(ids: readonly string[], plans: readonly ModelPlan[], settings = {}): Driven {
  const driven = new Driven(ids, plans, settings);
  driven.readNothing(0);
  for (const id of ids) driven.report(10, id);
  driven.tick(20);
  driven.commit(30, 5);
  return driven;
}

const GROUP = 'd.3.1';

function joined(driven: Driven, now: number, ids: readonly string[], epoch = 1): void {
  for (const id of ids) {
    const change = { group: GROUP, epoch, model: 'm', state: 'serving', weights: ['m'] };
    driven.report(now, id, change as never);
  }
}

describe('holder of a domain', () => {
  it('reads the rows before it decides anything', () => {
    const driven = new Driven(['a', 'b'], [plan('m')]);
    driven.report(5, 'a');
    driven.report(5, 'b');
    expect(driven.tick(10)).toEqual([{ kind: 'read', instances: ['a', 'b'] }]);
    expect(driven.tick(20)).toEqual([]);
  });

  it('forms a group with its rows and its slot in one guarded transaction', () => {
    const driven = new Driven(['a', 'b'], [plan('m')]);
    driven.readNothing(0);
    driven.report(10, 'a');
    driven.report(10, 'b');
    driven.tick(20);
    const tx = driven.commitOf();
    expect(tx?.fenceVersion).toBe(8);
    expect(tx?.writes.map(({ write, version }) => [keyOf(write), version])).toEqual([
      [`group/${GROUP}`, 0],
      ['instance/a', 0],
      ['instance/b', 0],
      ['slot/m/0', 0],
    ]);
  });

  it('uses an instance only once that reports itself free of any group', () => {
    const driven = new Driven(['a', 'b'], [plan('m')]);
    driven.readNothing(0);
    driven.report(10, 'a');
    const stray = { group: 'old', epoch: 4, state: 'serving' };
    driven.report(10, 'b', stray as never);
    driven.tick(20);
    expect(driven.commitOf()).toBeUndefined();
    expect(driven.orders()).toEqual(['release b']);
    driven.report(30, 'b');
    driven.tick(40);
    expect(driven.commitOf()?.reason).toBe('form');
  });

  it('does not decide on reports that have grown old', () => {
    const driven = new Driven(['a', 'b'], [plan('m')]);
    driven.readNothing(0);
    driven.report(10, 'a');
    driven.report(10, 'b');
    driven.tick(5_000);
    expect(driven.commitOf()).toBeUndefined();
  });

  it('does nothing past its lease', () => {
    const driven = new Driven(['a', 'b'], [plan('m')]);
    driven.readNothing(0);
    const lease = { fencing: 3, fenceVersion: 8, validUntil: 15 } as never;
    driven.tell(1, { kind: 'leased', lease });
    driven.report(10, 'a');
    driven.report(10, 'b');
    expect(driven.tick(20)).toEqual([]);
  });

  it('reads back after a lost answer before it decides again', () => {
    const driven = new Driven(['a', 'b'], [plan('m')]);
    driven.readNothing(0);
    driven.report(10, 'a');
    driven.report(10, 'b');
    driven.tick(20);
    const tx = driven.commitOf();
    driven.tell(30, { kind: 'unsure', id: tx?.id ?? 0 });
    expect(driven.tick(40).map((one) => one.kind)).toEqual(['read']);
  });

  it('orders rank 0 to join last', () => {
    const driven = formed(['a', 'b'], [plan('m')]);
    driven.tick(40);
    expect(driven.orders()).toEqual(['join b']);
    driven.report(50, 'b', { group: GROUP, epoch: 1, state: 'loading' } as never);
    driven.tick(60);
    expect(driven.orders()).toEqual(['join a']);
  });

  it('repeats an order that had no effect, but not at once', () => {
    const driven = formed(['a', 'b'], [plan('m')]);
    driven.tick(40);
    driven.report(100, 'b');
    expect(driven.tick(200)).toEqual([]);
    driven.report(1_200, 'b');
    driven.tick(1_300);
    expect(driven.orders()).toEqual(['join b']);
  });

  it('lets only so many members fetch weights at a time', () => {
    const ids = ['a', 'b', 'c', 'd', 'e', 'f'];
    const driven = formed(ids, [plan('m', { membersPerReplica: 6 })], { maxLoads: 2 });
    driven.tick(40);
    expect(driven.orders()).toEqual(['join b', 'join c']);
  });

  it('keeps a turn for rank 0 of the group that loads first', () => {
    const dear = plan('m', { weights: { downtime: 5, stranded: 1 } });
    const driven = formed(['a', 'b', 'c', 'd'], [dear, plan('n')], { maxLoads: 2 });
    driven.tick(40);
    driven.commit(50, 6);
    driven.tick(60);
    // The second group would otherwise take the turn while rank 0 of the first waits.
    expect(driven.orders()).toEqual([]);
    driven.report(70, 'b', { group: GROUP, epoch: 1, model: 'm', state: 'loading' } as never);
    driven.tick(80);
    expect(driven.orders()).toEqual(['join a']);
  });

  it('raises the epoch at each change of members and keeps the survivors', () => {
    const driven = formed(['a', 'b', 'c'], [plan('m')]);
    joined(driven, 100, ['a', 'b']);
    driven.tick(110);
    driven.commit(120, 6);
    driven.tell(1_000, { kind: 'silent', instance: 'b' as never, sentAt: 1_000 as MonoTime });
    driven.report(7_000, 'c', { weights: ['m'] as never });
    driven.tick(7_100);
    const row = driven.commitOf()?.writes.find(({ write }) => write.kind === 'group')?.write.row;
    expect(row).toMatchObject({ epoch: 2, phase: 'forming' });
    expect(
      (row as unknown as { members: { instance: string }[] }).members.map((m) => m.instance),
    ).toEqual(['a', 'c']);
  });

  it('has a cold spare fetch weights while the member may still return, and tells it once', () => {
    const driven = formed(['a', 'b', 'c'], [plan('m')]);
    joined(driven, 100, ['a', 'b']);
    driven.tick(110);
    driven.commit(120, 6);
    driven.tell(1_000, { kind: 'silent', instance: 'b' as never, sentAt: 1_000 as MonoTime });
    driven.report(4_500, 'c');
    driven.tick(4_600);
    expect(driven.orders()).toEqual(['preload c']);
    driven.report(9_000, 'c');
    driven.tick(9_100);
    expect(driven.orders()).toEqual([]);
    driven.report(9_200, 'c', { incarnation: '2' });
    driven.tick(9_300);
    expect(driven.orders()).toEqual(['preload c']);
  });

  it('waits for an answer of all members before it starts a broken group again', () => {
    const driven = formed(['a', 'b'], [plan('m')]);
    joined(driven, 100, ['a', 'b']);
    driven.tick(110);
    driven.commit(120, 6);
    driven.report(2_000, 'a', { group: GROUP, epoch: 1, state: 'broken' } as never);
    driven.tick(2_100);
    expect(driven.commitOf()).toBeUndefined();
    joined(driven, 2_200, ['b']);
    driven.tick(2_300);
    expect(driven.commitOf()?.reason).toBe('restart');
  });

  it('keeps a silent member that another daemon vouches for', () => {
    const driven = formed(['a', 'b', 'c'], [plan('m')]);
    joined(driven, 100, ['a', 'b']);
    driven.tick(110);
    driven.commit(120, 6);
    driven.tell(1_000, { kind: 'silent', instance: 'b' as never, sentAt: 1_000 as MonoTime });
    driven.tell(60_000, { kind: 'vouched', group: GROUP as never, until: 63_000 as MonoTime });
    driven.report(60_000, 'c', { weights: ['m'] as never });
    joined(driven, 60_000, ['a']);
    driven.tick(60_100);
    expect(driven.commitOf()).toBeUndefined();
    driven.report(63_000, 'c', { weights: ['m'] as never });
    joined(driven, 63_000, ['a']);
    driven.tick(63_100);
    expect(driven.commitOf()?.reason).toBe('replace');
  });
});

describe('lending', () => {
  const lending: PolicyNames = { ...POLICIES, choose: 'lend' };

  it('drains the group of least value when none is free and the silence is long', () => {
    const main = plan('m', { policies: lending, weights: { downtime: 5, stranded: 1 } });
    const small = plan('s', { policies: lending, membersPerReplica: 1 });
    const driven = formed(['a', 'b', 'c'], [main, small]);
    joined(driven, 100, ['a', 'b']);
    driven.tick(110);
    driven.commit(120, 6);
    driven.report(1_000, 'c');
    driven.tick(1_100);
    driven.commit(1_200, 7);
    const other = Object.keys(driven.state.groups).find((id) => id !== GROUP) ?? '';
    const serving = { group: other, epoch: 1, model: 's', state: 'serving', weights: ['s'] };
    driven.report(1_300, 'c', serving as never);
    driven.tick(1_400);
    driven.commit(1_500, 8);
    driven.tell(2_000, { kind: 'silent', instance: 'b' as never, sentAt: 2_000 as MonoTime });
    driven.report(20_000, 'c', serving as never);
    driven.tick(20_000);
    expect(driven.commitOf()).toBeUndefined();
    driven.report(29_000, 'c', serving as never);
    driven.tick(33_000);
    const tx = driven.commitOf();
    expect(tx?.reason).toBe('lend');
    expect(tx?.writes.map(({ write }) => keyOf(write))).toEqual([`group/${other}`]);
  });
});

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

function listingOf(id: string): InstanceInfo {
  const fixed = { domain: 'd', zone: 'z', accelerators: 1, leaving: false, checksFencing: true };
  return { id, address: `${id}:1`, ...fixed } as InstanceInfo;
}

function reportOf(id: string, change: Partial<EngineReport> = {}): EngineReport {
  const idle = { state: 'idle', weights: [], inFlight: 0, queued: 0, fencing: 0, leaving: false };
  return { instance: id, incarnation: '1', ...idle, ...change } as unknown as EngineReport;
}

/** Drives the reducer of one domain; keeps the effects of the last call. */
class DomainDriver {
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
    this.dispatch(0, { kind: 'configured', models });
    this.dispatch(0, { kind: 'listed', instances: ids.map(listingOf) });
    this.dispatch(0, { kind: 'leased', lease });
  }

  dispatch(now: number, ...events: readonly DomainEvent[]): readonly DomainEffect[] {
    this.effects = [];
    for (const event of events) {
      const step = reduceDomain(this.state, event, { now: now as MonoTime });
      this.state = step.state;
      this.effects.push(...step.effects);
    }
    return this.effects;
  }

  /** Answers the first read of the rows: none exists. */
  readEmptyRows(now: number): void {
    const rows = this.ids.map((instance) => ({
      version: 0,
      row: { instance, epoch: 0, fencing: 0 } as never,
    }));
    this.dispatch(now, { kind: 'tick' });
    this.dispatch(now, { kind: 'read', groups: [], instances: rows });
  }

  report(now: number, id: string, change: Partial<EngineReport> = {}): void {
    const report = reportOf(id, change);
    this.dispatch(now, {
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
      instances: this.ids.map(listingOf),
    });
    return this.dispatch(now, { kind: 'slots', open, loadsElsewhere: 0 }, { kind: 'tick' });
  }

  pendingTransaction(): GroupTransaction | undefined {
    return this.effects.flatMap((one) => (one.kind === 'commit' ? [one.transaction] : []))[0];
  }

  orders(): readonly string[] {
    return this.effects.flatMap((one) =>
      one.kind === 'order' ? [`${one.order.kind} ${one.instance}`] : [],
    );
  }

  /** Commits the pending transaction. */
  commit(now: number, version: number): void {
    const tx = this.pendingTransaction();
    if (!tx) throw new Error('nothing to commit');
    const versions = Object.fromEntries(tx.writes.map(({ write }) => [keyOf(write), version]));
    this.dispatch(now, { kind: 'committed', id: tx.id, versions });
  }
}

function createFormed(
  ids: readonly string[],
  plans: readonly ModelPlan[],
  settings = {},
): DomainDriver {
  const driver = new DomainDriver(ids, plans, settings);
  driver.readEmptyRows(0);
  for (const id of ids) driver.report(10, id);
  driver.tick(20);
  driver.commit(30, 5);
  return driver;
}

const GROUP = 'd.3.1';

function reportServing(driver: DomainDriver, now: number, ids: readonly string[], epoch = 1): void {
  for (const id of ids) {
    const change = { group: GROUP, epoch, model: 'm', state: 'serving', weights: ['m'] };
    driver.report(now, id, change as never);
  }
}

describe('holder of a domain', () => {
  it('reads the rows before any decision', () => {
    const driver = new DomainDriver(['a', 'b'], [plan('m')]);
    driver.report(5, 'a');
    driver.report(5, 'b');
    expect(driver.tick(10)).toEqual([{ kind: 'read', instances: ['a', 'b'] }]);
    expect(driver.tick(20)).toEqual([]);
  });

  it('forms a group, with its rows and slot, in one conditional transaction', () => {
    const driver = new DomainDriver(['a', 'b'], [plan('m')]);
    driver.readEmptyRows(0);
    driver.report(10, 'a');
    driver.report(10, 'b');
    driver.tick(20);
    const tx = driver.pendingTransaction();
    expect(tx?.fenceVersion).toBe(8);
    expect(tx?.writes.map(({ write, version }) => [keyOf(write), version])).toEqual([
      [`group/${GROUP}`, 0],
      ['instance/a', 0],
      ['instance/b', 0],
      ['slot/m/0', 0],
    ]);
  });

  it('uses an instance only once it reports that it is in no group', () => {
    const driver = new DomainDriver(['a', 'b'], [plan('m')]);
    driver.readEmptyRows(0);
    driver.report(10, 'a');
    const other = { group: 'old', epoch: 4, state: 'serving' };
    driver.report(10, 'b', other as never);
    driver.tick(20);
    expect(driver.pendingTransaction()).toBeUndefined();
    expect(driver.orders()).toEqual(['release b']);
    driver.report(30, 'b');
    driver.tick(40);
    expect(driver.pendingTransaction()?.reason).toBe('form');
  });

  it('makes no decision on stale reports', () => {
    const driver = new DomainDriver(['a', 'b'], [plan('m')]);
    driver.readEmptyRows(0);
    driver.report(10, 'a');
    driver.report(10, 'b');
    driver.tick(5_000);
    expect(driver.pendingTransaction()).toBeUndefined();
  });

  it('does nothing once its lease has expired', () => {
    const driver = new DomainDriver(['a', 'b'], [plan('m')]);
    driver.readEmptyRows(0);
    const lease = { fencing: 3, fenceVersion: 8, validUntil: 15 } as never;
    driver.dispatch(1, { kind: 'leased', lease });
    driver.report(10, 'a');
    driver.report(10, 'b');
    expect(driver.tick(20)).toEqual([]);
  });

  it('reads the rows back after a lost response before the next decision', () => {
    const driver = new DomainDriver(['a', 'b'], [plan('m')]);
    driver.readEmptyRows(0);
    driver.report(10, 'a');
    driver.report(10, 'b');
    driver.tick(20);
    const tx = driver.pendingTransaction();
    driver.dispatch(30, { kind: 'unsure', id: tx?.id ?? 0 });
    expect(driver.tick(40).map((one) => one.kind)).toEqual(['read']);
  });

  it('orders rank 0 to join last', () => {
    const driver = createFormed(['a', 'b'], [plan('m')]);
    driver.tick(40);
    expect(driver.orders()).toEqual(['join b']);
    driver.report(50, 'b', { group: GROUP, epoch: 1, state: 'loading' } as never);
    driver.tick(60);
    expect(driver.orders()).toEqual(['join a']);
  });

  it('repeats an order without effect only after the retry delay', () => {
    const driver = createFormed(['a', 'b'], [plan('m')]);
    driver.tick(40);
    driver.report(100, 'b');
    expect(driver.tick(200)).toEqual([]);
    driver.report(1_200, 'b');
    driver.tick(1_300);
    expect(driver.orders()).toEqual(['join b']);
  });

  it('limits how many members load weights concurrently', () => {
    const ids = ['a', 'b', 'c', 'd', 'e', 'f'];
    const driver = createFormed(ids, [plan('m', { membersPerReplica: 6 })], { maxLoads: 2 });
    driver.tick(40);
    expect(driver.orders()).toEqual(['join b', 'join c']);
  });

  it('reserves a load for rank 0 of the group that loads first', () => {
    const costly = plan('m', { weights: { downtime: 5, stranded: 1 } });
    const driver = createFormed(['a', 'b', 'c', 'd'], [costly, plan('n')], { maxLoads: 2 });
    driver.tick(40);
    driver.commit(50, 6);
    driver.tick(60);
    // Otherwise the second group would take the load while rank 0 of the first waits.
    expect(driver.orders()).toEqual([]);
    driver.report(70, 'b', { group: GROUP, epoch: 1, model: 'm', state: 'loading' } as never);
    driver.tick(80);
    expect(driver.orders()).toEqual(['join a']);
  });

  it('increments the epoch at each change of members and keeps the remaining ones', () => {
    const driver = createFormed(['a', 'b', 'c'], [plan('m')]);
    reportServing(driver, 100, ['a', 'b']);
    driver.tick(110);
    driver.commit(120, 6);
    driver.dispatch(1_000, { kind: 'silent', instance: 'b' as never, sentAt: 1_000 as MonoTime });
    driver.report(7_000, 'c', { weights: ['m'] as never });
    driver.tick(7_100);
    const row = driver.pendingTransaction()?.writes.find(({ write }) => write.kind === 'group')
      ?.write.row;
    expect(row).toMatchObject({ epoch: 2, phase: 'forming' });
    expect(
      (row as unknown as { members: { instance: string }[] }).members.map((m) => m.instance),
    ).toEqual(['a', 'c']);
  });

  it('sends a cold spare one preload order while the member may still return', () => {
    const driver = createFormed(['a', 'b', 'c'], [plan('m')]);
    reportServing(driver, 100, ['a', 'b']);
    driver.tick(110);
    driver.commit(120, 6);
    driver.dispatch(1_000, { kind: 'silent', instance: 'b' as never, sentAt: 1_000 as MonoTime });
    driver.report(4_500, 'c');
    driver.tick(4_600);
    expect(driver.orders()).toEqual(['preload c']);
    driver.report(9_000, 'c');
    driver.tick(9_100);
    expect(driver.orders()).toEqual([]);
    driver.report(9_200, 'c', { incarnation: '2' });
    driver.tick(9_300);
    expect(driver.orders()).toEqual(['preload c']);
  });

  it('restarts a broken group only after all members have answered', () => {
    const driver = createFormed(['a', 'b'], [plan('m')]);
    reportServing(driver, 100, ['a', 'b']);
    driver.tick(110);
    driver.commit(120, 6);
    driver.report(2_000, 'a', { group: GROUP, epoch: 1, state: 'broken' } as never);
    driver.tick(2_100);
    expect(driver.pendingTransaction()).toBeUndefined();
    reportServing(driver, 2_200, ['b']);
    driver.tick(2_300);
    expect(driver.pendingTransaction()?.reason).toBe('restart');
  });

  it('keeps an unresponsive member that another daemon observes as healthy', () => {
    const driver = createFormed(['a', 'b', 'c'], [plan('m')]);
    reportServing(driver, 100, ['a', 'b']);
    driver.tick(110);
    driver.commit(120, 6);
    driver.dispatch(1_000, { kind: 'silent', instance: 'b' as never, sentAt: 1_000 as MonoTime });
    driver.dispatch(60_000, { kind: 'vouched', group: GROUP as never, until: 63_000 as MonoTime });
    driver.report(60_000, 'c', { weights: ['m'] as never });
    reportServing(driver, 60_000, ['a']);
    driver.tick(60_100);
    expect(driver.pendingTransaction()).toBeUndefined();
    driver.report(63_000, 'c', { weights: ['m'] as never });
    reportServing(driver, 63_000, ['a']);
    driver.tick(63_100);
    expect(driver.pendingTransaction()?.reason).toBe('replace');
  });
});

describe('lending', () => {
  const lending: PolicyNames = { ...POLICIES, choose: 'lend' };

  it('drains the group of least value if no instance is free and a member is long unresponsive', () => {
    const main = plan('m', { policies: lending, weights: { downtime: 5, stranded: 1 } });
    const small = plan('s', { policies: lending, membersPerReplica: 1 });
    const driver = createFormed(['a', 'b', 'c'], [main, small]);
    reportServing(driver, 100, ['a', 'b']);
    driver.tick(110);
    driver.commit(120, 6);
    driver.report(1_000, 'c');
    driver.tick(1_100);
    driver.commit(1_200, 7);
    const other = Object.keys(driver.state.groups).find((id) => id !== GROUP) ?? '';
    const serving = { group: other, epoch: 1, model: 's', state: 'serving', weights: ['s'] };
    driver.report(1_300, 'c', serving as never);
    driver.tick(1_400);
    driver.commit(1_500, 8);
    driver.dispatch(2_000, { kind: 'silent', instance: 'b' as never, sentAt: 2_000 as MonoTime });
    driver.report(20_000, 'c', serving as never);
    driver.tick(20_000);
    expect(driver.pendingTransaction()).toBeUndefined();
    driver.report(29_000, 'c', serving as never);
    driver.tick(33_000);
    const tx = driver.pendingTransaction();
    expect(tx?.reason).toBe('lend');
    expect(tx?.writes.map(({ write }) => keyOf(write))).toEqual([`group/${other}`]);
  });
});

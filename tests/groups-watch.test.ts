import { describe, expect, it } from 'vitest';

import type { DaemonId, Epoch, GroupId, MonoTime } from '../src/core/ids';
import type { EngineReport, GroupRow } from '../src/core/groups/types';
import {
  createWatch,
  isAwaitingProbe,
  ownRoutableUntil,
  reduceWatch,
  routableUntil,
} from '../src/core/groups/watch';
import type { Statement, WatchEvent, WatchState } from '../src/core/groups/watch';

const ROW = {
  id: 'g',
  model: 'm',
  domain: 'd',
  epoch: 2,
  fencing: 1,
  phase: 'serving',
  members: [
    { instance: 'x', address: 'x:1' },
    { instance: 'y', address: 'y:1' },
  ],
} as unknown as GroupRow;

const FRESH_MS = 3_000;

function report(instance: string, change: Partial<EngineReport> = {}): EngineReport {
  return {
    instance,
    incarnation: '1',
    state: 'serving',
    group: 'g',
    epoch: 2,
    weights: [],
    inFlight: 0,
    queued: 0,
    fencing: 1,
    leaving: false,
    ...change,
  } as EngineReport;
}

function probed(instance: string, at: number, change?: Partial<EngineReport>): WatchEvent {
  const sentAt = at as MonoTime;
  const freshUntil = (at + FRESH_MS) as MonoTime;
  return { kind: 'reported', report: report(instance, change), sentAt, freshUntil };
}

function stated(origin: string, seq: number, until: number, epoch = 2): WatchEvent {
  const by = { origin: origin as DaemonId, seq };
  const statement = { epoch: epoch as Epoch, until: until as MonoTime, by } satisfies Statement;
  return { kind: 'stated', statement };
}

function after(now: number, ...events: readonly WatchEvent[]): WatchState {
  return events.reduce(
    (state, event) => reduceWatch(state, event, { now: now as MonoTime }).state,
    createWatch(ROW, 7),
  );
}

function isRoutable(state: WatchState, now: number): boolean {
  return routableUntil(state, now as MonoTime) !== undefined;
}

describe('a group', () => {
  const whole = after(100, probed('x', 0), probed('y', 50));

  it('is routable once every member reports its group and epoch', () => {
    expect(isRoutable(after(100, probed('x', 0)), 100)).toBe(false);
    expect(isRoutable(whole, 100)).toBe(true);
  });

  it('is routable no longer than its oldest observation is fresh', () => {
    expect(routableUntil(whole, 100 as MonoTime)).toBe(3_000);
    expect(isRoutable(whole, 3_000)).toBe(false);
  });

  it.each<[string, Partial<EngineReport>]>([
    ['holds an older epoch', { epoch: 1 as Epoch }],
    ['holds another group', { group: 'other' as GroupId }],
    ['still loads', { state: 'loading' }],
    ['drains', { state: 'draining' }],
    ['is leaving', { leaving: true }],
  ])('is not routable when a member %s', (_what, change) => {
    expect(isRoutable(after(100, probed('x', 0), probed('y', 50, change)), 100)).toBe(false);
  });

  it('is not routable from the moment a request failed until all members are probed afresh', () => {
    const evidence: WatchEvent = { kind: 'evidence', epoch: 2 as Epoch };
    const distrusted = after(100, probed('x', 0), probed('y', 50), evidence);
    expect(isRoutable(distrusted, 100)).toBe(false);
    const half = reduceWatch(distrusted, probed('x', 150), { now: 160 as MonoTime }).state;
    expect(isRoutable(half, 160)).toBe(false);
    const early = reduceWatch(half, probed('y', 90), { now: 170 as MonoTime }).state;
    expect(isRoutable(early, 170)).toBe(false);
    const again = reduceWatch(early, probed('y', 160), { now: 180 as MonoTime }).state;
    expect(isRoutable(again, 180)).toBe(true);
  });

  it('takes no notice of a failed request under an epoch that is past', () => {
    const evidence: WatchEvent = { kind: 'evidence', epoch: 1 as Epoch };
    expect(isRoutable(after(100, probed('x', 0), probed('y', 50), evidence), 100)).toBe(true);
  });

  it('needs all members anew when the row has another epoch', () => {
    const row = { ...ROW, epoch: 3 as Epoch };
    const moved = after(100, probed('x', 0), probed('y', 50), { kind: 'row', row, version: 8 });
    expect(isRoutable(moved, 100)).toBe(false);
  });

  it('keeps to the newest version of its row', () => {
    const row = { ...ROW, epoch: 1 as Epoch };
    expect(after(100, { kind: 'row', row, version: 6 }).row.epoch).toBe(2);
  });

  it('tells that it was lost when its observations go stale', () => {
    const told = reduceWatch(whole, { kind: 'tick' }, { now: 3_100 as MonoTime }).effects;
    expect(told).toEqual([{ kind: 'lost' }]);
  });
});

describe('a group that no probe has settled', () => {
  it('may be waited for while nothing speaks against it', () => {
    const stale = after(100, probed('x', 0), probed('y', 50));
    expect(isAwaitingProbe(stale, 200 as MonoTime)).toBe(false);
    expect(isAwaitingProbe(stale, 3_100 as MonoTime)).toBe(true);
    expect(isAwaitingProbe(after(0), 100 as MonoTime)).toBe(true);
  });

  it.each<[string, WatchEvent]>([
    ['a member is silent', { kind: 'silent', instance: 'x' as never, sentAt: 60 as MonoTime }],
    ['a request failed', { kind: 'evidence', epoch: 2 as Epoch }],
    ['a member is leaving', { kind: 'leaving', leaving: true }],
  ])('may not once %s', (_what, event) => {
    const state = after(100, probed('x', 0), probed('y', 50), event);
    expect(isAwaitingProbe(state, 3_100 as MonoTime)).toBe(false);
  });
});

describe("a peer's word", () => {
  it('makes a group routable for as long as it says, but is never passed on', () => {
    const state = after(100, stated('p', 1, 2_000));
    expect(routableUntil(state, 100 as MonoTime)).toBe(2_000);
    expect(ownRoutableUntil(state)).toBeUndefined();
  });

  it('counts only for the epoch that it was given for', () => {
    expect(isRoutable(after(100, stated('p', 1, 2_000, 1)), 100)).toBe(false);
  });

  it('does not outweigh what this daemon saw itself', () => {
    const state = after(100, stated('p', 1, 2_000), {
      kind: 'silent',
      instance: 'x' as never,
      sentAt: 50 as MonoTime,
    });
    expect(isRoutable(state, 100)).toBe(false);
  });

  it('that warns ends it at once, and only a later word of the same peer lifts that', () => {
    const by = { origin: 'p' as DaemonId, seq: 2 };
    const warned: WatchEvent = { kind: 'warned', epoch: 2 as Epoch, by };
    const state = after(100, stated('p', 1, 2_000), warned);
    expect(isRoutable(state, 100)).toBe(false);
    expect(isRoutable(after(100, warned, stated('q', 9, 2_000)), 100)).toBe(false);
    expect(isRoutable(after(100, warned, stated('p', 1, 2_000)), 100)).toBe(false);
    expect(isRoutable(after(100, warned, stated('p', 3, 2_000)), 100)).toBe(true);
  });

  it('that warns comes too late after a newer good one of the same peer', () => {
    const by = { origin: 'p' as DaemonId, seq: 1 };
    const late: WatchEvent = { kind: 'warned', epoch: 2 as Epoch, by };
    expect(isRoutable(after(100, stated('p', 2, 2_000), late), 100)).toBe(true);
  });
});

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

function reportedEvent(instance: string, at: number, change?: Partial<EngineReport>): WatchEvent {
  const sentAt = at as MonoTime;
  const freshUntil = (at + FRESH_MS) as MonoTime;
  return { kind: 'reported', report: report(instance, change), sentAt, freshUntil };
}

function statedEvent(origin: string, seq: number, until: number, epoch = 2): WatchEvent {
  const by = { origin: origin as DaemonId, seq };
  const statement = { epoch: epoch as Epoch, until: until as MonoTime, by } satisfies Statement;
  return { kind: 'stated', statement };
}

function stateAfter(now: number, ...events: readonly WatchEvent[]): WatchState {
  return events.reduce(
    (state, event) => reduceWatch(state, event, { now: now as MonoTime }).state,
    createWatch(ROW, 7),
  );
}

function isRoutable(state: WatchState, now: number): boolean {
  return routableUntil(state, now as MonoTime) !== undefined;
}

describe('a group', () => {
  const complete = stateAfter(100, reportedEvent('x', 0), reportedEvent('y', 50));

  it('is routable once every member reports the group and epoch of the row', () => {
    expect(isRoutable(stateAfter(100, reportedEvent('x', 0)), 100)).toBe(false);
    expect(isRoutable(complete, 100)).toBe(true);
  });

  it('is routable no longer than its oldest observation is fresh', () => {
    expect(routableUntil(complete, 100 as MonoTime)).toBe(3_000);
    expect(isRoutable(complete, 3_000)).toBe(false);
  });

  it.each<[string, Partial<EngineReport>]>([
    ['holds an older epoch', { epoch: 1 as Epoch }],
    ['holds another group', { group: 'other' as GroupId }],
    ['still loads', { state: 'loading' }],
    ['drains', { state: 'draining' }],
    ['is leaving', { leaving: true }],
  ])('is not routable when a member %s', (_what, change) => {
    expect(
      isRoutable(stateAfter(100, reportedEvent('x', 0), reportedEvent('y', 50, change)), 100),
    ).toBe(false);
  });

  it('is not routable from a failed request until all members have been probed again', () => {
    const evidence: WatchEvent = { kind: 'evidence', epoch: 2 as Epoch };
    const distrusted = stateAfter(100, reportedEvent('x', 0), reportedEvent('y', 50), evidence);
    expect(isRoutable(distrusted, 100)).toBe(false);
    const partial = reduceWatch(distrusted, reportedEvent('x', 150), {
      now: 160 as MonoTime,
    }).state;
    expect(isRoutable(partial, 160)).toBe(false);
    const outdated = reduceWatch(partial, reportedEvent('y', 90), { now: 170 as MonoTime }).state;
    expect(isRoutable(outdated, 170)).toBe(false);
    const again = reduceWatch(outdated, reportedEvent('y', 160), { now: 180 as MonoTime }).state;
    expect(isRoutable(again, 180)).toBe(true);
  });

  it('ignores a failed request under an earlier epoch', () => {
    const evidence: WatchEvent = { kind: 'evidence', epoch: 1 as Epoch };
    expect(
      isRoutable(stateAfter(100, reportedEvent('x', 0), reportedEvent('y', 50), evidence), 100),
    ).toBe(true);
  });

  it('requires new reports of all members when the epoch of the row changes', () => {
    const row = { ...ROW, epoch: 3 as Epoch };
    const moved = stateAfter(100, reportedEvent('x', 0), reportedEvent('y', 50), {
      kind: 'row',
      row,
      version: 8,
    });
    expect(isRoutable(moved, 100)).toBe(false);
  });

  it('keeps to the newest version of its row', () => {
    const row = { ...ROW, epoch: 1 as Epoch };
    expect(stateAfter(100, { kind: 'row', row, version: 6 }).row.epoch).toBe(2);
  });

  it('reports that it is lost when its observations become stale', () => {
    const effects = reduceWatch(complete, { kind: 'tick' }, { now: 3_100 as MonoTime }).effects;
    expect(effects).toEqual([{ kind: 'lost' }]);
  });
});

describe('a group without fresh observations', () => {
  it('awaits a probe while nothing speaks against it', () => {
    const stale = stateAfter(100, reportedEvent('x', 0), reportedEvent('y', 50));
    expect(isAwaitingProbe(stale, 200 as MonoTime)).toBe(false);
    expect(isAwaitingProbe(stale, 3_100 as MonoTime)).toBe(true);
    expect(isAwaitingProbe(stateAfter(0), 100 as MonoTime)).toBe(true);
  });

  it.each<[string, WatchEvent]>([
    ['a member is silent', { kind: 'silent', instance: 'x' as never, sentAt: 60 as MonoTime }],
    ['a request failed', { kind: 'evidence', epoch: 2 as Epoch }],
    ['a member is leaving', { kind: 'leaving', leaving: true }],
  ])('does not once %s', (_what, event) => {
    const state = stateAfter(100, reportedEvent('x', 0), reportedEvent('y', 50), event);
    expect(isAwaitingProbe(state, 3_100 as MonoTime)).toBe(false);
  });
});

describe("a peer's statement", () => {
  it('makes a group routable for as long as it says, but does not count as an own probe', () => {
    const state = stateAfter(100, statedEvent('p', 1, 2_000));
    expect(routableUntil(state, 100 as MonoTime)).toBe(2_000);
    expect(ownRoutableUntil(state)).toBeUndefined();
  });

  it('counts only for its own epoch', () => {
    expect(isRoutable(stateAfter(100, statedEvent('p', 1, 2_000, 1)), 100)).toBe(false);
  });

  it("does not override this daemon's own probes", () => {
    const state = stateAfter(100, statedEvent('p', 1, 2_000), {
      kind: 'silent',
      instance: 'x' as never,
      sentAt: 50 as MonoTime,
    });
    expect(isRoutable(state, 100)).toBe(false);
  });

  it('is ended at once by a warning, which only a later statement of the same peer clears', () => {
    const by = { origin: 'p' as DaemonId, seq: 2 };
    const warned: WatchEvent = { kind: 'warned', epoch: 2 as Epoch, by };
    const state = stateAfter(100, statedEvent('p', 1, 2_000), warned);
    expect(isRoutable(state, 100)).toBe(false);
    expect(isRoutable(stateAfter(100, warned, statedEvent('q', 9, 2_000)), 100)).toBe(false);
    expect(isRoutable(stateAfter(100, warned, statedEvent('p', 1, 2_000)), 100)).toBe(false);
    expect(isRoutable(stateAfter(100, warned, statedEvent('p', 3, 2_000)), 100)).toBe(true);
  });

  it('is not ended by an older warning of the same peer', () => {
    const by = { origin: 'p' as DaemonId, seq: 1 };
    const late: WatchEvent = { kind: 'warned', epoch: 2 as Epoch, by };
    expect(isRoutable(stateAfter(100, statedEvent('p', 2, 2_000), late), 100)).toBe(true);
  });
});

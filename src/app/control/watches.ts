/** Runs the watch reducers of all groups: which may be given requests now. */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import type { EngineReport, GroupRow, RoutableGroup, Versioned } from '../../core/groups/types';
import { createWatch, reduceWatch, routableUntil } from '../../core/groups/watch';
import type { Statement, StatementSource, WatchEvent, WatchState } from '../../core/groups/watch';
import { later } from '../../core/ids';
import type { DomainId, Epoch, GroupId, InstanceId, ModelId, MonoTime } from '../../core/ids';
import { stepAt } from './context';
import type { ControlContext } from './context';

/** A group that became routable or ceased to be. */
export interface WatchChange {
  readonly group: GroupId;
  readonly domain: DomainId;
  readonly epoch: Epoch;
  readonly kind: 'ready' | 'lost';
}

export interface Watches {
  /** All groups as read from the table, by a scan that began at `since`. */
  sync(rows: readonly Versioned<GroupRow>[], since: MonoTime): void;
  /** One group's row, as its holder wrote it. */
  put(row: GroupRow, version: number): void;
  /** A group that was dissolved. */
  drop(row: GroupRow): void;
  reported(report: EngineReport, sentAt: MonoTime, freshUntil: MonoTime): void;
  silent(instance: InstanceId, sentAt: MonoTime): void;
  stated(group: GroupId, statement: Statement): void;
  warned(group: GroupId, epoch: Epoch, by: StatementSource): void;
  evidence(group: GroupId, epoch: Epoch): void;
  tick(isLeaving: (instance: InstanceId) => boolean): void;
  /** Takes over the sizes of batches after a change of the configuration. */
  refresh(): void;
  all(): readonly WatchState[];
  readonly get: (group: GroupId) => WatchState | undefined;
  until(group: GroupId): MonoTime | undefined;
  /** Groups of one model, routable or not. */
  ofModel(model: ModelId): Iterable<WatchEntry>;
  readonly changes: Observable<WatchChange>;
}

/** A group with what the request plane needs of it, made anew at each change. */
export interface WatchEntry {
  readonly state: WatchState;
  /** Absent while the group may not be given requests. */
  readonly routable?: RoutableGroup;
}

/** Longer than any gossip of a dissolved group's row may take to arrive. */
const GONE_MS = 60_000;

/** When all groups of a model have no longer than this to go, they are probed. */
const RENEW_BEFORE_MS = 1_000;

/** What becomes of groups that a choice passes over, or soon will. */
export interface ChoiceHooks {
  readonly missing: (state: WatchState) => void;
  readonly expiring: (state: WatchState) => void;
}

/** Chooses among the entries of a model: no work but two comparisons for each. */
export function routableNow(
  entries: Iterable<WatchEntry>,
  now: MonoTime,
  { missing, expiring }: ChoiceHooks,
): readonly RoutableGroup[] {
  const groups: RoutableGroup[] = [];
  const ending: WatchState[] = [];
  for (const { state, routable } of entries) {
    if (!routable || now >= routable.routableUntil) {
      missing(state);
      continue;
    }
    groups.push(routable);
    if (routable.routableUntil - now < RENEW_BEFORE_MS) ending.push(state);
  }
  // While others stay fresh, requests go on to them; probes are counted.
  if (ending.length === groups.length) ending.forEach(expiring);
  return groups;
}

export function createWatches(ctx: ControlContext): Watches {
  const states = new Map<GroupId, WatchState>();
  /** The request plane asks for each request: nothing is worked out there. */
  const entries = new Map<ModelId, Map<GroupId, WatchEntry>>();
  const addedAt = new Map<GroupId, MonoTime>();
  const goneUntil = new Map<GroupId, MonoTime>();
  const holding = new Map<InstanceId, Set<GroupId>>();
  const changes = new Subject<WatchChange>();

  const index = (state: WatchState): void => {
    for (const { instance } of state.row.members) {
      const groups = holding.get(instance) ?? new Set();
      holding.set(instance, groups.add(state.id));
    }
  };

  const unindex = (state: WatchState): void => {
    for (const { instance } of state.row.members) {
      const groups = holding.get(instance);
      groups?.delete(state.id);
      if (groups?.size === 0) holding.delete(instance);
    }
  };

  const enter = (state: WatchState): void => {
    const { model } = state.row;
    const ofModel = entries.get(model) ?? new Map<GroupId, WatchEntry>();
    const maxBatch = ctx.config.current().models[model]?.maxBatch ?? 1;
    entries.set(model, ofModel.set(state.id, entryOf(state, maxBatch, ctx.clock.now())));
  };

  const tell = (group: GroupId, event: WatchEvent): void => {
    const before = states.get(group);
    if (!before) return;
    const { state, effects } = reduceWatch(before, event, stepAt(ctx));
    if (state.row !== before.row) {
      unindex(before);
      index(state);
    }
    states.set(group, state);
    if (state !== before) enter(state);
    for (const { kind } of effects) emit(state, kind);
  };

  const emit = ({ id, row }: WatchState, kind: WatchChange['kind']): void => {
    changes.next({ group: id, domain: row.domain, epoch: row.epoch, kind });
  };

  const put = (row: GroupRow, version: number): void => {
    if (states.has(row.id)) {
      tell(row.id, { kind: 'row', row, version });
      return;
    }
    if (goneUntil.has(row.id)) return;
    const state = createWatch(row, version);
    states.set(row.id, state);
    addedAt.set(row.id, ctx.clock.now());
    index(state);
    enter(state);
  };

  const forget = (state: WatchState): void => {
    states.delete(state.id);
    addedAt.delete(state.id);
    entries.get(state.row.model)?.delete(state.id);
    unindex(state);
    if (state.routable) emit(state, 'lost');
  };

  const forgetGone = (now: MonoTime): void => {
    for (const [id, until] of goneUntil) {
      if (now >= until) goneUntil.delete(id);
    }
  };

  return {
    sync: (rows, since) => {
      const present = new Set(rows.map(({ row }) => row.id));
      for (const { row, version } of rows) put(row, version);
      for (const state of states.values()) {
        // One that became known after the scan began may just not have been seen by it.
        const isNewer = (addedAt.get(state.id) ?? since) > since;
        if (!present.has(state.id) && !isNewer) forget(state);
      }
    },
    put,
    drop: (row) => {
      const state = states.get(row.id);
      goneUntil.set(row.id, later(ctx.clock.now(), GONE_MS));
      if (state) forget(state);
    },
    reported: (report, sentAt, freshUntil) => {
      for (const group of holding.get(report.instance) ?? []) {
        tell(group, { kind: 'reported', report, sentAt, freshUntil });
      }
    },
    silent: (instance, sentAt) => {
      for (const group of holding.get(instance) ?? []) {
        tell(group, { kind: 'silent', instance, sentAt });
      }
    },
    stated: (group, statement) => {
      tell(group, { kind: 'stated', statement });
    },
    warned: (group, epoch, by) => {
      tell(group, { kind: 'warned', epoch, by });
    },
    evidence: (group, epoch) => {
      tell(group, { kind: 'evidence', epoch });
    },
    tick: (isLeaving) => {
      forgetGone(ctx.clock.now());
      for (const state of states.values()) {
        const leaving = state.row.members.some(({ instance }) => isLeaving(instance));
        if (leaving !== state.leaving) tell(state.id, { kind: 'leaving', leaving });
        else if (state.routable) tell(state.id, { kind: 'tick' });
      }
    },
    refresh: () => {
      states.forEach(enter);
    },
    all: () => [...states.values()],
    get: (group) => states.get(group),
    until: (group) => {
      const state = states.get(group);
      return state && routableUntil(state, ctx.clock.now());
    },
    ofModel: (model) => entries.get(model)?.values() ?? [],
    changes,
  };
}

/** The group as the request plane sees it. */
export function entryOf(state: WatchState, maxBatch: number, now: MonoTime): WatchEntry {
  const until = routableUntil(state, now);
  const first = state.row.members[0];
  if (until === undefined || !first) return { state };
  const { id, model, domain, epoch, members } = state.row;
  const { address } = first;
  const fixed = { id, model, domain, epoch, address, members, maxBatch };
  return { state, routable: { ...fixed, routableUntil: until } };
}

/** Runs the watch reducers of all groups, which determine the groups that are routable. */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import type { EngineReport, GroupRow, RoutableGroup, Versioned } from '../../core/groups/types';
import { createWatch, reduceWatch, routableUntil } from '../../core/groups/watch';
import type { Statement, StatementSource, WatchEvent, WatchState } from '../../core/groups/watch';
import { later } from '../../core/ids';
import type { DomainId, Epoch, GroupId, InstanceId, ModelId, MonoTime } from '../../core/ids';
import { stepContext } from './context';
import type { ControlContext } from './context';

/** A group that became (`ready`) or stopped being (`lost`) routable. */
export interface WatchChange {
  readonly group: GroupId;
  readonly domain: DomainId;
  readonly epoch: Epoch;
  readonly kind: 'ready' | 'lost';
}

/** Watch states of all known groups. */
export interface Watches {
  /** Applies a scan of all groups in the table that began at `since`. */
  sync(rows: readonly Versioned<GroupRow>[], since: MonoTime): void;
  /** Adds or updates one group by its row. */
  put(row: GroupRow, version: number): void;
  /** Removes a dissolved group. */
  drop(row: GroupRow): void;
  /** Applies an engine's report, valid until `freshUntil`. */
  reported(report: EngineReport, sentAt: MonoTime, freshUntil: MonoTime): void;
  /** Applies a probe without an answer. */
  silent(instance: InstanceId, sentAt: MonoTime): void;
  /** Applies a peer's statement that a group is complete. */
  stated(group: GroupId, statement: Statement): void;
  /** Applies a peer's warning that a group is not complete. */
  warned(group: GroupId, epoch: Epoch, by: StatementSource): void;
  /** Applies a failed request, which makes the group unroutable until a fresh probe. */
  evidence(group: GroupId, epoch: Epoch): void;
  tick(isLeaving: (instance: InstanceId) => boolean): void;
  /** Applies the batch sizes of a changed configuration. */
  rebuildEntries(): void;
  all(): readonly WatchState[];
  readonly get: (group: GroupId) => WatchState | undefined;
  until(group: GroupId): MonoTime | undefined;
  /** All groups of one model, routable or not. */
  ofModel(model: ModelId): Iterable<WatchEntry>;
  readonly changes: Observable<WatchChange>;
}

/** A group with what the request plane needs of it, replaced at each change. */
export interface WatchEntry {
  readonly state: WatchState;
  /** Absent while the group is not routable. */
  readonly routable?: RoutableGroup;
}

/** How long a dissolved group is remembered; exceeds the delay of any gossip of its row. */
const DISSOLVED_RETENTION_MS = 60_000;

/** A model's groups are probed once none of them stays routable for longer than this. */
const RENEW_BEFORE_MS = 1_000;

/** Called for groups that are not routable, or soon won't be. */
export interface RoutableHooks {
  readonly missing: (state: WatchState) => void;
  readonly expiring: (state: WatchState) => void;
}

/** The routable groups among a model's entries, at the cost of two comparisons for each entry. */
export function selectRoutable(
  entries: Iterable<WatchEntry>,
  now: MonoTime,
  { missing, expiring }: RoutableHooks,
): readonly RoutableGroup[] {
  const groups: RoutableGroup[] = [];
  const expiringStates: WatchState[] = [];
  for (const { state, routable } of entries) {
    if (!routable || now >= routable.routableUntil) {
      missing(state);
      continue;
    }
    groups.push(routable);
    if (routable.routableUntil - now < RENEW_BEFORE_MS) expiringStates.push(state);
  }
  // No probes while some group stays fresh and takes the requests: probes are rate-limited.
  if (expiringStates.length === groups.length) expiringStates.forEach(expiring);
  return groups;
}

export function createWatches(ctx: ControlContext): Watches {
  const states = new Map<GroupId, WatchState>();
  /** Precomputed, because the request plane reads them on every request. */
  const entries = new Map<ModelId, Map<GroupId, WatchEntry>>();
  const addedAt = new Map<GroupId, MonoTime>();
  const dissolvedUntil = new Map<GroupId, MonoTime>();
  const groupsByInstance = new Map<InstanceId, Set<GroupId>>();
  const changes = new Subject<WatchChange>();

  const indexMembers = (state: WatchState): void => {
    for (const { instance } of state.row.members) {
      const groups = groupsByInstance.get(instance) ?? new Set();
      groupsByInstance.set(instance, groups.add(state.id));
    }
  };

  const unindexMembers = (state: WatchState): void => {
    for (const { instance } of state.row.members) {
      const groups = groupsByInstance.get(instance);
      groups?.delete(state.id);
      if (groups?.size === 0) groupsByInstance.delete(instance);
    }
  };

  const updateEntry = (state: WatchState): void => {
    const { model } = state.row;
    const ofModel = entries.get(model) ?? new Map<GroupId, WatchEntry>();
    const maxBatch = ctx.config.current().models[model]?.maxBatch ?? 1;
    entries.set(model, ofModel.set(state.id, toWatchEntry(state, maxBatch, ctx.clock.now())));
  };

  const dispatch = (group: GroupId, event: WatchEvent): void => {
    const before = states.get(group);
    if (!before) return;
    const { state, effects } = reduceWatch(before, event, stepContext(ctx));
    if (state.row !== before.row) {
      unindexMembers(before);
      indexMembers(state);
    }
    states.set(group, state);
    if (state !== before) updateEntry(state);
    for (const { kind } of effects) emit(state, kind);
  };

  const emit = ({ id, row }: WatchState, kind: WatchChange['kind']): void => {
    changes.next({ group: id, domain: row.domain, epoch: row.epoch, kind });
  };

  const put = (row: GroupRow, version: number): void => {
    if (states.has(row.id)) {
      dispatch(row.id, { kind: 'row', row, version });
      return;
    }
    if (dissolvedUntil.has(row.id)) return;
    const state = createWatch(row, version);
    states.set(row.id, state);
    addedAt.set(row.id, ctx.clock.now());
    indexMembers(state);
    updateEntry(state);
  };

  const remove = (state: WatchState): void => {
    states.delete(state.id);
    addedAt.delete(state.id);
    entries.get(state.row.model)?.delete(state.id);
    unindexMembers(state);
    if (state.routable) emit(state, 'lost');
  };

  const expireDissolved = (now: MonoTime): void => {
    for (const [id, until] of dissolvedUntil) {
      if (now >= until) dissolvedUntil.delete(id);
    }
  };

  return {
    sync: (rows, since) => {
      const present = new Set(rows.map(({ row }) => row.id));
      for (const { row, version } of rows) put(row, version);
      for (const state of states.values()) {
        // A group added after the scan began may be missing from its result.
        const isNewer = (addedAt.get(state.id) ?? since) > since;
        if (!present.has(state.id) && !isNewer) remove(state);
      }
    },
    put,
    drop: (row) => {
      const state = states.get(row.id);
      dissolvedUntil.set(row.id, later(ctx.clock.now(), DISSOLVED_RETENTION_MS));
      if (state) remove(state);
    },
    reported: (report, sentAt, freshUntil) => {
      for (const group of groupsByInstance.get(report.instance) ?? []) {
        dispatch(group, { kind: 'reported', report, sentAt, freshUntil });
      }
    },
    silent: (instance, sentAt) => {
      for (const group of groupsByInstance.get(instance) ?? []) {
        dispatch(group, { kind: 'silent', instance, sentAt });
      }
    },
    stated: (group, statement) => {
      dispatch(group, { kind: 'stated', statement });
    },
    warned: (group, epoch, by) => {
      dispatch(group, { kind: 'warned', epoch, by });
    },
    evidence: (group, epoch) => {
      dispatch(group, { kind: 'evidence', epoch });
    },
    tick: (isLeaving) => {
      expireDissolved(ctx.clock.now());
      for (const state of states.values()) {
        const leaving = state.row.members.some(({ instance }) => isLeaving(instance));
        if (leaving !== state.leaving) dispatch(state.id, { kind: 'leaving', leaving });
        else if (state.routable) dispatch(state.id, { kind: 'tick' });
      }
    },
    rebuildEntries: () => {
      states.forEach(updateEntry);
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

/** The entry of a group; `routable` is set while the group may receive requests. */
export function toWatchEntry(state: WatchState, maxBatch: number, now: MonoTime): WatchEntry {
  const until = routableUntil(state, now);
  const first = state.row.members[0];
  if (until === undefined || !first) return { state };
  const { id, model, domain, epoch, members } = state.row;
  const { address } = first;
  const group = { id, model, domain, epoch, address, members, maxBatch };
  return { state, routable: { ...group, routableUntil: until } };
}

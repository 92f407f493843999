/**
 * Decides which slow groups to check and whether their slow members are replaced by spares.
 *
 * Load pattern: a group runs at the speed of its slowest member. Single servers become slow by a factor of
 * 3 to 6, for five seconds and longer, while the callers of all other members wait for them. A whole domain
 * or zone may become slow as well; its spares are then as slow as its members, and a replacement gains
 * nothing.
 */

import { findOpenGroups, collectGroups } from '../groups';
import type { ReplicaGroup } from '../groups';
import { later } from '../../ids';
import type { DomainId, GroupId, InstanceId, ModelId, MonoTime } from '../../ids';
import type { BackendServer, ModelSpec } from '../types';
import { isEvacuated } from './evacuated';
import { joinCost } from './form';
import { excludeHeldSpares } from './held-spares';
import { collectFreeServers, isReturning, sortByJoinTime } from './members';
import { isReplacementWorthwhile } from './slow-reports';
import type { SlowCheck, Spare } from './slow-reports';
import { draftOf, isSlow, isSuspect } from './state';
import type { Draft, FormingState, FormingView } from './state';

/** Slowdown factor from which a group misses the latency objective of most requests. */
const SLOW_GROUP = 1.9;
/** A group is checked once it has been that slow for this long, so that one late pass is no reason. */
const SLOW_GROUP_MS = 1_000;
/** Reports of a group's members, or of a slow server, are requested at most this often. */
export const REPORT_INTERVAL_MS = 2_000;
/** Age of a slow period when the leader first sees the group as slow: loads are up to 400 ms old. */
const DETECTION_MS = 500;
/**
 * Checks in one interval. A report takes about 500 bytes and a check of a group of twelve fifteen reports, so
 * this keeps the leader within 8 KB/s when a whole fleet is slow.
 */
const MAX_CHECKS_PER_INTERVAL = 2;
/** Of this many groups of a model, one is changed at a time. */
const GROUPS_PER_CHANGE = 4;
/** Spares of a domain that are asked for reports: two members of a group are rarely slow at once. */
const MAX_SPARES_ASKED = 3;
/** A domain or zone with at least so many open groups is slow as a whole if more than this share is slow. */
const MIN_AREA_GROUPS = 3;
const SLOW_AREA_SHARE = 2 / 3;

/** Input of `findSlowChecks`. */
export interface SlowCheckInput {
  readonly state: FormingState;
  readonly view: FormingView;
  readonly now: MonoTime;
  /** Slowdown factors of groups, by head. */
  readonly slowdowns: ReadonlyMap<InstanceId, number>;
  /** Since when each slow group has been slow; see `trackSlowGroups`. */
  readonly slowSince: ReadonlyMap<GroupId, MonoTime>;
  /** When the members of each group were last asked. */
  readonly askedAt: ReadonlyMap<GroupId, MonoTime>;
}

/** Since when each group that is slow now has been slow. */
export function trackSlowGroups({
  view,
  now,
  slowdowns,
  slowSince,
}: Omit<SlowCheckInput, 'state' | 'askedAt'>): ReadonlyMap<GroupId, MonoTime> {
  const slow = findOpenGroups(view.servers.values()).filter(
    ({ head }) => (slowdowns.get(head.id) ?? 1) >= SLOW_GROUP,
  );
  return new Map(slow.map(({ id }) => [id, slowSince.get(id) ?? now]));
}

/** Number of groups of the model that may be changed now beside those that are ending or being formed. */
function countChangeable(draft: Draft, model: ModelId): number {
  const ending = [...draft.retirements.values()].filter(
    (retirement) =>
      isReturning(draft, retirement) && (retirement.model ?? retirement.head?.model) === model,
  );
  const forming = [...draft.formations.values()].filter(
    (formation) => formation.model === model && !formation.isStandby,
  );
  const open = findOpenGroups(draft.view.servers.values()).filter(
    (group) =>
      group.model === model && !draft.retirements.has(group.id) && !draft.formations.has(group.id),
  );
  const changing = ending.length + forming.length;
  return Math.floor((open.length + changing) / GROUPS_PER_CHANGE) - changing;
}

function specOf({ view }: Draft, { model }: ReplicaGroup): ModelSpec | undefined {
  return view.engine.models.find(({ name }) => name === model);
}

type FreeServers = ReadonlyMap<DomainId, readonly BackendServer[]>;

/** Spares of normal speed that can join the group without a weight load, the preferred first. */
function listSpares(
  draft: Draft,
  { domain }: ReplicaGroup,
  { model, free }: { readonly model: ModelSpec; readonly free: FreeServers },
): readonly Spare[] {
  if (domain === undefined) return [];
  return sortByJoinTime(draft, excludeHeldSpares(draft, domain, free.get(domain) ?? []), model)
    .filter((server) => !isSlow(draft, server.id) && !joinCost(draft, server, model).isLoad)
    .map((server) => ({ server, joinMs: joinCost(draft, server, model).ms }));
}

/** Whether the group's slow members can be replaced now. */
export function canReplaceSlow(draft: Draft, group: ReplicaGroup): boolean {
  const slow = group.members.filter(({ id }) => isSlow(draft, id));
  const model = specOf(draft, group);
  if (slow.length === 0 || !model) return false;
  const free = collectFreeServers(draft);
  if (listSpares(draft, group, { model, free }).length < slow.length) return false;
  return countChangeable(draft, model.name) >= 1;
}

/** Whether the group serves with all its members, none of which is to be replaced already. */
function isIntact(draft: Draft, { id, head, members }: ReplicaGroup, size: number): boolean {
  if (head?.membership?.state !== 'open' || members.length !== size) return false;
  if (draft.retirements.has(id) || draft.formations.has(id)) return false;
  return members.every(
    (server) =>
      !server.isDraining &&
      !isEvacuated(draft, server) &&
      !isSuspect(draft, server.id) &&
      !isSlow(draft, server.id),
  );
}

/** Domains and zones that are slow as a whole. */
function findSlowAreas({ view, slowSince }: SlowCheckInput): ReadonlySet<string> {
  const counts = new Map<string, { open: number; slow: number }>();
  for (const { id, head } of findOpenGroups(view.servers.values())) {
    for (const area of areasOf(head)) {
      const count = counts.get(area) ?? { open: 0, slow: 0 };
      count.open += 1;
      if (slowSince.has(id)) count.slow += 1;
      counts.set(area, count);
    }
  }
  const isSlowArea = ({ open, slow }: { open: number; slow: number }): boolean =>
    open >= MIN_AREA_GROUPS && slow > SLOW_AREA_SHARE * open;
  return new Set([...counts].flatMap(([area, count]) => (isSlowArea(count) ? [area] : [])));
}

function areasOf({ domain, zone }: BackendServer): readonly string[] {
  return [`domain ${domain}`, `zone ${zone}`];
}

/** What is the same for all groups of one `findSlowChecks`. */
interface CheckContext {
  readonly input: SlowCheckInput;
  readonly draft: Draft;
  readonly free: FreeServers;
  readonly slowAreas: ReadonlySet<string>;
}

/** The check of a group, if a replacement is possible now and worthwhile. */
function toCheck(
  { input, draft, free, slowAreas }: CheckContext,
  group: ReplicaGroup,
): SlowCheck | undefined {
  const { slowSince, askedAt, slowdowns, now } = input;
  const { id, head, members } = group;
  const since = slowSince.get(id);
  const lastAt = askedAt.get(id);
  if (since === undefined || !head || now < later(since, SLOW_GROUP_MS)) return undefined;
  if (lastAt !== undefined && now < later(lastAt, REPORT_INTERVAL_MS)) return undefined;
  const spec = specOf(draft, group);
  if (!spec || !isIntact(draft, group, spec.size)) return undefined;
  if (areasOf(head).some((area) => slowAreas.has(area))) return undefined;
  const spares = listSpares(draft, group, { model: spec, free }).slice(0, MAX_SPARES_ASKED);
  const slowForMs = DETECTION_MS + now - since;
  const slowdown = slowdowns.get(head.id) ?? 1;
  const [first] = spares;
  if (!first) return undefined;
  if (!isReplacementWorthwhile(slowForMs, { gain: slowdown, joinMs: first.joinMs }))
    return undefined;
  return { group: id, model: spec.name, members, spares, slowdown, slowForMs };
}

/**
 * The groups to check now: not more than may be changed, those that were not checked for longest first.
 */
export function findSlowChecks(input: SlowCheckInput): readonly SlowCheck[] {
  const { state, view, now, slowSince, askedAt } = input;
  if (![...slowSince.values()].some((since) => now >= later(since, SLOW_GROUP_MS))) return [];
  const draft = draftOf(state, view, now);
  const recent = [...askedAt.values()].filter((at) => now < later(at, REPORT_INTERVAL_MS));
  const free = collectFreeServers(draft);
  const context = { input, draft, free, slowAreas: findSlowAreas(input) };
  const byTurn = (a: SlowCheck, b: SlowCheck): number =>
    (askedAt.get(a.group) ?? 0) - (askedAt.get(b.group) ?? 0) || b.slowdown - a.slowdown;
  const checks = collectGroups(view.servers.values())
    .flatMap((group) => toCheck(context, group) ?? [])
    .sort(byTurn);
  return view.engine.models
    .flatMap(({ name }) => {
      const changeable = Math.max(0, countChangeable(draft, name));
      return checks.filter(({ model }) => model === name).slice(0, changeable);
    })
    .sort(byTurn)
    .slice(0, Math.max(0, MAX_CHECKS_PER_INTERVAL - recent.length));
}

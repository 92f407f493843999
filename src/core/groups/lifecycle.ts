/** Plans the next change of existing groups: one transaction at most, by the first rule to apply. */

import { later } from '../ids';
import type { Epoch, InstanceId, MonoTime } from '../ids';
import { CHOOSE_POLICIES, REPLACE_POLICIES, findLender } from './policies';
import type { DomainState, GroupTransaction } from './domain-types';
import {
  groupsOf,
  healthOf,
  isDrained,
  isRemoved,
  isWanted,
  isWarm,
  leavingMembers,
  memberOf,
  unresponsiveMembers,
  planOf,
  isServing,
  unresponsiveFor,
} from './health';
import { changeGroup, dissolveGroup } from './rows';
import type { GroupRow } from './types';

type Rule = (state: DomainState, row: GroupRow, now: MonoTime) => GroupTransaction | undefined;

/** In order of precedence: the first rule that returns a transaction wins. */
const RULES: readonly Rule[] = [
  dissolveDrained,
  drainUnwanted,
  replaceUnresponsive,
  replaceLeaving,
  restartBroken,
  confirmServing,
];

/** The next transaction of any group of the domain. */
export function planGroups(state: DomainState, now: MonoTime): GroupTransaction | undefined {
  const isDown = state.downSince !== undefined;
  for (const row of groupsOf(state)) {
    const tx = isDown ? dissolveAfterOutage(state, row, now) : applyRules(state, row, now);
    if (tx) return tx;
  }
  return undefined;
}

function applyRules(
  state: DomainState,
  row: GroupRow,
  now: MonoTime,
): GroupTransaction | undefined {
  for (const rule of RULES) {
    const tx = rule(state, row, now);
    if (tx) return tx;
  }
  return undefined;
}

function isDrainOver(state: DomainState, row: GroupRow, now: MonoTime): boolean {
  const until = state.drainUntil[row.id];
  return isDrained(state, row, now) || (until !== undefined && now >= until);
}

function dissolveDrained(state: DomainState, row: GroupRow, now: MonoTime) {
  if (row.phase !== 'draining' || !isDrainOver(state, row, now)) return undefined;
  return dissolveGroup(state, row.id, 'drained');
}

function drainUnwanted(state: DomainState, row: GroupRow, now: MonoTime) {
  if (row.phase === 'draining' || isWanted(state, row)) return undefined;
  if (mustWaitForOthers(state, row, now)) return undefined;
  return changeGroup(state, row.id, { phase: 'draining' }, 'unwanted');
}

/** Groups of which only the size changed are drained one at a time, so that some always serve. */
function mustWaitForOthers(state: DomainState, row: GroupRow, now: MonoTime): boolean {
  const plan = planOf(state, row);
  if (!plan || (row.slot ?? 0) >= plan.replicas || !isServing(state, row, now)) return false;
  const others = groupsOf(state).filter(({ id, model }) => model === row.model && id !== row.id);
  const isOpen = state.openSlots.some(({ model }) => model === row.model);
  return (
    isOpen || others.some((other) => other.phase !== 'serving' || !isServing(state, other, now))
  );
}

function replaceUnresponsive(state: DomainState, row: GroupRow, now: MonoTime) {
  if (row.phase === 'draining') return undefined;
  const missing = unresponsiveMembers(state, row, now);
  const plan = planOf(state, row);
  if (missing.length === 0 || !plan) return undefined;
  const chosen = CHOOSE_POLICIES[plan.policies.choose](state, plan, now);
  const durationsMs = missing.map((id) => unresponsiveMsOf(state, id, now));
  const isDue = missing.every((id, i) => {
    if (isRemoved(state, state.instances[id], now)) return true;
    const spare = chosen[i];
    const warm = spare !== undefined && isWarm(state, spare, plan.id);
    const replacement = { unresponsiveMs: durationsMs[i] ?? 0, warm, settings: state.settings };
    return REPLACE_POLICIES[plan.policies.replace](replacement);
  });
  if (isDue && chosen.length >= missing.length)
    return replaceMembers(state, row, missing, chosen, 'replace');
  if (chosen.length >= missing.length) return undefined;
  return borrow(state, row, Math.min(...durationsMs), now);
}

function unresponsiveMsOf(state: DomainState, id: InstanceId, now: MonoTime): number {
  const view = state.instances[id];
  return (view && unresponsiveFor(state, view, now)) ?? 0;
}

/** Without enough free instances: drains a group of lower value, or in the end dissolves this one. */
function borrow(state: DomainState, row: GroupRow, unresponsiveMs: number, now: MonoTime) {
  const lender = findLender(state, row, groupsOf(state), unresponsiveMs, now);
  if (lender) return changeGroup(state, lender.id, { phase: 'draining' }, 'lend');
  if (unresponsiveMs < state.settings.dissolveMs) return undefined;
  return dissolveGroup(state, row.id, 'given-up');
}

/** Replaces leaving members once the group is drained. Under policy `preload` their spares load weights meanwhile. */
function replaceLeaving(state: DomainState, row: GroupRow, now: MonoTime) {
  const leaving = leavingMembers(state, row);
  const plan = planOf(state, row);
  if (row.phase === 'draining' || leaving.length === 0 || !plan) return undefined;
  const chosen = CHOOSE_POLICIES[plan.policies.choose](state, plan, now);
  if (chosen.length < leaving.length || !isDrainOver(state, row, now)) return undefined;
  return replaceMembers(state, row, leaving, chosen, 'leaving');
}

/** Restarts a group with the next epoch after a member lost the group, broke or began to drain. */
function restartBroken(state: DomainState, row: GroupRow, now: MonoTime) {
  if (row.phase === 'draining' || leavingMembers(state, row).length > 0) return undefined;
  if (now < (state.restartAt[row.id] ?? now)) return undefined;
  const healths = row.members.map(({ instance }) => healthOf(state, row, instance, now));
  if (!isSettled(state, row)) return undefined;
  const hasLostGroup = row.phase === 'serving' && healths.includes('misassigned');
  if (!hasLostGroup && !healths.includes('broken') && !healths.includes('draining'))
    return undefined;
  return replaceCold(state, row, now) ?? changeGroup(state, row.id, nextEpoch(row), 'restart');
}

/** Whether every member has answered a probe sent since the last change of any member. */
function isSettled(state: DomainState, row: GroupRow): boolean {
  const views = row.members.map(({ instance }) => state.instances[instance]);
  const changedAt = Math.max(...views.map((view) => view?.changedAt ?? 0));
  return views.every(
    (view) =>
      view?.reportedAt !== undefined &&
      view.unresponsiveSince === undefined &&
      view.reportedAt >= changedAt,
  );
}

/** Replaces members that restarted without their weights by spares that hold them. */
function replaceCold(state: DomainState, row: GroupRow, now: MonoTime) {
  const plan = planOf(state, row);
  if (!plan) return undefined;
  const cold = row.members
    .map(({ instance }) => instance)
    .filter((id) => healthOf(state, row, id, now) === 'misassigned' && !isWarm(state, id, plan.id));
  const warm = CHOOSE_POLICIES[plan.policies.choose](state, plan, now).filter((id) =>
    isWarm(state, id, plan.id),
  );
  if (plan.policies.choose === 'lowest-id' || cold.length === 0) return undefined;
  return warm.length < cold.length
    ? undefined
    : replaceMembers(state, row, cold, warm, 'swap-cold');
}

function confirmServing(state: DomainState, row: GroupRow, now: MonoTime) {
  if (row.phase !== 'forming' || !isServing(state, row, now)) return undefined;
  return changeGroup(state, row.id, { phase: 'serving' }, 'serving');
}

/** After a long outage, dissolves a group without reachable members: it may form elsewhere. */
function dissolveAfterOutage(state: DomainState, row: GroupRow, now: MonoTime) {
  if (state.downSince === undefined) return undefined;
  if (now < later(state.downSince, state.settings.outageDissolveMs)) return undefined;
  const allSilent = unresponsiveMembers(state, row, now).length === row.members.length;
  return allSilent ? dissolveGroup(state, row.id, 'dark') : undefined;
}

function nextEpoch(row: GroupRow) {
  return { epoch: (row.epoch + 1) as Epoch, phase: 'forming' as const };
}

function replaceMembers(
  state: DomainState,
  row: GroupRow,
  outgoing: readonly InstanceId[],
  chosen: readonly InstanceId[],
  reason: string,
): GroupTransaction | undefined {
  const incoming = chosen.slice(0, outgoing.length);
  const members = row.members.map((member) => {
    const index = outgoing.indexOf(member.instance);
    const id = index < 0 ? undefined : incoming[index];
    return id === undefined ? member : memberOf(state, id);
  });
  return changeGroup(state, row.id, { ...nextEpoch(row), members }, reason);
}

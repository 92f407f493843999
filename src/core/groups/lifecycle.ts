/** What a group needs next: at most one transaction, by the first rule that applies. */

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

/** In order; the first that gives a transaction wins. */
const RULES: readonly Rule[] = [
  endDrained,
  drainUnwanted,
  replaceSilent,
  replaceLeaving,
  restartBroken,
  confirmServing,
];

/** The next transaction of any group of the domain. */
export function planGroups(state: DomainState, now: MonoTime): GroupTransaction | undefined {
  const dark = state.darkSince !== undefined;
  for (const row of groupsOf(state)) {
    const tx = dark ? giveUpDark(state, row, now) : firstOf(state, row, now);
    if (tx) return tx;
  }
  return undefined;
}

function firstOf(state: DomainState, row: GroupRow, now: MonoTime): GroupTransaction | undefined {
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

function endDrained(state: DomainState, row: GroupRow, now: MonoTime) {
  if (row.phase !== 'draining' || !isDrainOver(state, row, now)) return undefined;
  return dissolveGroup(state, row.id, 'drained');
}

function drainUnwanted(state: DomainState, row: GroupRow, now: MonoTime) {
  if (row.phase === 'draining' || isWanted(state, row)) return undefined;
  if (mustWaitItsTurn(state, row, now)) return undefined;
  return changeGroup(state, row.id, { phase: 'draining' }, 'unwanted');
}

/** Groups whose size alone has changed give way one after the other, so that some always serve. */
function mustWaitItsTurn(state: DomainState, row: GroupRow, now: MonoTime): boolean {
  const plan = planOf(state, row);
  if (!plan || (row.slot ?? 0) >= plan.replicas || !isServing(state, row, now)) return false;
  const others = groupsOf(state).filter(({ id, model }) => model === row.model && id !== row.id);
  const isOpen = state.openSlots.some(({ model }) => model === row.model);
  return (
    isOpen || others.some((other) => other.phase !== 'serving' || !isServing(state, other, now))
  );
}

function replaceSilent(state: DomainState, row: GroupRow, now: MonoTime) {
  if (row.phase === 'draining') return undefined;
  const missing = unresponsiveMembers(state, row, now);
  const plan = planOf(state, row);
  if (missing.length === 0 || !plan) return undefined;
  const chosen = CHOOSE_POLICIES[plan.policies.choose](state, plan, now);
  const silences = missing.map((id) => silenceOf(state, id, now));
  const due = missing.every((id, i) => {
    if (isRemoved(state, state.instances[id], now)) return true;
    const spare = chosen[i];
    const warm = spare !== undefined && isWarm(state, spare, plan.id);
    const found = { silentMs: silences[i] ?? 0, warm, settings: state.settings };
    return REPLACE_POLICIES[plan.policies.replace](found);
  });
  if (due && chosen.length >= missing.length) return swap(state, row, missing, chosen, 'replace');
  if (chosen.length >= missing.length) return undefined;
  return borrow(state, row, Math.min(...silences), now);
}

function silenceOf(state: DomainState, id: InstanceId, now: MonoTime): number {
  const view = state.instances[id];
  return (view && unresponsiveFor(state, view, now)) ?? 0;
}

/** No free instance: take them from a group of less value, or give the survivors back. */
function borrow(state: DomainState, row: GroupRow, silence: number, now: MonoTime) {
  const lender = findLender(state, row, groupsOf(state), silence, now);
  if (lender) return changeGroup(state, lender.id, { phase: 'draining' }, 'lend');
  if (silence < state.settings.dissolveMs) return undefined;
  return dissolveGroup(state, row.id, 'given-up');
}

/** Leaving members are replaced once the group is drained and the spare holds the weights. */
function replaceLeaving(state: DomainState, row: GroupRow, now: MonoTime) {
  const leaving = leavingMembers(state, row);
  const plan = planOf(state, row);
  if (row.phase === 'draining' || leaving.length === 0 || !plan) return undefined;
  const chosen = CHOOSE_POLICIES[plan.policies.choose](state, plan, now);
  if (chosen.length < leaving.length || !isDrainOver(state, row, now)) return undefined;
  return swap(state, row, leaving, chosen, 'leaving');
}

/** Starts a group again, with the next epoch, after a member lost it or it broke. */
function restartBroken(state: DomainState, row: GroupRow, now: MonoTime) {
  if (row.phase === 'draining' || leavingMembers(state, row).length > 0) return undefined;
  if (now < (state.restartAt[row.id] ?? now)) return undefined;
  const healths = row.members.map(({ instance }) => healthOf(state, row, instance, now));
  if (!isSettled(state, row)) return undefined;
  const lost = row.phase === 'serving' && healths.includes('astray');
  if (!lost && !healths.includes('broken') && !healths.includes('draining')) return undefined;
  return swapCold(state, row, now) ?? changeGroup(state, row.id, nextEpoch(row), 'restart');
}

/** Whether every member answered a probe sent after the last of them changed. */
function isSettled(state: DomainState, row: GroupRow): boolean {
  const views = row.members.map(({ instance }) => state.instances[instance]);
  const changedAt = Math.max(...views.map((view) => view?.changedAt ?? 0));
  return views.every(
    (view) =>
      view?.reportedAt !== undefined &&
      view.silentSince === undefined &&
      view.reportedAt >= changedAt,
  );
}

/** A member that restarted without its weights gives way to a spare that holds them. */
function swapCold(state: DomainState, row: GroupRow, now: MonoTime) {
  const plan = planOf(state, row);
  if (!plan) return undefined;
  const cold = row.members
    .map(({ instance }) => instance)
    .filter((id) => healthOf(state, row, id, now) === 'astray' && !isWarm(state, id, plan.id));
  const warm = CHOOSE_POLICIES[plan.policies.choose](state, plan, now).filter((id) =>
    isWarm(state, id, plan.id),
  );
  if (plan.policies.choose === 'lowest-id' || cold.length === 0) return undefined;
  return warm.length < cold.length ? undefined : swap(state, row, cold, warm, 'swap-cold');
}

function confirmServing(state: DomainState, row: GroupRow, now: MonoTime) {
  if (row.phase !== 'forming' || !isServing(state, row, now)) return undefined;
  return changeGroup(state, row.id, { phase: 'serving' }, 'serving');
}

/** A domain dark for long: its groups may form elsewhere. */
function giveUpDark(state: DomainState, row: GroupRow, now: MonoTime) {
  if (state.darkSince === undefined) return undefined;
  if (now < later(state.darkSince, state.settings.outageDissolveMs)) return undefined;
  const allSilent = unresponsiveMembers(state, row, now).length === row.members.length;
  return allSilent ? dissolveGroup(state, row.id, 'dark') : undefined;
}

function nextEpoch(row: GroupRow) {
  return { epoch: (row.epoch + 1) as Epoch, phase: 'forming' as const };
}

function swap(
  state: DomainState,
  row: GroupRow,
  out: readonly InstanceId[],
  chosen: readonly InstanceId[],
  reason: string,
): GroupTransaction | undefined {
  const into = chosen.slice(0, out.length);
  const members = row.members.map((member) => {
    const at = out.indexOf(member.instance);
    const id = at < 0 ? undefined : into[at];
    return id === undefined ? member : memberOf(state, id);
  });
  return changeGroup(state, row.id, { ...nextEpoch(row), members }, reason);
}

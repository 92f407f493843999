/**
 * Changes servers of a domain from one model to another while models compete for servers.
 *
 * Load pattern: at the peaks of its waves a large model's callers are refused while a small model's groups
 * have room. A group of the large model takes the servers of several small groups of one domain, most of
 * which would have to load weights for 16 s. So the weights are staged first, while all groups serve; then
 * the change is judged again, and the groups are ended only if it is still worth it. Between the two only
 * the time passes in which streams end and a staged model starts, about four seconds.
 */

import { later } from '../../ids';
import type { ModelId } from '../../ids';
import type { ReplicaGroup } from '../groups';
import { countGroups } from './compose';
import { bestChange, horizonOf, listDomains } from './domain-changes';
import type { DomainChange, DomainState } from './domain-changes';
import { canStartLoads } from './loads';
import { contendedSupply } from './need';
import { claimDomain } from './rebalance';
import type { DomainClaims } from './rebalance';
import {
  dropReassignment,
  listPending,
  pruneReassignments,
  setReassignment,
  wouldUndo,
} from './reassignments';
import { startRetirement } from './retire';
import { stage } from './spares';
import type { Draft, Reassignment } from './state';
import { chooseChange, isWorthMaking, judgeChange, withChange } from './worth';
import type { Supply } from './worth';

/** At most one change at a time per this many domains, so that most of each model's groups serve meanwhile. */
const DOMAINS_PER_CHANGE = 4;

/** Changes are judged as often as the demand is sampled. */
const MIN_JUDGE_INTERVAL_MS = 500;
/** In a large fleet they are judged less often: each domain takes about 0.4 ms of processor time. */
const JUDGE_MS_PER_DOMAIN = 60;

function record(
  draft: Draft,
  change: DomainChange,
  facts: Pick<Reassignment, 'step' | 'worth'>,
): void {
  const { domain, model, gained, lost, unstaged, prepareMs } = change;
  const loads = unstaged.length;
  setReassignment(draft, domain, { model, gained, lost, loads, prepareMs, ...facts });
}

/** Ends the change's groups; the domain's free servers are then kept for the model. */
function endGroups(draft: Draft, { ended }: DomainChange): void {
  for (const { id, epoch, head, members } of ended)
    startRetirement(draft, { group: id, epoch, head, members }, 'finish');
}

/** Continues a change whose weights are being staged; ends the groups once all are staged. */
function continueStaging(
  draft: Draft,
  supply: Supply | undefined,
  state: DomainState | undefined,
  { model }: Reassignment,
): void {
  const spec = draft.view.engine.models.find(({ name }) => name === model);
  const change = supply && state && spec && bestChange(draft, supply, spec, state);
  if (!change || change.ended.length === 0) {
    if (state) dropReassignment(draft, state.domain);
    return;
  }
  const { loadsAtOnce } = draft.view.engine;
  for (const server of change.unstaged) stage(draft, server, change.spec, loadsAtOnce);
  if (change.unstaged.length > 0) return;
  const worth = judgeChange(supply, change, horizonOf(draft, change));
  if (!isWorthMaking(change, worth, true)) {
    dropReassignment(draft, change.domain);
    return;
  }
  record(draft, change, { step: 'ending', worth });
  endGroups(draft, change);
}

/** Begins the change that is worth most, unless as many are being made as loads and callers permit. */
function beginChange(draft: Draft, supply: Supply, domains: readonly DomainState[]): void {
  const pending = listPending(draft);
  if (pending.length >= Math.max(1, Math.floor(domains.length / DOMAINS_PER_CHANGE))) return;
  const planned = pending.reduce((before, [, change]) => withChange(before, change), supply);
  const changes = domains
    .filter(({ domain }) => !draft.reassignments.has(domain))
    .flatMap((state) =>
      draft.view.engine.models
        .filter(({ name }) => (supply.demand.get(name)?.unserved ?? 0) > 0)
        .flatMap((spec) => bestChange(draft, planned, spec, state) ?? []),
    )
    .filter(({ ended, model, lost }) => ended.length > 0 && !wouldUndo(draft, model, lost));
  const chosen = chooseChange(planned, changes, (change) => horizonOf(draft, change));
  if (!chosen) return;
  const { change, worth } = chosen;
  const isStaged = change.unstaged.length === 0;
  const { loadsAtOnce } = draft.view.engine;
  const loads = Math.min(change.unstaged.length, loadsAtOnce);
  if (!canStartLoads(draft, loads, loadsAtOnce)) return;
  record(draft, change, { step: isStaged ? 'ending' : 'staging', worth });
  if (isStaged) endGroups(draft, change);
}

/** Whether changes are to be judged in this plan. */
function isJudgingDue(draft: Draft): boolean {
  const { judgedAt, now, arrivals } = draft;
  const intervalMs = Math.max(MIN_JUDGE_INTERVAL_MS, JUDGE_MS_PER_DOMAIN * arrivals.size);
  if (judgedAt !== undefined && now < later(judgedAt, intervalMs)) return false;
  draft.judgedAt = now;
  return true;
}

/** Continues the changes that are being made, and begins one if it is worth it. */
function judgeChanges(
  draft: Draft,
  supply: Supply | undefined,
  groups: readonly ReplicaGroup[],
): void {
  const domains = listDomains(draft, groups);
  for (const [domain, reassignment] of listPending(draft)) {
    const state = domains.find((each) => each.domain === domain);
    if (reassignment.step === 'staging') continueStaging(draft, supply, state, reassignment);
    else if (!canForm(draft, state, reassignment.model)) dropReassignment(draft, domain);
  }
  if (supply) beginChange(draft, supply, domains);
}

/** Domains whose groups were ended for a model. */
function listClaims(draft: Draft): DomainClaims {
  const { models } = draft.view.engine;
  return new Map(
    listPending(draft).flatMap(([domain, { model, step }]) => {
      const spec = models.find(({ name }) => name === model);
      return spec && step === 'ending' ? [[domain, spec] as const] : [];
    }),
  );
}

/** Claims domains for models that lack groups, and ends groups of other models there if necessary. */
export function claimDomains(draft: Draft, groups: readonly ReplicaGroup[]): DomainClaims {
  pruneReassignments(draft);
  const counts = countGroups(draft, groups);
  const supply = contendedSupply(draft, counts);
  const pending = listPending(draft);
  if ((supply || pending.length > 0) && isJudgingDue(draft)) judgeChanges(draft, supply, groups);
  const isPromised = (name: ModelId): boolean => pending.some(([, { model }]) => model === name);
  const lacksAll = draft.view.engine.models.some(
    ({ name }) => !counts.has(name) && !isPromised(name),
  );
  // The present rules would undo a change that they don't know of.
  const isByNeed = lacksAll || (!supply && draft.reassignments.size === 0);
  return new Map([...(isByNeed ? claimDomain(draft, groups) : []), ...listClaims(draft)]);
}

/** Whether the domain's free servers and those of its ending groups still suffice for a group. */
function canForm(draft: Draft, state: DomainState | undefined, model: ModelId): boolean {
  const size = draft.view.engine.models.find(({ name }) => name === model)?.size ?? Infinity;
  return (state?.obtainable.length ?? 0) >= size;
}

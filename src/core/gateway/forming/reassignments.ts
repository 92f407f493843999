/** Records the changes of domains' servers from one model to another, so that a later plan continues them. */

import { later } from '../../ids';
import type { DomainId, ModelId } from '../../ids';
import type { Draft, Reassignment, ReassignmentStep } from './state';
import type { GroupChange } from './worth';

/**
 * Time for which a domain is not changed again, and no change is undone elsewhere: the demand has then been
 * measured anew.
 */
const SETTLE_MS = 30_000;
/** Added to the time in which staging or ending should be over. */
const SLACK_MS = 5_000;

/** Time until a step is given up; staging runs at the weight store's shared bandwidth. */
function stepMs(draft: Draft, step: ReassignmentStep, prepareMs: number): number {
  if (step === 'staging') return 2 * prepareMs + SLACK_MS;
  return step === 'ending' ? draft.settings.finishTimeoutMs + SLACK_MS : SETTLE_MS;
}

/** Sets the step of the domain's change. */
export function setReassignment(
  draft: Draft,
  domain: DomainId,
  of: Omit<Reassignment, 'until'> & Partial<Pick<GroupChange, 'prepareMs'>>,
): void {
  const { prepareMs = 0, ...facts } = of;
  const until = later(draft.now, stepMs(draft, of.step, prepareMs));
  draft.reassignments.set(domain, { ...facts, until });
}

function endReassignment(draft: Draft, domain: DomainId, step: 'done' | 'dropped'): void {
  const reassignment = draft.reassignments.get(domain);
  if (reassignment) setReassignment(draft, domain, { ...reassignment, step });
}

/** Gives the domain's change up; groups that were ended are formed by need. */
export function dropReassignment(draft: Draft, domain: DomainId): void {
  endReassignment(draft, domain, 'dropped');
}

/** To be called for a domain without a claim: a change whose groups were ended is then complete. */
export function noteClaimUsed(draft: Draft, domain: DomainId): void {
  if (draft.reassignments.get(domain)?.step === 'ending') endReassignment(draft, domain, 'done');
}

/** Removes changes that ended long enough ago, and gives up those that take too long. */
export function pruneReassignments(draft: Draft): void {
  for (const [domain, { step, until }] of draft.reassignments) {
    if (draft.now < until) continue;
    if (step === 'done' || step === 'dropped') draft.reassignments.delete(domain);
    else dropReassignment(draft, domain);
  }
}

/** Changes that are being made. */
export function listPending(draft: Draft): readonly (readonly [DomainId, Reassignment])[] {
  return [...draft.reassignments].filter(([, { step }]) => step === 'staging' || step === 'ending');
}

/** Whether the change would undo one that was begun recently. */
export function wouldUndo(
  draft: Draft,
  model: ModelId,
  lost: ReadonlyMap<ModelId, number>,
): boolean {
  return [...draft.reassignments.values()].some(
    (earlier) => earlier.step !== 'dropped' && (earlier.lost.has(model) || lost.has(earlier.model)),
  );
}

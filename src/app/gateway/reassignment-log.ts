/** Logs why servers are given to another model, and counts it. */

import type { FormingState, Reassignment } from '../../core/gateway/forming/state';
import type { DomainId } from '../../core/ids';
import type { GatewayContext } from './context';
import type { ModelDemands } from './model-demand';

const round = (value: number): number => Number(value.toFixed(2));

function fieldsOf(domain: DomainId, { model, step, gained, lost, loads, worth }: Reassignment) {
  return {
    step: 'plan',
    domain,
    model,
    change: step,
    gained,
    lost: [...lost].map(([name, count]) => `${name}:${count}`).join(' '),
    loads,
    gain: round(worth.gain),
    loss: round(worth.loss),
    worth: round(worth.net),
  };
}

/** Demand of each model as `mean/peak/unserved`, in groups. */
function describeDemand(demands: Pick<ModelDemands, 'demand'>): string {
  return [...demands.demand()]
    .map(([model, { load, peakLoad, unserved }]) =>
      [`${model}:${round(load)}`, round(peakLoad), round(unserved)].join('/'),
    )
    .join(' ');
}

/** The states before and after a plan, and the demand that it was made on. */
export interface PlannedReassignments {
  readonly before: Pick<FormingState, 'reassignments'>;
  readonly after: Pick<FormingState, 'reassignments'>;
  readonly demands: Pick<ModelDemands, 'demand' | 'ageMs'>;
}

/** One line for each change that has begun, and for each step of it. */
export function logReassignments(
  { logger, metrics }: Pick<GatewayContext, 'logger' | 'metrics'>,
  { before, after, demands }: PlannedReassignments,
): void {
  for (const [domain, reassignment] of after.reassignments) {
    const { model, step } = reassignment;
    const earlier = before.reassignments.get(domain);
    if (earlier?.step === step && earlier.until === reassignment.until) continue;
    metrics.count('nutmegstack_reassignments_total', { model, step });
    logger.info('servers change model', {
      ...fieldsOf(domain, reassignment),
      demand: describeDemand(demands),
      ageMs: Math.round(demands.ageMs()),
    });
  }
}

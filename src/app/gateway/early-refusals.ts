/** Refuses requests at once that would wait for a slot in vain. */

import { refuseEarly, returnAfter } from '../../core/gateway/early-refusal';
import type { ServiceView, TimeLeft } from '../../core/gateway/early-refusal';
import { sumClasses } from '../../core/gateway/priority-classes';
import type { ModelId, ServiceId } from '../../core/ids';
import type { RetryAfter } from './exchange';
import type { OrganisationUse } from './organisation-use';
import { localClasses } from './take-slot';
import type { SlotDeps } from './take-slot';
import type { QueuePlace } from './wait-queue';

export interface EarlyRefusal {
  /** Absent if no slot is left over for the request at the current loads. */
  readonly expectedWaitMs?: number;
  /** Requests that go before it. */
  readonly ahead: number;
  /** Age of the loads that this is based on, milliseconds. */
  readonly ageMs: number;
  readonly retryAfter: RetryAfter;
}

export interface RefusalDeps extends SlotDeps {
  readonly use: OrganisationUse;
}

export interface RefusalRequest extends QueuePlace, TimeLeft {
  readonly service: ServiceId;
}

const ONE_DECIMAL = 10;

/** Whether requests of the model differ in priority or organisation. */
export function isOrdered(
  { groupRegistry, use, ...deps }: RefusalDeps,
  model: ModelId,
  priority: number,
): boolean {
  const classes = [...localClasses(deps, model, priority), ...groupRegistry.classLoads(model)];
  return use.count(model) > 1 || new Set(classes.map((one) => one.priority)).size > 1;
}

function viewOf(deps: RefusalDeps, request: RefusalRequest): ServiceView {
  const { groupRegistry, waitQueue, daemons } = deps;
  const { service, model, priority } = request;
  const local = localClasses(deps, model, priority);
  const remote = groupRegistry.classLoads(model);
  const own = sumClasses([...local, ...remote], (other) => other === priority);
  const localOwn = sumClasses(local, (other) => other === priority);
  const ratio = own.perSecond === 0 ? 1 : localOwn.perSecond / own.perSecond;
  return {
    ...groupRegistry.slotUse(service, model),
    hasPeerLoads: groupRegistry.hasPeerLoads(),
    urgent: sumClasses([...local, ...remote], (other) => other < priority),
    lessUrgent: sumClasses([...local, ...remote], (other) => other > priority),
    own,
    localShare: Math.max(ratio, 1 / Math.max(1, daemons())),
    localAhead: waitQueue.ahead(request),
    remoteUrgent: sumClasses(remote, (other) => other < priority).waiting,
  };
}

/** The refusal if the request would get no slot in time; undefined if it may wait. */
export function findEarlyRefusal(
  deps: RefusalDeps,
  request: RefusalRequest,
): EarlyRefusal | undefined {
  if (!isOrdered(deps, request.model, request.priority)) return undefined;
  const view = viewOf(deps, request);
  const wait = refuseEarly(view, request);
  if (!wait) return undefined;
  const { expectedWaitMs, ahead } = wait;
  return {
    ...(Number.isFinite(expectedWaitMs) && { expectedWaitMs: Math.round(expectedWaitMs) }),
    ahead: Math.round(ahead * ONE_DECIMAL) / ONE_DECIMAL,
    ageMs: deps.groupRegistry.loadAgeMs(),
    retryAfter: returnAfter(view, wait),
  };
}

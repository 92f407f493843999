/** Admits requests by priority class, from the loads of all daemons by model and priority. */

import type { GroupCandidate } from '../../core/gateway/balance';
import { isHeldBack, rankOf, sumClasses } from '../../core/gateway/priority-classes';
import type { ClassLoad } from '../../core/gateway/priority-classes';
import type { ModelId } from '../../core/ids';
import type { PeerLoads } from './peer-loads';
import type { Admission, SlotAdmission } from './slot-admission';

/** A request that needs a slot. */
export interface ClassRequest {
  readonly priority: number;
  /** Load of the model on this daemon, by priority. */
  readonly localClasses: readonly ClassLoad[];
  /** Time that it can wait for a slot and still meet its latency objective, milliseconds. */
  readonly slackMs: number;
  /** Whether it has waited for longer than that. */
  readonly isLate: boolean;
}

const HELD_BACK: Admission = { groups: [], usesGrants: false, noteSent: () => undefined };

function occupancyOf(groups: readonly GroupCandidate[]): number {
  const running = groups.reduce((sum, group) => sum + group.running, 0);
  const slots = groups.reduce((sum, group) => sum + group.batchSize, 0);
  return slots === 0 ? 1 : running / slots;
}

/** Selects the groups that the request may be sent to. */
export function admitClass(
  { admission, peerLoads }: { readonly admission: SlotAdmission; readonly peerLoads: PeerLoads },
  model: ModelId,
  groups: readonly GroupCandidate[],
  { priority, localClasses, slackMs, isLate }: ClassRequest,
): Admission {
  const peerClasses = peerLoads.classLoads(model);
  const classes = [...localClasses, ...peerClasses];
  const priorities = classes.map((one) => one.priority);
  const view = { hasPeerLoads: peerLoads.areFresh(), occupancy: occupancyOf(groups) };
  if (isHeldBack(priorities, priority, view)) return HELD_BACK;
  return admission.admit(model, groups, {
    local: sumClasses(localClasses, (other) => other === priority),
    remote: sumClasses(peerClasses, (other) => other === priority),
    ...{ slackMs, isLate, rank: rankOf(classes, priority) },
  });
}

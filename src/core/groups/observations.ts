/** The holder's view of each instance, and how reports and unanswered probes change it. */

import { omit } from '../../utils/omit';
import type { InstanceId, MonoTime } from '../ids';
import { next } from '../reducer';
import type { Step } from '../reducer';
import type { DomainEffect, DomainEvent, DomainState, InstanceView } from './domain-types';
import type { EngineReport, InstanceInfo } from './types';

type DomainStep = Step<DomainState, DomainEffect>;
type EventOf<K extends DomainEvent['kind']> = Extract<DomainEvent, { kind: K }>;

/** The view of an instance before anything is known about it. */
export const NO_VIEW: InstanceView = { isDrainRequested: false };

/** The state with a changed view of one instance. */
export function withView(
  state: DomainState,
  instance: InstanceId,
  change: (view: InstanceView) => InstanceView,
): DomainState {
  const view = change(state.instances[instance] ?? NO_VIEW);
  return { ...state, instances: { ...state.instances, [instance]: view } };
}

/** Counts the unresponsive time of all instances from `now` on. */
export function restartUnresponsiveTime(state: DomainState, now: MonoTime): DomainState {
  const instances: Record<InstanceId, InstanceView> = { ...state.instances };
  for (const id of Object.keys(instances) as InstanceId[]) {
    const view = instances[id];
    if (view?.unresponsiveSince !== undefined) instances[id] = { ...view, unresponsiveSince: now };
  }
  return { ...state, instances };
}

/** The view with what the platform lists about the instance; undefined if it lists it no longer. */
export function withListing(view: InstanceView, listing: InstanceInfo | undefined): InstanceView {
  return listing ? { ...view, listing } : omit(view, 'listing');
}

/** Takes in a report unless a probe sent later has already returned one. */
export function onReported(state: DomainState, event: EventOf<'reported'>): DomainStep {
  const previous = state.instances[event.instance];
  if (!previous || (previous.reportedAt ?? event.sentAt) > event.sentAt) return next(state);
  return next(
    withView(state, event.instance, (view) => ({
      ...omit(view, 'unresponsiveSince'),
      report: event.report,
      reportedAt: event.sentAt,
      changedAt: isSame(view.report, event.report)
        ? (view.changedAt ?? event.sentAt)
        : event.sentAt,
    })),
  );
}

function isSame(a: EngineReport | undefined, b: EngineReport): boolean {
  return a?.state === b.state && a.group === b.group && a.epoch === b.epoch;
}

/** Takes in an unanswered probe unless a probe sent later has returned a report. */
export function onSilent(state: DomainState, event: EventOf<'silent'>): DomainStep {
  const previous = state.instances[event.instance];
  if (!previous || (previous.reportedAt ?? event.sentAt) > event.sentAt) return next(state);
  return next(
    withView(state, event.instance, (view) => ({
      ...view,
      unresponsiveSince: view.unresponsiveSince ?? event.sentAt,
    })),
  );
}

/** Takes in another daemon's observation that a group's members are healthy. */
export function onVouched(state: DomainState, event: EventOf<'vouched'>): DomainStep {
  const members = state.groups[event.group]?.row.members ?? [];
  const after = members.reduce(
    (acc, { instance }) =>
      withView(acc, instance, (view) => ({ ...view, peerConfirmedUntil: event.until })),
    state,
  );
  return next(after);
}

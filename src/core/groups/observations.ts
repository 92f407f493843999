/** What the holder of a domain keeps of each instance, and how reports and silence change it. */

import { omit } from '../../utils/omit';
import type { InstanceId, MonoTime } from '../ids';
import { next } from '../reducer';
import type { Step } from '../reducer';
import type { DomainEffect, DomainEvent, DomainState, InstanceView } from './domain-types';
import type { EngineReport, InstanceInfo } from './types';

type DomainStep = Step<DomainState, DomainEffect>;
type EventOf<K extends DomainEvent['kind']> = Extract<DomainEvent, { kind: K }>;

export const NO_VIEW: InstanceView = { isDrainRequested: false };

export function withView(
  state: DomainState,
  instance: InstanceId,
  change: (view: InstanceView) => InstanceView,
): DomainState {
  const view = change(state.instances[instance] ?? NO_VIEW);
  return { ...state, instances: { ...state.instances, [instance]: view } };
}

/** Counts the silence of all who are silent from `now` on. */
export function restartSilence(state: DomainState, now: MonoTime): DomainState {
  const instances: Record<InstanceId, InstanceView> = { ...state.instances };
  for (const id of Object.keys(instances) as InstanceId[]) {
    const view = instances[id];
    if (view?.silentSince !== undefined) instances[id] = { ...view, silentSince: now };
  }
  return { ...state, instances };
}

export function withInfo(view: InstanceView, facts: InstanceInfo | undefined): InstanceView {
  return facts ? { ...view, facts } : omit(view, 'facts');
}

export function onReported(state: DomainState, event: EventOf<'reported'>): DomainStep {
  const before = state.instances[event.instance];
  if (!before || (before.reportedAt ?? event.sentAt) > event.sentAt) return next(state);
  return next(
    withView(state, event.instance, (view) => ({
      ...omit(view, 'silentSince'),
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

export function onSilent(state: DomainState, event: EventOf<'silent'>): DomainStep {
  const before = state.instances[event.instance];
  if (!before || (before.reportedAt ?? event.sentAt) > event.sentAt) return next(state);
  return next(
    withView(state, event.instance, (view) => ({
      ...view,
      silentSince: view.silentSince ?? event.sentAt,
    })),
  );
}

export function onVouched(state: DomainState, event: EventOf<'vouched'>): DomainStep {
  const members = state.groups[event.group]?.row.members ?? [];
  const after = members.reduce(
    (acc, { instance }) =>
      withView(acc, instance, (view) => ({ ...view, peerConfirmedUntil: event.until })),
    state,
  );
  return next(after);
}

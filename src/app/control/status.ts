/** The control plane's section of `GET /admin/v1/status`. */

import { routableUntil } from '../../core/groups/watch';
import type { ShortfallTotals } from '../../core/groups/shortfall';
import type { DomainState } from '../../core/groups/domain-types';
import type { Json } from '../../ports/platform';
import type { ControlContext } from './context';
import type { Directory } from './directory';
import type { Leases } from './leases';
import type { Intervals } from './settings';
import type { Watches } from './watches';

/** State that the status is built from. */
export interface StatusSources {
  readonly leases: Leases;
  readonly watches: Watches;
  readonly directory: Directory;
  readonly heldDomains: readonly DomainState[];
  readonly totals: ShortfallTotals;
  readonly pace: Intervals;
  readonly probedInstances: number;
}

export function statusOf(ctx: ControlContext, from: StatusSources): Json {
  const now = ctx.clock.now();
  const { leases, watches, directory, totals, pace } = from;
  return {
    groups: watches.all().map((state) => ({
      id: state.id,
      model: state.row.model,
      domain: state.row.domain,
      epoch: state.row.epoch,
      phase: state.row.phase,
      routable: routableUntil(state, now) !== undefined,
      members: state.row.members.map(({ instance }) => instance),
    })),
    leases: leases.domains().map((domain) => ({
      domain,
      holder: leases.holderOf(domain) ?? null,
      held: leases.heldLease(domain) !== undefined,
      fencing: leases.heldLease(domain)?.fencing ?? null,
    })),
    domains: from.heldDomains.map((state) => ({
      domain: state.domain,
      dark: state.downSince !== undefined,
      openSlots: state.openSlots.length,
      pending: state.pending?.reason ?? null,
    })),
    instances: directory.instances().length,
    totals: {
      downtimeSeconds: { ...totals.downtime },
      strandedAcceleratorSeconds: { ...totals.stranded },
      unassignedAcceleratorSeconds: totals.unassigned,
    },
    probes: { instances: from.probedInstances, everyMs: Math.round(pace.probeMs) },
  };
}

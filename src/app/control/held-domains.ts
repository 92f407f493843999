/** Runs the reducers of the domains whose leases this daemon holds. */

import { createDomain, mayDecide, reduceDomain } from '../../core/groups/domain';
import type {
  DomainEffect,
  DomainEvent,
  DomainState,
  GroupTransaction,
} from '../../core/groups/domain-types';
import type { GroupRow } from '../../core/groups/types';
import { later } from '../../core/ids';
import type { DomainId, InstanceId, MonoTime } from '../../core/ids';
import type { EngineReport } from '../../core/groups/types';
import { logFailure, settleCall, stepContext } from './context';
import type { ControlContext } from './context';
import type { Leases } from './leases';
import type { ControlStore } from './store';

/** A group's row as this daemon just wrote it; `gone` if the group was dissolved. */
export interface WrittenGroup {
  readonly row: GroupRow;
  readonly version: number;
  readonly gone: boolean;
  readonly reason: string;
}

/** Notified of what the held domains do. */
export interface HeldDomainHooks {
  /** Called for each group of a commit that is known to have taken effect. */
  onGroupWritten(group: WrittenGroup): void;
  /** Called with the engine's report in answer to an order. */
  onReport(report: EngineReport, sentAt: MonoTime): void;
  /** Called when a transaction conflicts, which means that the known group rows are stale. */
  onConflict(): void;
  /** Called with the instances that operators marked for draining in the table. */
  onDrainRequested(instances: readonly InstanceId[]): void;
  /** Called when a domain's lease is acquired, while the domain's state is still empty. */
  onAcquired(domain: DomainId): void;
}

/** States of the domains whose leases this daemon holds. */
export interface HeldDomains {
  /** Adds and removes domains as their leases are acquired and lost. */
  sync(): void;
  /** Reduces an event in one domain; ignored if the domain isn't held. */
  dispatch(domain: DomainId, event: DomainEvent): void;
  dispatchAll(event: DomainEvent): void;
  tick(): void;
  get(domain: DomainId): DomainState | undefined;
  all(): readonly DomainState[];
}

export function createHeldDomains(
  ctx: ControlContext,
  store: ControlStore,
  leases: Leases,
  hooks: HeldDomainHooks,
): HeldDomains {
  const states = new Map<DomainId, DomainState>();

  const dispatch = (domain: DomainId, event: DomainEvent): void => {
    const state = states.get(domain);
    if (!state) return;
    const step = reduceDomain(state, event, stepContext(ctx));
    states.set(domain, step.state);
    for (const effect of step.effects) run[effect.kind](step.state, effect as never);
  };

  /** Whether the lease still holds; checked in the same tick as an order or commit is sent. */
  const isValid = (domain: DomainId): boolean => {
    const state = states.get(domain);
    const held = leases.heldLease(domain);
    return (
      held !== undefined &&
      held.fencing === state?.lease?.fencing &&
      mayDecide(state, ctx.clock.now())
    );
  };

  const run: {
    readonly [K in DomainEffect['kind']]: (
      state: DomainState,
      effect: Extract<DomainEffect, { kind: K }>,
    ) => void;
  } = {
    read: ({ domain }, { instances }) => {
      settleCall(
        ctx,
        store.readDomain(domain, instances),
        (rows) => {
          dispatch(domain, { kind: 'read', groups: rows.groups, instances: rows.instances });
          hooks.onDrainRequested(rows.drained);
        },
        (err) => {
          logFailure(ctx, err);
          dispatch(domain, { kind: 'read-failed' });
        },
      );
    },
    commit: (state, { transaction }) => {
      commit(state, transaction);
    },
    order: (state, effect) => {
      sendOrder(state, effect);
    },
  };

  const commit = (state: DomainState, tx: GroupTransaction): void => {
    const { domain } = state;
    if (!isValid(domain)) {
      dispatch(domain, { kind: 'refused', id: tx.id, conflict: false });
      return;
    }
    settleCall(
      ctx,
      store.commitGroups(domain, tx),
      (versions) => {
        dispatch(domain, { kind: 'committed', id: tx.id, versions });
        for (const written of writtenGroups(state, tx, versions)) hooks.onGroupWritten(written);
      },
      (err) => {
        logFailure(ctx, err);
        const { id } = tx;
        const isUnsure = err.code === 'store-unknown';
        if (err.code === 'conflict') hooks.onConflict();
        const refused = { kind: 'refused' as const, id, conflict: err.code === 'conflict' };
        dispatch(domain, isUnsure ? { kind: 'unsure', id } : refused);
      },
    );
  };

  const sendOrder = (
    { domain, lease }: DomainState,
    { instance, address, order }: Extract<DomainEffect, { kind: 'order' }>,
  ): void => {
    if (!lease || !isValid(domain)) return;
    const sentAt = ctx.clock.now();
    const deadline = later(ctx.clock.epoch(), lease.validUntil - sentAt);
    const by = { domain, fencing: lease.fencing, deadline };
    ctx.logger.debug('order sent', { step: `order-${order.kind}`, peer: instance });
    settleCall(
      ctx,
      ctx.engine.order(address, order, by),
      (report) => {
        if (report.instance === instance) hooks.onReport(report, sentAt);
      },
      (err) => {
        logFailure(ctx, err);
      },
    );
  };

  const addDomain = (domain: DomainId): void => {
    const options = { domain, settings: ctx.settings.domain };
    states.set(domain, createDomain(options, ctx.clock.now()));
    hooks.onAcquired(domain);
  };

  return {
    sync: () => {
      for (const domain of leases.domains()) {
        const lease = leases.heldLease(domain);
        if (!lease && states.get(domain)?.lease) dispatch(domain, { kind: 'unleased' });
        // Kept while the row still names this daemon: a lapsed lease may be renewed.
        if (!lease && leases.holderOf(domain) !== ctx.self) states.delete(domain);
        if (!lease) continue;
        if (!states.has(domain)) addDomain(domain);
        dispatch(domain, { kind: 'leased', lease });
      }
    },
    dispatch,
    dispatchAll: (event) => {
      for (const domain of states.keys()) dispatch(domain, event);
    },
    tick: () => {
      for (const domain of states.keys()) dispatch(domain, { kind: 'tick' });
    },
    get: (domain) => states.get(domain),
    all: () => [...states.values()],
  };
}

function writtenGroups(
  before: DomainState,
  tx: GroupTransaction,
  versions: Readonly<Record<string, number>>,
): readonly WrittenGroup[] {
  return tx.writes.flatMap(({ write }) => {
    if (write.kind !== 'group') return [];
    const row = write.row ?? before.groups[write.id]?.row;
    const version = versions[`group/${write.id}`] ?? 0;
    return row ? [{ row, version, gone: !write.row, reason: tx.reason }] : [];
  });
}

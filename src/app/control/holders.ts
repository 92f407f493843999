/** Runs the domain reducers of the domains whose leases this daemon holds. */

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
import { logFailure, settleCall, stepAt } from './context';
import type { ControlContext } from './context';
import type { Leases } from './leases';
import type { ControlStore } from './store';

/** A group's row as this daemon just wrote it. */
export interface WrittenGroup {
  readonly row: GroupRow;
  readonly version: number;
  readonly gone: boolean;
  readonly reason: string;
}

export interface HolderHooks {
  /** After a commit that is known to have taken effect. */
  wrote(group: WrittenGroup): void;
  /** After an answer to an order, or its failure. */
  reported(report: EngineReport, sentAt: MonoTime): void;
  /** A transaction lost a race: what is known of all groups is out of date. */
  conflicted(): void;
  /** Operators' marks found in the table. */
  drained(instances: readonly InstanceId[]): void;
  /** A domain's lease is held now and its state is still empty. */
  began(domain: DomainId): void;
}

export interface Holders {
  /** Follows leases that were taken or lost. */
  sync(): void;
  tell(domain: DomainId, event: DomainEvent): void;
  tellAll(event: DomainEvent): void;
  tick(): void;
  get(domain: DomainId): DomainState | undefined;
  all(): readonly DomainState[];
}

export function createHolders(
  ctx: ControlContext,
  store: ControlStore,
  leases: Leases,
  hooks: HolderHooks,
): Holders {
  const states = new Map<DomainId, DomainState>();

  const tell = (domain: DomainId, event: DomainEvent): void => {
    const state = states.get(domain);
    if (!state) return;
    const step = reduceDomain(state, event, stepAt(ctx));
    states.set(domain, step.state);
    for (const effect of step.effects) run[effect.kind](step.state, effect as never);
  };

  /** Checked in the same tick as the order or commit goes out. */
  const isValid = (domain: DomainId): boolean => {
    const state = states.get(domain);
    const held = leases.held(domain);
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
          tell(domain, { kind: 'read', groups: rows.groups, instances: rows.instances });
          hooks.drained(rows.drained);
        },
        (err) => {
          logFailure(ctx, err);
          tell(domain, { kind: 'read-failed' });
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
      tell(domain, { kind: 'refused', id: tx.id, conflict: false });
      return;
    }
    settleCall(
      ctx,
      store.commitGroups(domain, tx),
      (versions) => {
        tell(domain, { kind: 'committed', id: tx.id, versions });
        for (const written of writtenBy(state, tx, versions)) hooks.wrote(written);
      },
      (err) => {
        logFailure(ctx, err);
        const { id } = tx;
        const isUnsure = err.code === 'store-unknown';
        if (err.code === 'conflict') hooks.conflicted();
        const refused = { kind: 'refused' as const, id, conflict: err.code === 'conflict' };
        tell(domain, isUnsure ? { kind: 'unsure', id } : refused);
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
        if (report.instance === instance) hooks.reported(report, sentAt);
      },
      (err) => {
        logFailure(ctx, err);
      },
    );
  };

  const begin = (domain: DomainId): void => {
    const options = { domain, settings: ctx.settings.domain };
    states.set(domain, createDomain(options, ctx.clock.now()));
    hooks.began(domain);
  };

  return {
    sync: () => {
      for (const domain of leases.domains()) {
        const lease = leases.held(domain);
        if (!lease && states.get(domain)?.lease) tell(domain, { kind: 'unleased' });
        // Another holds it now; a lease that only lapsed may be renewed.
        if (!lease && leases.holderOf(domain) !== ctx.self) states.delete(domain);
        if (!lease) continue;
        if (!states.has(domain)) begin(domain);
        tell(domain, { kind: 'leased', lease });
      }
    },
    tell,
    tellAll: (event) => {
      for (const domain of states.keys()) tell(domain, event);
    },
    tick: () => {
      for (const domain of states.keys()) tell(domain, { kind: 'tick' });
    },
    get: (domain) => states.get(domain),
    all: () => [...states.values()],
  };
}

function writtenBy(
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

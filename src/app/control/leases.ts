/** Runs the lease reducers of all domains against the table service. */

import { hashCandidates, rankOf } from '../../core/groups/rank';
import type { DaemonId, DomainId, ZoneId } from '../../core/ids';
import { createLease, isHolder, reduceLease } from '../../core/lease/lease';
import type { HeldLease, LeaseEffect, LeaseEvent, LeaseState } from '../../core/lease/types';
import { logFailure, settleCall, stepContext } from './context';
import type { ControlContext } from './context';
import { peersSignature } from './peers';
import type { ControlStore, LeaseRows } from './store';

/** Lease states of all known domains. */
export interface Leases {
  /** Adds a domain, so that this daemon may acquire its lease. */
  addDomain(domain: DomainId, zone?: ZoneId): void;
  hasDomain(domain: DomainId): boolean;
  /** Reads the lease rows of all domains. */
  readonly poll: () => void;
  tick(): void;
  /** The lease, while this daemon validly holds it. */
  heldLease(domain: DomainId): HeldLease | undefined;
  /** The holder that the row names, even if its lease has lapsed. */
  holderOf(domain: DomainId): DaemonId | undefined;
  domains(): readonly DomainId[];
  /** Releases all leases. */
  release(): void;
  /** Whether no lease is held and no commit is pending. */
  isReleased(): boolean;
}

export function createLeases(ctx: ControlContext, store: ControlStore): Leases {
  const states = new Map<DomainId, LeaseState>();
  const zones = new Map<DomainId, ZoneId>();

  let scanning = false;

  const dispatch = (domain: DomainId, event: LeaseEvent): void => {
    const state = states.get(domain);
    if (!state) return;
    const step = reduceLease(state, event, stepContext(ctx));
    states.set(domain, step.state);
    logHolderChange(ctx, state, step.state);
    for (const effect of step.effects) run[effect.kind](domain, effect as never);
  };

  const run: {
    readonly [K in LeaseEffect['kind']]: (
      domain: DomainId,
      effect: Extract<LeaseEffect, { kind: K }>,
    ) => void;
  } = {
    read: (domain) => {
      settleCall(ctx, store.readLease(domain), onRows, (err) => {
        logFailure(ctx, err);
        dispatch(domain, { kind: 'read-failed' });
      });
    },
    commit: (domain, effect) => {
      settleCall(
        ctx,
        store.commitLease(domain, effect),
        (versions) => {
          dispatch(domain, { kind: 'committed', ...versions });
        },
        (err) => {
          logFailure(ctx, err);
          const isUnsure = err.code === 'store-unknown';
          const refused = { kind: 'refused' as const, conflict: err.code === 'conflict' };
          dispatch(domain, isUnsure ? { kind: 'unsure' } : refused);
        },
      );
    },
  };

  const onRows = ({ domain, lease, fence }: LeaseRows): void => {
    dispatch(domain, { kind: 'read', ...(lease && { lease }), ...(fence && { fence }) });
  };

  const addDomain = (domain: DomainId, zone?: ZoneId): void => {
    if (zone !== undefined) zones.set(domain, zone);
    if (states.has(domain)) return;
    const { self, session, settings } = ctx;
    const options = { domain, self, session, settings: settings.lease };
    states.set(domain, createLease(options, ctx.clock.now()));
  };

  let rankedSignature = '';
  const updateRanks = (): void => {
    const all = ctx.membership.peers();
    const signature = `${states.size} ${zones.size} ${peersSignature(all)}`;
    if (signature === rankedSignature) return;
    rankedSignature = signature;
    const peers = hashCandidates(all.filter((peer) => peer.state !== 'leaving'));
    for (const domain of states.keys()) {
      const position = rankOf(`lease/${domain}`, ctx.self, peers, zones.get(domain));
      dispatch(domain, { kind: 'ranked', rank: position });
    }
  };

  return {
    addDomain,
    hasDomain: (domain) => states.has(domain),
    poll: () => {
      if (scanning) return;
      scanning = true;
      settleCall(
        ctx,
        store.scanLeases(),
        (scanned) => {
          scanning = false;
          const found = new Set(scanned.map(({ domain }) => domain));
          for (const rows of scanned) addDomain(rows.domain);
          for (const rows of scanned) onRows(rows);
          for (const domain of states.keys()) {
            if (!found.has(domain)) onRows({ domain });
          }
        },
        (err) => {
          scanning = false;
          logFailure(ctx, err);
        },
      );
    },
    tick: () => {
      updateRanks();
      for (const domain of states.keys()) dispatch(domain, { kind: 'tick' });
    },
    heldLease: (domain) => {
      const state = states.get(domain);
      return state && isHolder(state, ctx.clock.now()) ? state.held : undefined;
    },
    holderOf: (domain) => {
      const row = states.get(domain)?.seen?.row;
      return row && !row.released ? row.holder : undefined;
    },
    domains: () => [...states.keys()],
    release: () => {
      for (const domain of states.keys()) dispatch(domain, { kind: 'stop' });
    },
    isReleased: () => [...states.values()].every((state) => !state.held && !state.pending),
  };
}

function logHolderChange(ctx: ControlContext, before: LeaseState, after: LeaseState): void {
  if ((before.held === undefined) === (after.held === undefined)) return;
  const fencing = after.held?.fencing ?? before.held?.fencing;
  const message = after.held ? 'lease taken' : 'lease given up';
  ctx.logger.info(message, { step: 'lease', domain: after.domain, fencing });
}

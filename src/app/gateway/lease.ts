/** Holds or acquires the lease that permits one daemon to form replica groups. */

import { rankSuccessors, leaseReadDelayMs } from '../../core/gateway/succession';
import { brandAs, later } from '../../core/ids';
import type { DomainId, FencingNumber, MonoTime } from '../../core/ids';
import { leaseKeys, leasePrefix } from '../../core/lease/keys';
import { createLease, isHolder, reduceLease } from '../../core/lease/lease';
import type {
  FenceRow,
  LeaseEffect,
  LeaseEvent,
  LeaseRow,
  LeaseSettings,
  LeaseState,
} from '../../core/lease/types';
import type { EraTable } from '../../ports/gateway';
import type { Row, Write } from '../../ports/platform';
import type { GatewayContext } from './context';
import { LEASE_NAME } from './fleet';
import type { Fleet } from './fleet';
import type { PeerState } from './messages';

/**
 * Without a leader no group is formed or replaced, so the lease is short. Groups survive its
 * expiry: their heads decide who serves. Two renewals may be lost before it expires.
 */
const LEASE_SETTINGS: Partial<LeaseSettings> = {
  ttlMs: 2_000,
  marginMs: 200,
  renewMs: 600,
  rankDelayMs: 300,
  // Handing over a working lease has no benefit.
  handoverMs: 86_400_000,
};
/**
 * Candidates that hear from no leader read the lease row at this interval; twice in the lifetime of
 * a lease.
 */
const READ_INTERVAL_MS = 900;
/** Maximum number of rows of earlier eras that one transaction removes. */
const MAX_REMOVED_ROWS = 50;
/** Interval at which the rank among the candidates is updated. */
const RANK_INTERVAL_MS = 400;
const DOMAIN = brandAs<DomainId>(LEASE_NAME);
/**
 * Drift between wall clock and monotonic clock, from one tick to the next, above which a pause is
 * assumed.
 */
const CLOCK_SLACK_MS = 400;

export interface Leadership {
  /**
   * The row as held, for peers. Undefined unless this daemon holds the lease and the lease has not
   * expired: a daemon that the store refuses must not act as leader beside its successor.
   */
  ownLease(): PeerState['lease'];
  /** Notes the lease row that the leader sent to its peers. */
  notePeerLease(lease: NonNullable<PeerState['lease']>): void;
  /** The fencing number, as long as this daemon may form groups. */
  heldFencing(): FencingNumber | undefined;
  tick(): void;
  /** Releases the lease. */
  release(): void;
  isReleased(): boolean;
}

export function createLeadership(ctx: GatewayContext, table: EraTable, fleet: Fleet): Leadership {
  const { settings, clock, logger } = ctx;
  const session = `${settings.id} ${clock.epoch()} ${ctx.random.next()}`;
  let state: LeaseState = createLease(
    { domain: DOMAIN, self: settings.id, session, settings: LEASE_SETTINGS },
    clock.now(),
  );
  /** Rows of earlier eras found in the table. */
  let staleRows: readonly string[] = [];
  let nextReadAt = clock.now();
  let nextRankAt = clock.now();
  /** When a leader was last heard from; initially, the start of this daemon. */
  let leaderHeardAt = clock.now();
  let clockOffset = clock.epoch() - clock.now();
  /**
   * Renewals sent before this instant do not count: the process was paused, or a clock was
   * adjusted.
   */
  let pausedAt: MonoTime | undefined;

  const dispatch = (event: LeaseEvent): void => {
    const before = state;
    const step = reduceLease(state, event, { now: clock.now() });
    state = step.state;
    logChange(before, state);
    for (const effect of step.effects) effectHandlers[effect.kind](effect as never);
  };

  const logChange = (before: LeaseState, after: LeaseState): void => {
    if ((before.held === undefined) === (after.held === undefined)) return;
    const fencing = after.held?.fencing ?? before.held?.fencing;
    logger.info(after.held ? 'lease taken' : 'lease given up', { step: 'lease', fencing });
  };

  const rowOf = (rows: readonly Row[], key: string): Row | undefined =>
    rows.find((row) => row.key === key);

  const read = async (): Promise<void> => {
    const result = await table.read(leasePrefix(DOMAIN));
    if (result.isErr()) {
      logger.debug('failed to read the lease', { step: 'lease', code: result.error.code });
      dispatch({ kind: 'read-failed' });
      return;
    }
    const { era, rows } = result.value;
    const keys = leaseKeys(DOMAIN, era);
    const lease = rowOf(rows, keys.lease);
    const fence = rowOf(rows, keys.fence);
    staleRows = rows.filter((row) => row !== lease && row !== fence).map(({ key }) => key);
    dispatch({
      kind: 'read',
      era,
      ...(lease && { lease: { version: lease.version, row: lease.value as unknown as LeaseRow } }),
      ...(fence && { fence: { version: fence.version, row: fence.value as unknown as FenceRow } }),
    });
  };

  const commit = async (effect: Extract<LeaseEffect, { kind: 'commit' }>): Promise<void> => {
    const { era, row, leaseVersion, fenceVersion } = effect;
    const keys = leaseKeys(DOMAIN, era);
    const isTakeover = fenceVersion !== undefined;
    const conditions = [{ key: keys.lease, version: leaseVersion }];
    const writes: Write[] = [{ key: keys.lease, value: { ...row } }];
    if (isTakeover) {
      conditions.push({ key: keys.fence, version: fenceVersion });
      writes.push({ key: keys.fence, value: { fencing: row.fencing } });
      writes.push(...staleRows.slice(0, MAX_REMOVED_ROWS).map((key) => ({ key })));
    }
    const result = await table.commit({ conditions, writes });
    if (result.isOk()) {
      const { versions } = result.value;
      const version = versions[keys.lease] ?? 0;
      dispatch({ kind: 'committed', version, fenceVersion: versions[keys.fence] ?? 0 });
      return;
    }
    const { code } = result.error;
    logger.info('failed to write the lease', { step: 'lease', code });
    if (code === 'store-unknown') dispatch({ kind: 'unsure' });
    else dispatch({ kind: 'refused', conflict: code === 'conflict' });
  };

  const effectHandlers: {
    readonly [K in LeaseEffect['kind']]: (effect: Extract<LeaseEffect, { kind: K }>) => void;
  } = {
    read: () => void read(),
    commit: (effect) => void commit(effect),
  };

  /** In a suspended process the monotonic clock stops as well, so both clocks are compared. */
  const detectPause = (): void => {
    const now = clock.now();
    const offset = clock.epoch() - now;
    if (Math.abs(offset - clockOffset) > CLOCK_SLACK_MS) {
      pausedAt = now;
      logger.warn('clocks disagree, treating the lease as expired until renewed', {
        step: 'lease',
        driftMs: Math.round(offset - clockOffset),
      });
    }
    clockOffset = offset;
  };

  /**
   * Updates this daemon's rank among the candidates for the lease; membership of the fleet changes
   * seldom.
   */
  const updateRank = (now: MonoTime): void => {
    if (now < nextRankAt) return;
    nextRankAt = later(now, RANK_INTERVAL_MS);
    const rank = rankSuccessors(LEASE_NAME, fleet.candidates()).indexOf(settings.id);
    dispatch({ kind: 'ranked', rank });
  };

  ctx.store.eras.subscribe(({ era }) => {
    dispatch({ kind: 'era', era });
  });

  const tick = (): void => {
    detectPause();
    const now = clock.now();
    updateRank(now);
    dispatch({ kind: 'tick' });
    if (state.held || now < nextReadAt || state.reading || ctx.store.isAway()) return;
    if (now < later(leaderHeardAt, leaseReadDelayMs(state.rank, state.settings.rankDelayMs)))
      return;
    nextReadAt = later(now, READ_INTERVAL_MS * (0.8 + 0.4 * ctx.random.next()));
    state = { ...state, reading: true };
    void read();
  };

  return {
    ownLease: () => {
      const { held, seen } = state;
      if (!held || !seen?.row || seen.row.released) return undefined;
      if (!isHolder(state, clock.now())) return undefined;
      const { era } = state;
      return { era, version: seen.version, row: seen.row, fenceVersion: held.fenceVersion };
    },
    notePeerLease: ({ era, version, row, fenceVersion }) => {
      leaderHeardAt = clock.now();
      nextReadAt = later(leaderHeardAt, READ_INTERVAL_MS);
      const isSuccessor = state.held !== undefined && row.fencing > state.held.fencing;
      if ((state.held && !isSuccessor) || state.pending) return;
      const fence = { version: fenceVersion, row: { fencing: row.fencing } };
      dispatch({ kind: 'read', era, lease: { version, row }, fence });
    },
    heldFencing: () => {
      const now = clock.now();
      if (!state.held || !isHolder(state, now)) return undefined;
      const ttl = state.settings.ttlMs - state.settings.marginMs;
      const renewedAt = state.held.validUntil - ttl;
      if (pausedAt !== undefined && renewedAt < pausedAt) return undefined;
      return state.held.fencing;
    },
    tick,
    release: () => {
      dispatch({ kind: 'stop' });
    },
    isReleased: () => !state.held && !state.pending,
  };
}

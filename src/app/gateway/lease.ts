/** Holds or seeks the one lease under which replica groups are formed. */

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
 * Without a leader no group is formed or replaced, so the lease is short. A lapse does no harm to
 * groups: their heads decide who serves. Two renewals may be lost before it lapses.
 */
const SETTINGS: Partial<LeaseSettings> = {
  ttlMs: 2_000,
  marginMs: 200,
  renewMs: 600,
  rankDelayMs: 300,
  // Handing over a working lease gains nothing.
  handoverMs: 86_400_000,
};
/** Candidates that hear nothing of a leader look at the row this often; twice within the life of a lease. */
const READ_MS = 900;
/** Rows of lost eras that one transaction removes. */
const MOST_REMOVED = 50;
/** Between two looks at who else may hold the lease. */
const RANK_MS = 400;
const DOMAIN = brandAs<DomainId>(LEASE_NAME);
/** Wall clock and monotonic clock may drift apart this far between two looks before a pause is assumed. */
const CLOCK_SLACK_MS = 400;

export interface Leadership {
  /**
   * The row as held, for peers; undefined for others than the holder, and once the lease has run out: one
   * that the store turns away must not speak for the fleet beside its successor.
   */
  ownLease(): PeerState['lease'];
  /** Takes the row as the leader gossips it. */
  notePeerLease(lease: NonNullable<PeerState['lease']>): void;
  /** The fencing number, while this daemon may form groups. */
  heldFencing(): FencingNumber | undefined;
  tick(): void;
  /** Hands the lease back. */
  release(): void;
  isReleased(): boolean;
}

export function createLeadership(ctx: GatewayContext, table: EraTable, fleet: Fleet): Leadership {
  const { settings, clock, logger } = ctx;
  const session = `${settings.id} ${clock.epoch()} ${ctx.random.next()}`;
  let state: LeaseState = createLease(
    { domain: DOMAIN, self: settings.id, session, settings: SETTINGS },
    clock.now(),
  );
  /** Rows of lost eras that were seen in the table. */
  let leftovers: readonly string[] = [];
  let readAt = clock.now();
  let rankAt = clock.now();
  /** When a leader was last heard of; before the first, the start. */
  let ledAt = clock.now();
  let drift = clock.epoch() - clock.now();
  /** No renewal sent before this instant counts: the process was paused, or a clock stepped. */
  let pausedAt: MonoTime | undefined;

  const dispatch = (event: LeaseEvent): void => {
    const before = state;
    const step = reduceLease(state, event, { now: clock.now() });
    state = step.state;
    logChange(before, state);
    for (const effect of step.effects) run[effect.kind](effect as never);
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
      logger.debug('lease not read', { step: 'lease', code: result.error.code });
      dispatch({ kind: 'read-failed' });
      return;
    }
    const { era, rows } = result.value;
    const keys = leaseKeys(DOMAIN, era);
    const lease = rowOf(rows, keys.lease);
    const fence = rowOf(rows, keys.fence);
    leftovers = rows.filter((row) => row !== lease && row !== fence).map(({ key }) => key);
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
    const isTake = fenceVersion !== undefined;
    const conditions = [{ key: keys.lease, version: leaseVersion }];
    const writes: Write[] = [{ key: keys.lease, value: { ...row } }];
    if (isTake) {
      conditions.push({ key: keys.fence, version: fenceVersion });
      writes.push({ key: keys.fence, value: { fencing: row.fencing } });
      writes.push(...leftovers.slice(0, MOST_REMOVED).map((key) => ({ key })));
    }
    const result = await table.commit({ conditions, writes });
    if (result.isOk()) {
      const { versions } = result.value;
      const version = versions[keys.lease] ?? 0;
      dispatch({ kind: 'committed', version, fenceVersion: versions[keys.fence] ?? 0 });
      return;
    }
    const { code } = result.error;
    logger.info('lease not written', { step: 'lease', code });
    if (code === 'store-unknown') dispatch({ kind: 'unsure' });
    else dispatch({ kind: 'refused', conflict: code === 'conflict' });
  };

  const run: {
    readonly [K in LeaseEffect['kind']]: (effect: Extract<LeaseEffect, { kind: K }>) => void;
  } = {
    read: () => void read(),
    commit: (effect) => void commit(effect),
  };

  /** A pause stops the monotonic clock in a suspended process, so both clocks are compared. */
  const notePause = (): void => {
    const now = clock.now();
    const moved = clock.epoch() - now;
    if (Math.abs(moved - drift) > CLOCK_SLACK_MS) {
      pausedAt = now;
      logger.warn('clocks disagree: the lease counts as lapsed until renewed', {
        step: 'lease',
        driftMs: Math.round(moved - drift),
      });
    }
    drift = moved;
  };

  /** Place among the daemons that may hold the lease; the peers of a fleet change seldom. */
  const rank = (now: MonoTime): void => {
    if (now < rankAt) return;
    rankAt = later(now, RANK_MS);
    const place = rankSuccessors(LEASE_NAME, fleet.candidates()).indexOf(settings.id);
    dispatch({ kind: 'ranked', rank: place });
  };

  ctx.store.eras.subscribe(({ era }) => {
    dispatch({ kind: 'era', era });
  });

  const tick = (): void => {
    notePause();
    const now = clock.now();
    rank(now);
    dispatch({ kind: 'tick' });
    if (state.held || now < readAt || state.reading || ctx.store.isAway()) return;
    if (now < later(ledAt, leaseReadDelayMs(state.rank, state.settings.rankDelayMs))) return;
    readAt = later(now, READ_MS * (0.8 + 0.4 * ctx.random.next()));
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
      ledAt = clock.now();
      readAt = later(ledAt, READ_MS);
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

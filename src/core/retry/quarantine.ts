/**
 * Requests that crash the groups that run them. A request gets a strike when the group that ran it
 * was lost; groups lost together are a fault of their domain or wider and give none. A request with
 * one strike is a suspect: it is tried alone, in another domain. One with strikes on `limit`
 * different groups is refused. A suspect that gives a whole answer is cleared.
 */

import type { AttemptId, DomainId, Fingerprint, GroupId, MonoTime } from '../ids';
import { later } from '../ids';
import { QUARANTINE_DEFAULTS } from './quarantine-types';
import type {
  LostGroup,
  QuarantineContext,
  QuarantineOptions,
  QuarantineState,
  Run,
  Strike,
  Suspicion,
  TornRun,
} from './quarantine-types';

export function createQuarantine(opts: Partial<QuarantineOptions> = {}): QuarantineState {
  return {
    opts: { ...QUARANTINE_DEFAULTS, ...opts },
    strikes: new Map(),
    pending: [],
    running: new Map(),
    torn: [],
    lost: [],
  };
}

function countingStrikes(
  state: QuarantineState,
  fingerprint: Fingerprint,
  { epoch }: QuarantineContext,
): readonly Strike[] {
  const strikes = [...(state.strikes.get(fingerprint)?.values() ?? [])];
  return strikes.filter(({ until }) => until > epoch);
}

/** While it is open whether a domain failed, all its groups together count as one. */
function pendingDomains(state: QuarantineState, fingerprint: Fingerprint): ReadonlySet<DomainId> {
  const own = state.pending.filter((strike) => strike.fingerprint === fingerprint);
  return new Set(own.map(({ domain }) => domain));
}

/** Runs that broke and whose groups may yet turn out to be lost. */
function tornLately(
  state: QuarantineState,
  fingerprint: Fingerprint,
  { now }: QuarantineContext,
): readonly TornRun[] {
  return state.torn.filter(
    (run) => run.fingerprint === fingerprint && now - run.tornAt < state.opts.blameMs,
  );
}

export function suspicionOf(
  state: QuarantineState,
  fingerprint: Fingerprint,
  ctx: QuarantineContext,
): Suspicion {
  const certain = countingStrikes(state, fingerprint, ctx).length;
  const count = certain + pendingDomains(state, fingerprint).size;
  if (count >= state.opts.limit) return 'quarantined';
  return count > 0 || tornLately(state, fingerprint, ctx).length > 0 ? 'suspect' : 'clear';
}

/** Own runs on a group. */
export function runsOn(state: QuarantineState, group: GroupId): number {
  let count = 0;
  for (const run of state.running.values()) if (run.group === group) count += 1;
  return count;
}

/** When the last strike of a request ends. */
export function quarantinedUntil(
  state: QuarantineState,
  fingerprint: Fingerprint,
): Strike['until'] | undefined {
  const strikes = [...(state.strikes.get(fingerprint)?.values() ?? [])];
  const pending = state.pending.filter((strike) => strike.fingerprint === fingerprint);
  const ends = [...strikes, ...pending].map(({ until }) => until);
  return ends.sort((a, b) => b - a)[0];
}

/** Domains in which the request has met the loss of a group. */
export function struckDomains(
  state: QuarantineState,
  fingerprint: Fingerprint,
  ctx: QuarantineContext,
): ReadonlySet<DomainId> {
  const certain = [...(state.strikes.get(fingerprint)?.values() ?? [])];
  const met = [...certain, ...tornLately(state, fingerprint, ctx)].map(({ domain }) => domain);
  return new Set([...met, ...pendingDomains(state, fingerprint)]);
}

/** Groups on which a suspect runs now; others should stay away from them. */
export function probedGroups(state: QuarantineState): ReadonlySet<GroupId> {
  const probed = new Set<GroupId>();
  for (const run of state.running.values()) if (run.suspect) probed.add(run.group);
  return probed;
}

export function onRunStart(state: QuarantineState, run: Run): void {
  state.running.set(run.attempt, run);
}

/** The run ended otherwise than by a broken connection. */
export function onRunEnd(state: QuarantineState, attempt: AttemptId): void {
  state.running.delete(attempt);
}

/** A suspect gave a whole answer. True if it had strikes. */
export function clear(state: QuarantineState, fingerprint: Fingerprint): boolean {
  const had = state.strikes.delete(fingerprint);
  const before = state.pending.length;
  state.pending = state.pending.filter((strike) => strike.fingerprint !== fingerprint);
  return had || state.pending.length < before;
}

/** The run's connection broke: if its group is lost as well, that is a strike. */
export function onRunTorn(
  state: QuarantineState,
  attempt: AttemptId,
  ctx: QuarantineContext,
): void {
  const run = state.running.get(attempt);
  state.running.delete(attempt);
  if (run === undefined) return;
  const torn = { ...run, tornAt: ctx.now };
  state.torn = state.torn.filter(({ tornAt }) => ctx.now - tornAt < state.opts.blameMs);
  state.torn.push(torn);
  const loss = state.lost.find(
    ({ group, at }) => group === run.group && ctx.now - at < state.opts.blameMs,
  );
  if (loss !== undefined) blame(state, [torn], loss, ctx);
}

/** A group was lost: those that it ran, and whose connections broke, are to blame. */
export function onGroupLost(
  state: QuarantineState,
  { group, domain, domainDark }: Omit<LostGroup, 'at'>,
  ctx: QuarantineContext,
): void {
  const { blameMs } = state.opts;
  const torn = state.torn.filter((run) => run.group === group && ctx.now - run.tornAt < blameMs);
  const loss = { group, domain, at: ctx.now, domainDark };
  state.lost = state.lost.filter(({ at }) => ctx.now - at < blameMs);
  state.lost.push(loss);
  blame(state, torn, loss, ctx);
}

/** Where a suspect was among those that ran, the others are left alone. */
function blame(
  state: QuarantineState,
  torn: readonly TornRun[],
  loss: LostGroup,
  { now, epoch }: QuarantineContext,
): void {
  const hadSuspect =
    torn.some(({ suspect }) => suspect) ||
    state.torn.some((run) => run.suspect && run.group === loss.group);
  const blamed = hadSuspect ? torn.filter(({ suspect }) => suspect) : torn;
  const until = later(epoch, state.opts.retentionMs);
  const dueAt = later(now, state.opts.togetherMs);
  for (const { fingerprint, group, domain } of blamed) {
    state.pending.push({ fingerprint, group, domain, at: epoch, until, dueAt });
  }
}

function lostTogether(state: QuarantineState, dueAt: MonoTime): readonly LostGroup[] {
  const { togetherMs } = state.opts;
  const at = dueAt - togetherMs;
  return state.lost.filter((loss) => Math.abs(loss.at - at) <= togetherMs);
}

function distinctGroups(losses: readonly LostGroup[]): number {
  return new Set(losses.map(({ group }) => group)).size;
}

/** Whether the loss was no single request's doing. */
function isCommonFault(state: QuarantineState, strike: Strike, dueAt: MonoTime): boolean {
  const together = lostTogether(state, dueAt);
  const isDark = together.some(({ group, domainDark }) => group === strike.group && domainDark);
  const inDomain = together.filter(({ domain }) => domain === strike.domain);
  const { domainGroups, wideGroups } = state.opts;
  return (
    isDark || distinctGroups(inDomain) >= domainGroups || distinctGroups(together) >= wideGroups
  );
}

/** Decides on the strikes that are due; gives those that count from now on, for the peers. */
export function settleStrikes(state: QuarantineState, ctx: QuarantineContext): readonly Strike[] {
  const due = state.pending.filter(({ dueAt }) => dueAt <= ctx.now);
  if (due.length === 0) return [];
  state.pending = state.pending.filter(({ dueAt }) => dueAt > ctx.now);
  const counting = due
    .filter((strike) => !isCommonFault(state, strike, strike.dueAt))
    .map(({ fingerprint, group, domain, at, until }) => ({
      fingerprint,
      group,
      domain,
      at,
      until,
    }));
  counting.forEach((strike) => {
    addStrike(state, strike, ctx);
  });
  return counting;
}

/** When `settleStrikes` next has something to do. */
export function nextSettle(state: QuarantineState): MonoTime | undefined {
  return state.pending[0]?.dueAt;
}

function endOf(strikes: ReadonlyMap<GroupId, Strike>): number {
  return Math.max(...[...strikes.values()].map(({ until }) => until));
}

/** Forgets what has ended, and then whatever ends first, until there is room. */
function makeRoom(state: QuarantineState, { epoch }: QuarantineContext): void {
  if (state.strikes.size <= state.opts.maxFingerprints) return;
  for (const [fingerprint, strikes] of state.strikes) {
    if (endOf(strikes) <= epoch) state.strikes.delete(fingerprint);
  }
  while (state.strikes.size > state.opts.maxFingerprints) {
    const oldest = state.strikes.keys().next();
    if (oldest.done === true) return;
    state.strikes.delete(oldest.value);
  }
}

/** Takes in a strike, an own one or a peer's. */
export function addStrike(state: QuarantineState, strike: Strike, ctx: QuarantineContext): void {
  const known = state.strikes.get(strike.fingerprint) ?? new Map<GroupId, Strike>();
  known.set(strike.group, strike);
  state.strikes.delete(strike.fingerprint);
  state.strikes.set(strike.fingerprint, known);
  makeRoom(state, ctx);
}

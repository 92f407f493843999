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
  DecidedStrikes,
  Strike,
  Suspicion,
  InterruptedRun,
} from './quarantine-types';

export function createQuarantine(opts: Partial<QuarantineOptions> = {}): QuarantineState {
  return {
    opts: { ...QUARANTINE_DEFAULTS, ...opts },
    strikes: new Map(),
    pending: [],
    recent: [],
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

function ownStrikes(state: QuarantineState, fingerprint: Fingerprint): readonly Strike[] {
  const certain = [...(state.strikes.get(fingerprint)?.values() ?? [])];
  return [...certain, ...state.pending.filter((strike) => strike.fingerprint === fingerprint)];
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
): readonly InterruptedRun[] {
  return state.torn.filter(
    (run) => run.fingerprint === fingerprint && now - run.tornAt < state.opts.blameMs,
  );
}

/** Whether the request was about as old each time that a group fell under it. */
function agesAgree(state: QuarantineState, fingerprint: Fingerprint): boolean {
  const { ageFactor, ageSlackMs } = state.opts;
  const ages = ownStrikes(state, fingerprint).map(({ ageMs }) => ageMs + ageSlackMs);
  return Math.max(...ages) <= Math.min(...ages) * ageFactor;
}

export function suspicionOf(
  state: QuarantineState,
  fingerprint: Fingerprint,
  ctx: QuarantineContext,
): Suspicion {
  const certain = countingStrikes(state, fingerprint, ctx).length;
  const count = certain + pendingDomains(state, fingerprint).size;
  const { limit } = state.opts;
  if (count > limit || (count === limit && agesAgree(state, fingerprint))) return 'quarantined';
  return count > 0 || tornLately(state, fingerprint, ctx).length > 0 ? 'suspect' : 'clear';
}

/** Own runs on a group. */
export function countRunsOn(state: QuarantineState, group: GroupId): number {
  let count = 0;
  for (const run of state.running.values()) if (run.group === group) count += 1;
  return count;
}

/** When the last strike of a request ends. */
export function quarantinedUntil(
  state: QuarantineState,
  fingerprint: Fingerprint,
): Strike['until'] | undefined {
  const ends = ownStrikes(state, fingerprint).map(({ until }) => until);
  return ends.sort((a, b) => b - a)[0];
}

function allStrikes(state: QuarantineState): readonly Strike[] {
  const certain = [...state.strikes.values()].flatMap((each) => [...each.values()]);
  return [...certain, ...state.pending];
}

/** All requests blamed for the latest loss that this one met, itself included; in order. */
export function jointSuspects(
  state: QuarantineState,
  fingerprint: Fingerprint,
): readonly Fingerprint[] {
  const all = allStrikes(state);
  const own = all.filter((strike) => strike.fingerprint === fingerprint);
  const latest = own.sort((a, b) => b.at - a.at)[0];
  const together = all.filter(
    ({ group, suspect }) => group === latest?.group && suspect === latest.suspect,
  );
  return [...new Set(together.map((strike) => strike.fingerprint))].sort();
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
export function clearStrikes(state: QuarantineState, fingerprint: Fingerprint): boolean {
  const had = state.strikes.delete(fingerprint);
  const before = state.pending.length;
  state.pending = state.pending.filter((strike) => strike.fingerprint !== fingerprint);
  return had || state.pending.length < before;
}

/** The run's connection broke: if its group is lost as well, that is a strike. */
export function onRunInterrupted(
  state: QuarantineState,
  attempt: AttemptId,
  ctx: QuarantineContext,
): readonly Strike[] {
  const run = state.running.get(attempt);
  state.running.delete(attempt);
  if (run === undefined) return [];
  const torn = { ...run, tornAt: ctx.now };
  state.torn = state.torn.filter(({ tornAt }) => ctx.now - tornAt < state.opts.blameMs);
  state.torn.push(torn);
  const loss = state.lost.find(
    ({ group, at }) => group === run.group && ctx.now - at < state.opts.blameMs,
  );
  return loss === undefined ? [] : blame(state, [torn], ctx);
}

/** A group was lost: those that it ran, and whose connections broke, are to blame. */
export function onGroupLost(
  state: QuarantineState,
  { group, domain, domainDark }: Omit<LostGroup, 'at' | 'epochAt'>,
  ctx: QuarantineContext,
): readonly Strike[] {
  const { blameMs } = state.opts;
  const torn = state.torn.filter((run) => run.group === group && ctx.now - run.tornAt < blameMs);
  const loss = { group, domain, domainDark, at: ctx.now, epochAt: ctx.epoch };
  state.lost = state.lost.filter(({ at }) => ctx.now - at < blameMs);
  state.lost.push(loss);
  return blame(state, torn, ctx);
}

/** Blames all that ran; where a suspect was among them, the others are let off when it is decided. */
function blame(
  state: QuarantineState,
  torn: readonly InterruptedRun[],
  ctx: QuarantineContext,
): readonly Strike[] {
  const until = later(ctx.epoch, state.opts.retentionMs);
  const strikes = torn.map(({ fingerprint, group, domain, suspect, tornAt, startedAt }): Strike => {
    const ageMs = tornAt - startedAt;
    return { fingerprint, group, domain, suspect, ageMs, at: ctx.epoch, until };
  });
  strikes.forEach((strike) => {
    addPending(state, strike, true, ctx);
  });
  return strikes;
}

function addPending(
  state: QuarantineState,
  strike: Strike,
  isOwn: boolean,
  { now, epoch }: QuarantineContext,
): void {
  const keptMs = 2 * state.opts.blameMs;
  state.recent = state.recent.filter(({ at }) => epoch - at < keptMs);
  state.recent.push(strike);
  state.pending.push({ ...strike, isOwn, dueAt: later(now, state.opts.correlationWindowMs) });
}

/** A peer's strike. A recent one is weighed by what this daemon itself sees of lost groups. */
export function onPeerStrike(state: QuarantineState, strike: Strike, ctx: QuarantineContext): void {
  const isRecent = ctx.epoch - strike.at < state.opts.blameMs;
  if (isRecent) addPending(state, strike, false, ctx);
  else addStrike(state, strike, ctx);
}

/** A strike turned out to be no request's fault. */
export function dropStrike(
  state: QuarantineState,
  { fingerprint, group }: Pick<Strike, 'fingerprint' | 'group'>,
): void {
  state.strikes.get(fingerprint)?.delete(group);
  state.pending = state.pending.filter(
    (strike) => strike.fingerprint !== fingerprint || strike.group !== group,
  );
}

function lostTogether(state: QuarantineState, strike: Strike): readonly LostGroup[] {
  const { correlationWindowMs: togetherMs } = state.opts;
  return state.lost.filter((loss) => Math.abs(loss.epochAt - strike.at) <= togetherMs);
}

function distinctGroups(losses: readonly LostGroup[]): number {
  return new Set(losses.map(({ group }) => group)).size;
}

/** Whether the loss was no single request's doing. */
function isCommonFault(state: QuarantineState, strike: Strike): boolean {
  const together = lostTogether(state, strike);
  const isDark = together.some(({ group, domainDark }) => group === strike.group && domainDark);
  const inDomain = together.filter(({ domain }) => domain === strike.domain);
  const { domainFaultGroups: domainGroups, wideFaultGroups: wideGroups } = state.opts;
  return (
    isDark || distinctGroups(inDomain) >= domainGroups || distinctGroups(together) >= wideGroups
  );
}

/** Whether a suspect ran on the same group, on whichever daemon. */
function isExplained(state: QuarantineState, { group, suspect, at }: Strike): boolean {
  if (suspect) return false;
  const { blameMs } = state.opts;
  return state.recent.some(
    (other) => other.suspect && other.group === group && Math.abs(other.at - at) < blameMs,
  );
}

/** Decides on the strikes that are due. */
export function decideDueStrikes(state: QuarantineState, ctx: QuarantineContext): DecidedStrikes {
  const due = state.pending.filter(({ dueAt }) => dueAt <= ctx.now);
  if (due.length === 0) return { counting: [], dropped: [] };
  state.pending = state.pending.filter(({ dueAt }) => dueAt > ctx.now);
  const dropped = due.filter(
    (strike) => isCommonFault(state, strike) || isExplained(state, strike),
  );
  const counting = due.filter((strike) => !dropped.includes(strike));
  for (const { fingerprint, group, domain, suspect, ageMs, at, until } of counting) {
    addStrike(state, { fingerprint, group, domain, suspect, ageMs, at, until }, ctx);
  }
  return { counting, dropped };
}

/** When `settleStrikes` next has something to do. */
export function nextDecisionAt(state: QuarantineState): MonoTime | undefined {
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

/** Lets a strike count. */
function addStrike(state: QuarantineState, strike: Strike, ctx: QuarantineContext): void {
  const known = state.strikes.get(strike.fingerprint) ?? new Map<GroupId, Strike>();
  known.set(strike.group, strike);
  state.strikes.delete(strike.fingerprint);
  state.strikes.set(strike.fingerprint, known);
  makeRoom(state, ctx);
}

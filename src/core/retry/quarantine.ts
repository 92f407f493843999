/**
 * Quarantine of requests that crash the groups that run them. A request gets a strike when a group
 * is lost while it runs there; groups lost together indicate a fault of their domain or beyond,
 * which gives no strike. A request with one strike is a suspect: it runs without other requests on
 * its group, in another domain. With strikes on `limit` different groups it is refused. A complete
 * answer clears a suspect.
 */

import type { AttemptId, DomainId, Fingerprint, GroupId, MonoTime } from '../ids';
import { later } from '../ids';
import { createCauseCheck } from './loss-causes';
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

/** The initial state, with options that override {@link QUARANTINE_DEFAULTS}. */
export function createQuarantine(opts: Partial<QuarantineOptions> = {}): QuarantineState {
  return {
    opts: { ...QUARANTINE_DEFAULTS, ...opts },
    strikes: new Map(),
    pending: [],
    recent: [],
    running: new Map(),
    interrupted: [],
    lost: [],
  };
}

function unexpiredStrikes(
  state: QuarantineState,
  fingerprint: Fingerprint,
  { epoch }: QuarantineContext,
): readonly Strike[] {
  const strikes = [...(state.strikes.get(fingerprint)?.values() ?? [])];
  return strikes.filter(({ until }) => until > epoch);
}

function strikesOf(state: QuarantineState, fingerprint: Fingerprint): readonly Strike[] {
  const confirmed = [...(state.strikes.get(fingerprint)?.values() ?? [])];
  return [...confirmed, ...state.pending.filter((strike) => strike.fingerprint === fingerprint)];
}

/** Domains of the request's pending strikes; until decided, strikes in one domain count as one. */
function pendingDomains(state: QuarantineState, fingerprint: Fingerprint): ReadonlySet<DomainId> {
  const own = state.pending.filter((strike) => strike.fingerprint === fingerprint);
  return new Set(own.map(({ domain }) => domain));
}

/** Interrupted runs of the request whose groups may still turn out to be lost. */
function recentlyInterrupted(
  state: QuarantineState,
  fingerprint: Fingerprint,
  { now }: QuarantineContext,
): readonly InterruptedRun[] {
  return state.interrupted.filter(
    (run) =>
      run.fingerprint === fingerprint && now - run.interruptedAt < state.opts.attributionWindowMs,
  );
}

/** Whether the request had run for a similar time each time its group was lost. */
function agesAgree(state: QuarantineState, fingerprint: Fingerprint): boolean {
  const { ageFactor, ageSlackMs } = state.opts;
  const ages = strikesOf(state, fingerprint).map(({ ageMs }) => ageMs + ageSlackMs);
  return Math.max(...ages) <= Math.min(...ages) * ageFactor;
}

/** Whether a request is a suspect or quarantined. Pending strikes count one per domain. */
export function suspicionOf(
  state: QuarantineState,
  fingerprint: Fingerprint,
  ctx: QuarantineContext,
): Suspicion {
  const confirmed = unexpiredStrikes(state, fingerprint, ctx).length;
  const count = confirmed + pendingDomains(state, fingerprint).size;
  const { limit } = state.opts;
  if (count > limit || (count === limit && agesAgree(state, fingerprint))) return 'quarantined';
  return count > 0 || recentlyInterrupted(state, fingerprint, ctx).length > 0 ? 'suspect' : 'clear';
}

/** Number of this daemon's runs on a group. */
export function countRunsOn(state: QuarantineState, group: GroupId): number {
  let count = 0;
  for (const run of state.running.values()) if (run.group === group) count += 1;
  return count;
}

/** When the last strike of a request expires; `undefined` without a strike. */
export function quarantinedUntil(
  state: QuarantineState,
  fingerprint: Fingerprint,
): Strike['until'] | undefined {
  const ends = strikesOf(state, fingerprint).map(({ until }) => until);
  return ends.sort((a, b) => b - a)[0];
}

function allStrikes(state: QuarantineState): readonly Strike[] {
  const confirmed = [...state.strikes.values()].flatMap((each) => [...each.values()]);
  return [...confirmed, ...state.pending];
}

/** All requests with a strike for the latest lost group of this one, including itself; sorted. */
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

/** Domains in which the request has a strike or a recently interrupted run. */
export function struckDomains(
  state: QuarantineState,
  fingerprint: Fingerprint,
  ctx: QuarantineContext,
): ReadonlySet<DomainId> {
  const confirmed = [...(state.strikes.get(fingerprint)?.values() ?? [])];
  const domains = [...confirmed, ...recentlyInterrupted(state, fingerprint, ctx)].map(
    ({ domain }) => domain,
  );
  return new Set([...domains, ...pendingDomains(state, fingerprint)]);
}

/** Groups on which a suspect runs now; other requests should avoid them. */
export function probedGroups(state: QuarantineState): ReadonlySet<GroupId> {
  const probed = new Set<GroupId>();
  for (const run of state.running.values()) if (run.suspect) probed.add(run.group);
  return probed;
}

/** Records that a run started. */
export function onRunStart(state: QuarantineState, run: Run): void {
  state.running.set(run.attempt, run);
}

/** Records that a run ended other than by a broken connection. */
export function onRunEnd(state: QuarantineState, attempt: AttemptId): void {
  state.running.delete(attempt);
}

/** Removes a suspect's strikes after a complete answer. True if it had any. */
export function clearStrikes(state: QuarantineState, fingerprint: Fingerprint): boolean {
  const had = state.strikes.delete(fingerprint);
  const before = state.pending.length;
  state.pending = state.pending.filter((strike) => strike.fingerprint !== fingerprint);
  return had || state.pending.length < before;
}

/** Records that a run's connection broke; returns the new strike if its group was lost as well. */
export function onRunInterrupted(
  state: QuarantineState,
  attempt: AttemptId,
  ctx: QuarantineContext,
): readonly Strike[] {
  const run = state.running.get(attempt);
  state.running.delete(attempt);
  if (run === undefined) return [];
  const interrupted = { ...run, interruptedAt: ctx.now };
  state.interrupted = state.interrupted.filter(
    ({ interruptedAt }) => ctx.now - interruptedAt < state.opts.attributionWindowMs,
  );
  state.interrupted.push(interrupted);
  const loss = state.lost.find(
    ({ group, at }) => group === run.group && ctx.now - at < state.opts.attributionWindowMs,
  );
  return loss === undefined ? [] : addStrikes(state, [interrupted], ctx);
}

/** Records that a group was lost; returns a strike for each run that it interrupted. */
export function onGroupLost(
  state: QuarantineState,
  { group, domain, isDomainDown }: Omit<LostGroup, 'at' | 'epochAt'>,
  ctx: QuarantineContext,
): readonly Strike[] {
  const { attributionWindowMs } = state.opts;
  const interrupted = state.interrupted.filter(
    (run) => run.group === group && ctx.now - run.interruptedAt < attributionWindowMs,
  );
  const loss = { group, domain, isDomainDown, at: ctx.now, epochAt: ctx.epoch };
  state.lost = state.lost.filter(({ at }) => ctx.now - at < attributionWindowMs);
  state.lost.push(loss);
  return addStrikes(state, interrupted, ctx);
}

/** Adds a pending strike for each run; if a suspect is among them, only suspects are confirmed. */
function addStrikes(
  state: QuarantineState,
  interrupted: readonly InterruptedRun[],
  ctx: QuarantineContext,
): readonly Strike[] {
  const until = later(ctx.epoch, state.opts.retentionMs);
  const strikes = interrupted.map(
    ({ fingerprint, parts, group, domain, suspect, interruptedAt, startedAt }): Strike => {
      const ageMs = interruptedAt - startedAt;
      // The loss may be confirmed long after the run ended, and that of several groups at one time.
      const at = later(ctx.epoch, Math.min(0, interruptedAt - ctx.now));
      const strike = { fingerprint, group, domain, suspect, ageMs, at, until };
      return { ...strike, ...(parts && { parts }) };
    },
  );
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
  const recentMs = 2 * state.opts.attributionWindowMs;
  state.recent = state.recent.filter(({ at }) => epoch - at < recentMs);
  state.recent.push(strike);
  state.pending.push({ ...strike, isOwn, dueAt: later(now, state.opts.correlationWindowMs) });
}

/** Applies a peer's strike. A recent one stays pending, to be checked against losses seen here. */
export function onPeerStrike(state: QuarantineState, strike: Strike, ctx: QuarantineContext): void {
  const isRecent = ctx.epoch - strike.at < state.opts.attributionWindowMs;
  if (isRecent) addPending(state, strike, false, ctx);
  else addStrike(state, strike, ctx);
}

/** Removes a strike that turned out not to be the request's fault. */
export function dropStrike(
  state: QuarantineState,
  { fingerprint, group }: Pick<Strike, 'fingerprint' | 'group'>,
): void {
  state.strikes.get(fingerprint)?.delete(group);
  state.pending = state.pending.filter(
    (strike) => strike.fingerprint !== fingerprint || strike.group !== group,
  );
}

/** Confirms or drops the pending strikes that are due. */
export function decideDueStrikes(state: QuarantineState, ctx: QuarantineContext): DecidedStrikes {
  const due = state.pending.filter(({ dueAt }) => dueAt <= ctx.now);
  if (due.length === 0) return { confirmed: [], dropped: [] };
  state.pending = state.pending.filter(({ dueAt }) => dueAt > ctx.now);
  const hasOtherCause = createCauseCheck(state);
  const dropped = due.filter(hasOtherCause);
  const confirmed = due.filter((strike) => !dropped.includes(strike));
  for (const { fingerprint, group, domain, suspect, ageMs, at, until } of confirmed) {
    addStrike(state, { fingerprint, group, domain, suspect, ageMs, at, until }, ctx);
  }
  return { confirmed, dropped };
}

/** When `decideDueStrikes` is due next; `undefined` if no strike is pending. */
export function nextDecisionAt(state: QuarantineState): MonoTime | undefined {
  return state.pending[0]?.dueAt;
}

function expiryOf(strikes: ReadonlyMap<GroupId, Strike>): number {
  return Math.max(...[...strikes.values()].map(({ until }) => until));
}

/** If there are too many fingerprints, removes expired ones, then those struck least recently. */
function evictFingerprints(state: QuarantineState, { epoch }: QuarantineContext): void {
  if (state.strikes.size <= state.opts.maxFingerprints) return;
  for (const [fingerprint, strikes] of state.strikes) {
    if (expiryOf(strikes) <= epoch) state.strikes.delete(fingerprint);
  }
  while (state.strikes.size > state.opts.maxFingerprints) {
    const oldest = state.strikes.keys().next();
    if (oldest.done === true) return;
    state.strikes.delete(oldest.value);
  }
}

/** Adds a confirmed strike. */
function addStrike(state: QuarantineState, strike: Strike, ctx: QuarantineContext): void {
  const known = state.strikes.get(strike.fingerprint) ?? new Map<GroupId, Strike>();
  known.set(strike.group, strike);
  state.strikes.delete(strike.fingerprint);
  state.strikes.set(strike.fingerprint, known);
  evictFingerprints(state, ctx);
}

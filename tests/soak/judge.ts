/** Checks what callers and backend servers observed against the system's guarantees. */

import { HEADERS } from '../../platform/names';
import type { ServerName } from '../../src/core/ids';
import { signatureOf } from '../../stand-ins/users-platform/signature';
import type { Run } from '../../stand-ins/users-platform/servers';
import { eventIds } from '../support/gateway-daemon';
import type { Reply } from '../support/gateway-daemon';
import { checkBadGateway, checkHeld, checkMissing, checkSpoils } from './answered';
import { DEPOT } from './callers';
import { lastOpen } from './incidents';
import type { Call, Kind } from './callers';
import type { World } from './world';

/** Statuses that guarantee that the request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Statuses for invalid requests; no caller of the soak sends one. */
const INVALID_REQUEST: ReadonlySet<number> = new Set([400, 401, 403, 404, 413, 431]);
const MAX_ATTEMPTS = 2;

const isStream = (kind: Kind): boolean => kind === 'stream' || kind === 'once';
const isIdempotent = (kind: Kind): boolean => kind === 'stream' || kind === 'safe';

type Check = (call: Call, reply: Reply, runs: readonly Run[], world: World) => string | undefined;

function expectedIds(count: number): string {
  return Array.from({ length: count }, (_, i) => i + 1).join();
}

/** An interrupted stream is a prefix of the complete one, and only a complete stream ends normally. */
const checkEvents: Check = ({ kind, events, requestId }, { status, text, isWhole }) => {
  if (!isStream(kind) || status !== 200) return undefined;
  const ids = eventIds(text);
  if (ids.join() !== expectedIds(ids.length)) return `events ${ids.join()} of ${events}`;
  if (isWhole && ids.length !== events) return `${ids.length} events of ${events} look complete`;
  const misrouted = [...text.matchAll(/^data: (\S+)/gm)].find((match) => match[1] !== requestId);
  return misrouted && `event of ${misrouted[1] ?? ''}`;
};

/** Where a stream ran, and when each of its connections to servers ended, from the time it was sent. */
function describeRuns(runs: readonly Run[], { sentAt }: Call): string {
  const texts = runs.map(({ server, closedAt }) =>
    closedAt === undefined
      ? `${server} open`
      : `${server} until ${Math.round(closedAt - sentAt)} ms`,
  );
  return texts.join(', ');
}

/** A stream that began ends whole, unless a fault of the run ended its server, its connection or its daemon. */
const checkTorn: Check = (call, { status, text, isWhole }, runs, { incidents }) => {
  if (!isStream(call.kind) || status !== 200 || isWhole) return undefined;
  if (incidents.explain(call, runs) || lastOpen(runs)?.isSpoiled === true) return undefined;
  const endedMs = Math.round(call.endedAt - call.sentAt);
  const ran = describeRuns(runs, call);
  return `torn after ${eventIds(text).length} of ${call.events} events and ${endedMs} ms, ran at ${ran}`;
};

const checkBody: Check = ({ kind, requestId, body }, { status, text, isWhole }) => {
  if (isStream(kind) || status !== 200 || !isWhole) return undefined;
  return text === `${requestId} ${body}` ? undefined : `body ${text}`;
};

/** A signed response carries the signature of a server that ran this request; every success is signed. */
const checkSignature: Check = ({ requestId }, { status, headers }, runs) => {
  const signature = headers[HEADERS.signature];
  if (signature === undefined)
    return status < 300 ? 'successful response without a signature' : undefined;
  const isKnown = runs.some(({ server }) => signature === signatureOf(server, requestId));
  return isKnown ? undefined : `signature ${String(signature)} matches no run of the request`;
};

const checkRefusal: Check = ({ kind, organisation }, { status, headers }, runs) => {
  const isFromDaemon = headers[HEADERS.signature] === undefined;
  // The key of an added organisation is not known at once, and not while the store is away.
  const isKnown = organisation === DEPOT.name || status !== 401;
  if (isFromDaemon && isKnown && INVALID_REQUEST.has(status))
    return `valid request rejected with ${status}`;
  const hasRun = !isIdempotent(kind) && NOT_RUN.has(status) && runs.length > 0;
  return hasRun ? `rejected with ${status} although it ran` : undefined;
};

const REPLY_CHECKS: readonly Check[] = [
  checkEvents,
  checkTorn,
  checkBody,
  checkSignature,
  checkRefusal,
];

function checkRuns({ kind, body, organisation }: Call, runs: readonly Run[]): string[] {
  const maxRuns = isIdempotent(kind) ? MAX_ATTEMPTS : 1;
  const faults: string[] = [];
  if (runs.length > maxRuns) faults.push(`ran ${runs.length} times`);
  for (const run of runs) {
    if (run.body !== body || run.path !== `/${kind}/x`)
      faults.push(`ran as ${run.path} ${run.body}`);
    if (run.organisation !== organisation) faults.push(`ran for ${run.organisation}`);
    if (run.hadKey) faults.push('ran with the API key');
  }
  return faults;
}

/** Returns every violated guarantee, with the request's id where it concerns a request. */
export function judge(world: World, calls: readonly Call[]): string[] {
  const { runs, fleet } = world.platform;
  const byId = new Map<string, Run[]>();
  for (const run of runs) byId.set(run.requestId, [...(byId.get(run.requestId) ?? []), run]);
  const faults = [...fleet.violations, ...world.unmeantEnds, ...checkSpoils(world)];
  const reached = new Map<string, ServerName[]>();
  for (const { requestId, server } of world.platform.statements.arrivals)
    reached.set(requestId, [...(reached.get(requestId) ?? []), server]);
  const serversOf = (requestId: string) => reached.get(requestId) ?? [];
  for (const call of calls) {
    const own = byId.get(call.requestId) ?? [];
    byId.delete(call.requestId);
    const { reply } = call;
    const ofReply = reply ? REPLY_CHECKS.map((check) => check(call, reply, own, world)) : [];
    const ofCall = [checkMissing(call, own, world), checkBadGateway(call, own, world, serversOf)];
    for (const fault of [
      ...checkRuns(call, own),
      ...checkHeld(call, world),
      ...ofReply,
      ...ofCall,
    ]) {
      if (fault === undefined) continue;
      const beside = world.incidents.faultsDuring(call.sentAt, call.endedAt).join();
      faults.push(`${call.requestId} at ${call.daemon}: ${fault}${beside && `, beside ${beside}`}`);
    }
  }
  for (const [id, unknown] of byId) {
    if (unknown.some(({ path }) => !path.endsWith('/probe')))
      faults.push(`${id}: ran a request that no caller sent`);
  }
  return faults;
}

/** What the judge's messages are about, the first that fits. */
const SUBJECTS: readonly (readonly [string, RegExp])[] = [
  ['process ended by itself', /exited unexpectedly/],
  ['read without end', /for good$/],
  ['no header holds the name', /no header can hold/],
  ['ran and got no answer', /got no answer/],
  ['closed unanswered', /closed unanswered/],
  ['held past its deadline', /after its deadline/],
  ['torn', /: torn after/],
  ['502', /: 502/],
  ['events', /: events? /],
  ['not recovered', /still returns/],
  ['other', /^/],
];

/** Counts the faults by subject. */
export function summarize(faults: readonly string[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const fault of faults) {
    const [subject] = SUBJECTS.find(([, pattern]) => pattern.test(fault)) ?? ['other'];
    counts[subject] = (counts[subject] ?? 0) + 1;
  }
  return counts;
}

/** Counts the calls by kind and outcome. */
export function tally(calls: readonly Call[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { kind, reply } of calls) {
    const outcome = reply === undefined ? 'none' : `${reply.status}${reply.isWhole ? '' : ' torn'}`;
    const name = `${kind} ${outcome}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

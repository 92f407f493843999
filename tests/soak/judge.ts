/** What callers and backend servers saw, held against what the system promises. */

import { HEADERS } from '../../platform/names';
import { signatureOf } from '../../stand-ins/users-platform/servers';
import type { Run } from '../../stand-ins/users-platform/servers';
import { eventIds } from '../support/gateway-daemon';
import type { Reply } from '../support/gateway-daemon';
import type { Call } from './callers';
import type { World } from './world';

/** These promise that the request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Nothing that a caller does here deserves one of these. */
const DENIALS: ReadonlySet<number> = new Set([400, 401, 403, 404, 413, 431]);
const MAX_ATTEMPTS = 2;

type Check = (call: Call, reply: Reply, runs: readonly Run[]) => string | undefined;

function expectedIds(count: number): string {
  return Array.from({ length: count }, (_, i) => i + 1).join();
}

/** A part of a stream is a prefix of the whole, and only the whole one ends properly. */
const checkEvents: Check = ({ kind, events, requestId }, { status, text, isWhole }) => {
  if (kind !== 'stream' || status !== 200) return undefined;
  const ids = eventIds(text);
  if (ids.join() !== expectedIds(ids.length)) return `events ${ids.join()} of ${events}`;
  if (isWhole && ids.length !== events) return `${ids.length} events of ${events} look complete`;
  const foreign = [...text.matchAll(/^data: (\S+)/gm)].find((match) => match[1] !== requestId);
  return foreign && `event of ${foreign[1] ?? ''}`;
};

const checkBody: Check = ({ kind, requestId, body }, { status, text, isWhole }) => {
  if (kind === 'stream' || status !== 200 || !isWhole) return undefined;
  return text === `${requestId} ${body}` ? undefined : `body ${text}`;
};

/** An answer bears the signature of a server that ran this request. */
const checkSignature: Check = ({ requestId }, { status, headers }, runs) => {
  const signature = headers[HEADERS.signature];
  if (signature === undefined) return status < 300 ? 'a success without signature' : undefined;
  const isKnown = runs.some(({ server }) => signature === signatureOf(server, requestId));
  return isKnown ? undefined : `signature ${String(signature)} of no run`;
};

const checkRefusal: Check = ({ kind }, { status, headers }, runs) => {
  const isOwn = headers[HEADERS.signature] === undefined;
  if (isOwn && DENIALS.has(status)) return `denied with ${status}`;
  const hasRun = kind === 'unsafe' && NOT_RUN.has(status) && runs.length > 0;
  return hasRun ? `refused with ${status} though it ran` : undefined;
};

const REPLY_CHECKS: readonly Check[] = [checkEvents, checkBody, checkSignature, checkRefusal];

function checkRuns({ kind, body }: Call, runs: readonly Run[]): string[] {
  const most = kind === 'unsafe' ? 1 : MAX_ATTEMPTS;
  const faults: string[] = [];
  if (runs.length > most) faults.push(`ran ${runs.length} times`);
  for (const run of runs) {
    if (run.body !== body || run.path !== `/${kind}/x`)
      faults.push(`ran as ${run.path} ${run.body}`);
    if (run.organisation !== 'depot') faults.push(`ran for ${run.organisation}`);
    if (run.hadKey) faults.push('ran with the API key');
  }
  return faults;
}

/** Every promise that was broken, with the request's id. */
export function judge(world: World, calls: readonly Call[]): string[] {
  const { runs, fleet } = world.platform;
  const byId = new Map<string, Run[]>();
  for (const run of runs) byId.set(run.requestId, [...(byId.get(run.requestId) ?? []), run]);
  const faults = [...fleet.violations, ...world.unmeantEnds];
  for (const call of calls) {
    const own = byId.get(call.requestId) ?? [];
    byId.delete(call.requestId);
    const { reply } = call;
    const ofReply = reply ? REPLY_CHECKS.map((check) => check(call, reply, own)) : [];
    for (const fault of [...checkRuns(call, own), ...ofReply]) {
      if (fault !== undefined) faults.push(`${call.requestId} at ${call.daemon}: ${fault}`);
    }
  }
  for (const [id, unknown] of byId) {
    if (unknown.some(({ path }) => !path.endsWith('/probe')))
      faults.push(`${id}: nobody's request ran`);
  }
  return faults;
}

/** Counts of what callers got, by kind and outcome. */
export function tally(calls: readonly Call[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { kind, reply } of calls) {
    const outcome = reply === undefined ? 'none' : `${reply.status}${reply.isWhole ? '' : ' torn'}`;
    const name = `${kind} ${outcome}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

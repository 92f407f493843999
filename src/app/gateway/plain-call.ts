/**
 * Proxies a call to a plain service. The answer is buffered completely and checked before it is
 * forwarded, so that a safe call can be retried at another server; an unsafe one is sent once.
 */

import type { IncomingMessage } from 'node:http';

import type { BackendServer } from '../../core/gateway/types';
import { brandAs, later } from '../../core/ids';
import type { DomainId, GroupId, InstanceId } from '../../core/ids';
import { sendResponse } from './caller-response';
import { endQuarantined, endUnanswered, logRequestEnd, logFailedAttempt } from './exchange';
import type { Exchange, Execution } from './exchange';
import { sendOnce } from './plain-attempt';
import type { Attempt, PlainAttemptDeps } from './plain-attempt';
import type { Departure } from './plain-departure';
import { createPlainServers } from './plain-servers';
import type { Quarantine, RequestRun } from './quarantine/quarantine';
import type { RunTarget } from './quarantine/server-checks';
import type { Retries } from './retries';
import type { ServerLinkWatch } from './server-links';
import type { ServerRegistry } from './server-registry';

export interface PlainDeps extends PlainAttemptDeps {
  readonly serverRegistry: ServerRegistry;
  readonly retries: Retries;
  readonly quarantine: Pick<Quarantine, 'standing' | 'begin'>;
  readonly serverLinks: Pick<ServerLinkWatch, 'isUnreachable'>;
}

export interface PlainCalls {
  call(exchange: Exchange): Promise<void>;
}

/** Progress of one call over all its attempts. */
interface PlainState {
  readonly tried: Set<InstanceId>;
  /** Servers that the call was sent to. An unreachable server does not count. */
  attempts: number;
  exposure: Execution;
  /** Why the last attempt failed. */
  reason: string | undefined;
  /** The server for which the last one was left; a token and a retry were taken for it. */
  next: BackendServer | undefined;
}

/**
 * A safe call leaves a silent server after this share of its remaining time, and only while as much
 * is left for another one.
 */
const FIRST_ATTEMPT_SHARE = 0.45;
const FIRST_SERVER_ERROR = 500;

export function createPlainCalls(deps: PlainDeps): PlainCalls {
  const { ctx, retries, quarantine } = deps;
  const servers = createPlainServers(deps);

  const attempt = async (
    exchange: Exchange,
    server: BackendServer,
    departure: Departure | undefined,
  ): Promise<Attempt> => {
    const startedAt = ctx.clock.now();
    servers.noteSent(server);
    const run = quarantine.begin(exchange, runTargetOf(server));
    const result = await sendOnce(deps, exchange, server, departure).catch((err: unknown) => {
      run.ended(false);
      servers.noteEnded(server, { hasFailed: false, answeredMs: undefined });
      throw err;
    });
    noteRunEnd(run, result);
    servers.noteEnded(server, {
      hasFailed: result.kind !== 'answered' || isServerError(result.res),
      answeredMs: result.kind === 'answered' ? ctx.clock.now() - startedAt : undefined,
    });
    return result;
  };

  const canRetry = (exchange: Exchange, state: PlainState, result: Attempt): boolean => {
    const { route, service } = exchange;
    if (exchange.gone.aborted || ctx.clock.now() >= exchange.answerBy) return false;
    if (state.next || result.kind === 'not-sent') return true;
    if (state.attempts >= route.maxAttempts) return false;
    const isAllowed = result.kind === 'not-run' || route.kind === 'safe';
    return isAllowed && retries.mayRetry(service);
  };

  const isQuarantined = (exchange: Exchange): boolean => {
    const standing = quarantine.standing(exchange);
    return standing === 'held' || standing === 'refused';
  };

  /** Takes another server and a retry, the retry last, as it cannot be returned to the budget. */
  const prepareNext = (exchange: Exchange, state: PlainState): boolean => {
    const { service } = exchange;
    if (isQuarantined(exchange) || !retries.hasRetry(service)) return false;
    const next = servers.take(service, state.tried);
    if (!next) return false;
    if (retries.mayRetry(service)) state.next = next;
    else servers.giveBack(next);
    return state.next !== undefined;
  };

  /** When the call may leave its server; undefined if it must not. */
  const departureOf = (exchange: Exchange, state: PlainState): Departure | undefined => {
    const { route, answerBy } = exchange;
    if (route.kind !== 'safe' || state.attempts + 1 >= route.maxAttempts) return undefined;
    const now = ctx.clock.now();
    const shareMs = (answerBy - now) * FIRST_ATTEMPT_SHARE;
    return {
      from: later(now, shareMs),
      until: later(answerBy, -shareMs),
      prepare: () => prepareNext(exchange, state),
    };
  };

  /** Returns the token that was taken for a server to which the call is not sent after all. */
  const giveBackNext = (state: PlainState): void => {
    const next = takeNext(state);
    if (next) servers.giveBack(next);
  };

  const endUnserved = (exchange: Exchange, state: PlainState): void => {
    giveBackNext(state);
    const { exposure, attempts } = state;
    const { reason: unserved, ...hint } = servers.explainNone(exchange.service);
    const reason = state.reason ?? unserved;
    endUnanswered(ctx, exchange, { exposure, reason, attempts, ...hint });
  };

  const call = async (exchange: Exchange): Promise<void> => {
    const state: PlainState = {
      ...{ tried: new Set<InstanceId>(), attempts: 0, exposure: 'not-run' },
      ...{ reason: undefined, next: undefined },
    };
    retries.noteRequest(exchange.service);
    for (;;) {
      const standing = quarantine.standing(exchange);
      if (standing === 'held' || standing === 'refused') {
        giveBackNext(state);
        endQuarantined(ctx, exchange, standing, state);
        return;
      }
      // Its answer might be cut by the end of the daemon.
      if (state.exposure === 'not-run' && exchange.isTooLate?.() === true) break;
      const server = takeNext(state) ?? servers.take(exchange.service, state.tried);
      if (!server) break;
      state.tried.add(server.id);
      const result = await attempt(exchange, server, departureOf(exchange, state));
      if (result.kind !== 'not-sent') state.attempts += 1;
      const { attempts } = state;
      if (exchange.gone.aborted) {
        giveBackNext(state);
        const { id } = server;
        logRequestEnd(ctx, exchange, { outcome: 'caller-gone', status: 0, attempts, server: id });
        return;
      }
      if (result.kind === 'answered') {
        const isRetriable = isServerError(result.res) && exchange.route.kind === 'safe';
        if (!isRetriable || !canRetry(exchange, state, result)) {
          giveBackNext(state);
          forwardAnswer(deps, exchange, result, server, attempts);
          return;
        }
        state.exposure = 'unknown';
        continue;
      }
      const { reason } = result;
      state.reason = reason;
      logFailedAttempt(ctx, exchange, { server: server.id, ended: result.kind, reason });
      if (result.kind === 'lost') {
        state.exposure = 'unknown';
        if (result.byPeer) state.tried.delete(server.id);
      }
      if (!canRetry(exchange, state, result)) break;
    }
    endUnserved(exchange, state);
  };

  return { call };
}

/** The server for which the last one was left, if it was. */
function takeNext(state: PlainState): BackendServer | undefined {
  const { next } = state;
  state.next = undefined;
  return next;
}

/** A server of a plain service is a group and a domain of its own. */
function runTargetOf({ id, address }: BackendServer): RunTarget {
  return { server: id, address, group: brandAs<GroupId>(id), domain: brandAs<DomainId>(id) };
}

function noteRunEnd(run: RequestRun, result: Attempt): void {
  if (result.kind === 'lost' && result.isBrokenByServer) run.broken();
  else run.ended(result.kind === 'answered');
}

function isServerError({ statusCode = 0 }: IncomingMessage): boolean {
  return statusCode >= FIRST_SERVER_ERROR;
}

function forwardAnswer(
  { ctx, dialect }: PlainDeps,
  exchange: Exchange,
  { res, body, framing }: Extract<Attempt, { kind: 'answered' }>,
  server: BackendServer,
  attempts: number,
): void {
  const status = res.statusCode ?? 0;
  sendResponse(exchange.res, { status, headers: dialect.reply(res.rawHeaders), framing }, body);
  logRequestEnd(ctx, exchange, { outcome: 'served', status, attempts, server: server.id, framing });
}

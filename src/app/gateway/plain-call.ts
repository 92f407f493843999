/**
 * Proxies a call to a plain service. The answer is buffered completely and checked before it is
 * forwarded, so that a safe call can be retried at another server; an unsafe one is sent once.
 */

import type { IncomingMessage } from 'node:http';

import type { Answered, Upstream } from '../../adapters/upstream/upstream';
import { choosePlain } from '../../core/gateway/balance';
import type { PlainCandidate } from '../../core/gateway/balance';
import { organisationNameOf } from '../../core/gateway/routes';
import type { BackendServer } from '../../core/gateway/types';
import { later } from '../../core/ids';
import type { InstanceId, MonoTime, ServiceId } from '../../core/ids';
import type { ResponseFacts, HeaderDialect } from '../../ports/gateway';
import { fail } from '../../utils/errors';
import { minOrZero } from './throttle';
import type { Throttle } from './throttle';
import type { GatewayContext } from './context';
import {
  endUnanswered,
  logRequestEnd,
  logFailedAttempt,
  evacuatedError,
  RETRY_AFTER_UNSERVED,
  heldBackError,
  retryAfterDelay,
} from './exchange';
import type { EvacuatedZones } from './evacuations';
import type { Exchange, Execution, RetryAfter } from './exchange';
import type { Retries } from './retries';
import type { ServerRegistry } from './server-registry';
import type { ServerNotices } from './server-notices';

export interface PlainDeps {
  readonly ctx: GatewayContext;
  readonly serverRegistry: ServerRegistry;
  readonly upstream: Upstream;
  readonly dialect: HeaderDialect;
  readonly retries: Retries;
  readonly notices: ServerNotices;
  readonly throttle: Throttle;
  readonly evacuations: EvacuatedZones;
}

export interface PlainCalls {
  call(exchange: Exchange): Promise<void>;
}

/** Measurements of one server. */
interface ServerRecord {
  running: number;
  failures: number;
  latencyMs: number | undefined;
}

/** Result of one attempt. */
type Attempt =
  | {
      readonly kind: 'answered';
      readonly res: IncomingMessage;
      readonly body: Buffer;
      readonly facts: ResponseFacts;
    }
  /** No connection to the server. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** The server states that it did not execute the call. */
  | { readonly kind: 'not-run'; readonly reason: string }
  | { readonly kind: 'lost'; readonly reason: string };

interface Unserved {
  readonly reason: string;
  readonly retryAfter?: RetryAfter;
}

/** Weight of the latest call in a server's running means. */
const SMOOTHING = 0.15;
/**
 * A safe call that can be retried leaves a silent server after this share of its remaining time.
 */
const FIRST_ATTEMPT_SHARE = 0.45;
/** Limit on buffered answers; far above what plain services send. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const FIRST_SERVER_ERROR = 500;

const NO_SERVER = 'no server of the service is known';
const EVACUATED = 'all servers of the service are in evacuated zones';
const NO_CAPACITY = 'all servers of the service are rate-limited or backing off';

export function createPlainCalls(deps: PlainDeps): PlainCalls {
  const { ctx, serverRegistry, retries, throttle, evacuations } = deps;
  const records = new Map<InstanceId, ServerRecord>();

  const recordOf = (id: InstanceId): ServerRecord => {
    const known = records.get(id);
    if (known) return known;
    const record: ServerRecord = { running: 0, failures: 0, latencyMs: undefined };
    records.set(id, record);
    return record;
  };

  const registeredServers = (service: ServiceId): BackendServer[] =>
    [...serverRegistry.servers.values()].filter(
      (server) => server.service === service && !server.isDraining,
    );

  const serversOf = (service: ServiceId): BackendServer[] =>
    registeredServers(service).filter(({ zone }) => !evacuations.isEvacuated(zone));

  const candidates = (service: ServiceId, tried: ReadonlySet<InstanceId>): PlainCandidate[] =>
    serversOf(service)
      .filter(({ id }) => throttle.tokens(id) >= 1)
      .map(({ id, zone, batchSize }) => ({
        id,
        zone,
        batchSize,
        ...recordOf(id),
        isTried: tried.has(id),
      }));

  /**
   * Time until a server of the service accepts a request, under their rate limits and backoffs,
   * milliseconds.
   */
  const msUntilAnyAccepts = (service: ServiceId): number =>
    minOrZero(serversOf(service).map(({ id }) => throttle.msUntilAccepted(id)));

  /** Why no server can be chosen and when to retry, if known. */
  const explainNoServer = (service: ServiceId): Unserved => {
    const isEvacuated = serversOf(service).length === 0 && registeredServers(service).length > 0;
    if (isEvacuated) return { reason: EVACUATED, retryAfter: RETRY_AFTER_UNSERVED };
    const acceptedInMs = msUntilAnyAccepts(service);
    if (acceptedInMs === 0) return { reason: NO_SERVER };
    return { reason: NO_CAPACITY, retryAfter: retryAfterDelay(acceptedInMs) };
  };

  const choose = (
    exchange: Exchange,
    tried: ReadonlySet<InstanceId>,
  ): BackendServer | undefined => {
    const found = choosePlain(
      candidates(exchange.service, tried),
      ctx.settings.zone,
      ctx.random.next(),
    );
    return found && serverRegistry.servers.get(found.id);
  };

  const attempt = async (
    exchange: Exchange,
    server: BackendServer,
    until: MonoTime,
  ): Promise<Attempt> => {
    const record = recordOf(server.id);
    const startedAt = ctx.clock.now();
    record.running += 1;
    throttle.takeToken(server.id);
    const result = await sendOnce(deps, exchange, server, until);
    record.running -= 1;
    const hasFailed = result.kind !== 'answered' || isServerError(result.res);
    record.failures += SMOOTHING * (Number(hasFailed) - record.failures);
    if (result.kind === 'answered') {
      const ms = ctx.clock.now() - startedAt;
      record.latencyMs = (record.latencyMs ?? ms) + SMOOTHING * (ms - (record.latencyMs ?? ms));
    }
    return result;
  };

  /** `attempts`: servers that the call was sent to. An unreachable server does not count. */
  const canRetry = (exchange: Exchange, attempts: number, result: Attempt): boolean => {
    const { route, service } = exchange;
    if (exchange.gone.aborted || ctx.clock.now() >= exchange.answerBy) return false;
    if (result.kind === 'not-sent') return true;
    if (attempts >= route.maxAttempts) return false;
    const isAllowed = result.kind === 'not-run' || route.kind === 'safe';
    return isAllowed && retries.mayRetry(service);
  };

  const attemptDeadline = (exchange: Exchange, attempts: number): MonoTime => {
    const { route, answerBy } = exchange;
    if (route.kind !== 'safe' || attempts + 1 >= route.maxAttempts) return answerBy;
    const now = ctx.clock.now();
    return later(now, (answerBy - now) * FIRST_ATTEMPT_SHARE);
  };

  const call = async (exchange: Exchange): Promise<void> => {
    const tried = new Set<InstanceId>();
    let exposure: Execution = 'not-run';
    let reason: string | undefined;
    let attempts = 0;
    retries.noteRequest(exchange.service);
    for (;;) {
      const server = choose(exchange, tried);
      if (!server) break;
      const result = await attempt(exchange, server, attemptDeadline(exchange, attempts));
      tried.add(server.id);
      if (result.kind !== 'not-sent') attempts += 1;
      if (exchange.gone.aborted) {
        const { id } = server;
        logRequestEnd(ctx, exchange, { outcome: 'caller-gone', status: 0, attempts, server: id });
        return;
      }
      if (result.kind === 'answered') {
        const isRetriable = isServerError(result.res) && exchange.route.kind === 'safe';
        if (!isRetriable || !canRetry(exchange, attempts, result)) {
          forwardAnswer(deps, exchange, result, server, attempts);
          return;
        }
        exposure = 'unknown';
        continue;
      }
      reason = result.reason;
      logFailedAttempt(ctx, exchange, { server: server.id, ended: result.kind, reason });
      if (result.kind === 'lost') exposure = 'unknown';
      if (!canRetry(exchange, attempts, result)) break;
    }
    const { reason: unserved, ...hint } = explainNoServer(exchange.service);
    endUnanswered(ctx, exchange, { exposure, reason: reason ?? unserved, attempts, ...hint });
  };

  return { call };
}

function isServerError({ statusCode = 0 }: IncomingMessage): boolean {
  return statusCode >= FIRST_SERVER_ERROR;
}

function forwardAnswer(
  { ctx, dialect }: PlainDeps,
  exchange: Exchange,
  { res, body }: Extract<Attempt, { kind: 'answered' }>,
  server: BackendServer,
  attempts: number,
): void {
  const status = res.statusCode ?? 0;
  const headers = dialect.reply(res.rawHeaders);
  exchange.res.writeHead(status, [...headers, 'Content-Length', String(body.length)]);
  exchange.res.end(body);
  logRequestEnd(ctx, exchange, { outcome: 'served', status, attempts, server: server.id });
}

/** Sends the call to one server and reads its complete answer, until `until` at the latest. */
async function sendOnce(
  deps: PlainDeps,
  exchange: Exchange,
  server: BackendServer,
  until: MonoTime,
): Promise<Attempt> {
  const { ctx, upstream, dialect, throttle, evacuations } = deps;
  const now = ctx.clock.now();
  const limit = AbortSignal.any([
    exchange.gone,
    AbortSignal.timeout(Math.ceil(Math.max(1, until - now))),
  ]);
  const { method = 'GET', url = '/', rawHeaders } = exchange.req;
  const organisation = organisationNameOf(exchange.caller);
  const hasBody = exchange.body.length > 0 || exchange.req.headers['content-length'] !== undefined;
  const sent = await upstream.send({
    address: server.address,
    method,
    path: url,
    headers: dialect.forward(rawHeaders, {
      server: server.name,
      leftMs: Math.min(exchange.deadline, exchange.answerBy) - now,
      ...(hasBody && { bodyBytes: exchange.body.length }),
      ...(organisation !== undefined && { organisation }),
    }),
    body: exchange.body,
    ownConnection: false,
    signal: limit,
    beforeSend: () => {
      if (ctx.clock.now() >= until)
        return fail('deadline-exceeded', 'deadline reached before sending', { step: 'send' });
      if (evacuations.isEvacuated(server.zone)) return evacuatedError();
      if (throttle.maySend(server.id)) return undefined;
      return heldBackError(throttle.isBackingOff(server.id));
    },
  });
  if (sent.kind === 'not-sent') {
    throttle.returnToken(server.id);
    return { kind: 'not-sent', reason: sent.error.message };
  }
  if (sent.kind === 'lost') return { kind: 'lost', reason: sent.error.message };
  return readAnswer(deps, exchange, { server, sentAt: now, answered: sent, limit });
}

/** An answer, with the attempt that it belongs to. */
interface SentAnswer {
  readonly server: BackendServer;
  readonly sentAt: MonoTime;
  readonly answered: Answered;
  readonly limit: AbortSignal;
}

async function readAnswer(
  { notices }: PlainDeps,
  exchange: Exchange,
  { server, sentAt, answered, limit }: SentAnswer,
): Promise<Attempt> {
  const { res, destroy } = answered;
  const status = res.statusCode ?? 0;
  const facts = notices.read(server.id, res, sentAt);
  const discard = (reason: string): Attempt => {
    destroy();
    return { kind: 'lost', reason };
  };
  if (facts.requestId !== undefined && facts.requestId !== exchange.facts.requestId) {
    return discard('answer belongs to another request');
  }
  if (facts.isNotExecuted) {
    res.resume();
    return {
      kind: 'not-run',
      reason: `server reports the request as not executed (status ${status})`,
    };
  }
  const body = await collect(res, limit);
  if (!body || answered.hasFailed()) return discard('answer incomplete: connection broken');
  if (!facts.isSigned && status < 300) return discard('answer is not signed');
  if (res.headers['content-encoding'] !== undefined)
    return discard('answer has an unexpected Content-Encoding');
  return { kind: 'answered', res, body, facts };
}

/** The complete body; undefined if it is incomplete. */
function collect(res: IncomingMessage, limit: AbortSignal): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const stopReading = (): void => {
      resolve(undefined);
    };
    res.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes > MAX_ANSWER_BYTES) stopReading();
    });
    res.on('end', () => {
      resolve(res.complete ? Buffer.concat(chunks) : undefined);
    });
    res.on('error', stopReading);
    res.on('close', stopReading);
    limit.addEventListener('abort', stopReading, { once: true });
  });
}

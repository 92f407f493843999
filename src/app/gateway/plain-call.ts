/**
 * Proxies a call to a plain service. The answer is buffered completely and checked before it is
 * forwarded, so that a safe call can be retried at another server; an unsafe one is sent once.
 */

import type { IncomingMessage } from 'node:http';

import { choosePlain } from '../../core/gateway/balance';
import type { PlainCandidate } from '../../core/gateway/balance';
import type { BackendServer } from '../../core/gateway/types';
import { brandAs, later } from '../../core/ids';
import type { DomainId, GroupId, InstanceId, MonoTime, ServiceId } from '../../core/ids';
import { minOrZero } from './throttle';
import {
  endQuarantined,
  endUnanswered,
  logRequestEnd,
  logFailedAttempt,
  RETRY_AFTER_UNSERVED,
  retryAfterDelay,
} from './exchange';
import type { Exchange, Execution, RetryAfter } from './exchange';
import { sendOnce } from './plain-attempt';
import type { Attempt, PlainAttemptDeps } from './plain-attempt';
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

/** Measurements of one server. */
interface ServerRecord {
  running: number;
  failures: number;
  latencyMs: number | undefined;
}

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
const FIRST_SERVER_ERROR = 500;

const NO_SERVER = 'no server of the service is known';
const EVACUATED = 'all servers of the service are in evacuated zones';
const UNREACHABLE = 'no server is reached, neither directly nor through a peer';
const NO_CAPACITY = 'all servers of the service are rate-limited or backing off';

export function createPlainCalls(deps: PlainDeps): PlainCalls {
  const { ctx, serverRegistry, retries, throttle, evacuations, quarantine } = deps;
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
    if (deps.serverLinks.isUnreachable(service))
      return { reason: UNREACHABLE, retryAfter: RETRY_AFTER_UNSERVED };
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
    const run = quarantine.begin(exchange, runTargetOf(server));
    const result = await sendOnce(deps, exchange, server, until);
    noteRunEnd(run, result);
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
      const standing = quarantine.standing(exchange);
      if (standing === 'held' || standing === 'refused') {
        endQuarantined(ctx, exchange, standing, { exposure, attempts });
        return;
      }
      const isUnreachable = deps.serverLinks.isUnreachable(exchange.service);
      const server = isUnreachable ? undefined : choose(exchange, tried);
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

/** Matches requests with the configuration in force: route, caller, service and deadlines. */

import type { IncomingMessage, ServerResponse } from 'node:http';

import { mayDeny } from '../../core/gateway/denial';
import { identifyCaller, pickTarget, priorityOf } from '../../core/gateway/routes';
import type { RouteTable } from '../../core/gateway/routes';
import type { Route } from '../../core/gateway/types';
import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';
import { encodeHeaderText } from '../../utils/header-text';
import type { RequestFacts } from '../../ports/gateway';
import type { ConfigView } from './config-view';
import type { GatewayContext } from './context';
import { deadlinesOf } from './exchange';
import type { Exchange, RetryAfter } from './exchange';

export interface MatchingDeps {
  readonly ctx: GatewayContext;
  readonly config: ConfigView;
}

/** An answer of the daemon's own. */
export type Refusal = readonly [status: number, message: string, retryAfter?: RetryAfter];

/**
 * A peer with access to the store sends what is missing here after a quarter of a second. Callers
 * retry spread over the time after that, most of them at another daemon.
 */
const RETRY_AFTER_UNCONFIRMED: RetryAfter = { minMs: 300, spreadMs: 700 };

/** Servers are told the organisation of each request, in a header. */
const UNNAMEABLE: Refusal = [503, 'no header can hold the name of the organisation'];
/** Share of a request's limit that may pass before it is worked on. */
const START_SHARE = 0.6;
const DEFAULT_LIMIT_MS = 1_000;
/** Time for the body of a request that matches no route. */
const BODY_TIMEOUT_MS = 30_000;

/** When a request arrived at the earliest, and when it was read. */
export type ArrivalTimes = Pick<Exchange, 'arrivedAt' | 'readAt'>;

export interface ArrivedRequest extends ArrivalTimes {
  readonly deps: MatchingDeps;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly body: Buffer;
  readonly facts: RequestFacts;
  readonly gone: AbortSignal;
  readonly isTooLate: (exchange: Pick<Exchange, 'route' | 'answerBy'>) => boolean;
}

/** Matches the request against the configuration in force once its body has been read. */
export function toExchange({
  deps,
  req,
  res,
  body,
  facts,
  arrivedAt,
  readAt,
  gone: callerSignal,
  isTooLate,
}: ArrivedRequest): Exchange | Refusal {
  const table = deps.config.table.value;
  if (!table) return [503, 'no configuration received yet'];
  const route = findRoute(table, req);
  if (!route) return deny(deps, [404, 'no route']);
  const caller = identifyCaller(table, route, facts.apiKey);
  if (caller.kind === 'unknown-key') return deny(deps, [401, 'unknown API key']);
  const service = pickTarget(route, deps.ctx.random.next());
  if (service === undefined) return [503, 'the route has no target service'];
  const organisation = caller.kind === 'known' ? caller.organisation : undefined;
  if (organisation && encodeHeaderText(organisation.name) === undefined) return UNNAMEABLE;
  const deadlines = deadlinesOf(facts, route, arrivedAt);
  return {
    req,
    res,
    body,
    facts,
    route,
    configVersion: table.config.version,
    service,
    caller,
    priority: priorityOf(route, organisation),
    arrivedAt,
    readAt,
    ...deadlines,
    gone: callerSignal,
    isTooLate: () => isTooLate({ route, answerBy: deadlines.answerBy }),
  };
}

/** A denial is final, so it requires a configuration that is confirmed to be current. */
function deny({ ctx, config }: MatchingDeps, denial: Refusal): Refusal {
  if (mayDeny(config.ageMs(), ctx.tunables.value.configMs)) return denial;
  return [503, `${denial[1]} according to an unconfirmed configuration`, RETRY_AFTER_UNCONFIRMED];
}

function findRoute(table: RouteTable, req: IncomingMessage): Route | undefined {
  const url = req.url ?? '/';
  const query = url.indexOf('?');
  const path = query < 0 ? url : url.slice(0, query);
  const host = (req.headers.host ?? '').replace(/:\d+$/, '');
  return table.find(host, path);
}

/** Time within which a request must be worked on, so that its server has the rest of its limit, milliseconds. */
export function startLimit(
  { config }: MatchingDeps,
  req: IncomingMessage,
  facts: RequestFacts,
): number {
  const route = config.table.value && findRoute(config.table.value, req);
  const { timeoutMs = DEFAULT_LIMIT_MS } = route ?? {};
  return START_SHARE * Math.min(timeoutMs, facts.waitMs ?? timeoutMs);
}

/** When the body must have arrived, if the request's route is known. */
export function bodyLimit(
  { ctx }: MatchingDeps,
  table: RouteTable,
  req: IncomingMessage,
  { facts, arrivedAt }: Pick<Exchange, 'facts' | 'arrivedAt'>,
): MonoTime {
  const route = findRoute(table, req);
  if (!route) return later(ctx.clock.now(), BODY_TIMEOUT_MS);
  return deadlinesOf(facts, route, arrivedAt).answerBy;
}

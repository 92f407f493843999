/**
 * HTTP server for callers: reads requests, resolves their route and organisation, and dispatches
 * them.
 */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer, Socket } from 'node:net';
import type { DropArgument } from 'node:net';

import { mayEndInTime } from '../../core/gateway/stop-admission';
import type { Route } from '../../core/gateway/types';
import type { MonoTime } from '../../core/ids';
import { parseAddress } from '../../utils/address';
import { fail } from '../../utils/errors';
import type { AcceptMarker } from '../../adapters/accept-marker';
import type { RequestFacts, HeaderDialect } from '../../ports/gateway';
import { createCallerConnections } from './caller-connections';
import type { ConfigView } from './config-view';
import type { GatewayContext } from './context';
import { answerLocally } from './exchange';
import type { Exchange, RetryAfter } from './exchange';
import type { Intake } from './intake';
import { endMalformed } from './malformed';
import type { PlainCalls } from './plain-call';
import { discardRest, readBody } from './request-body';
import { bodyLimit, startLimit, toExchange } from './request-matching';
import type { ArrivalTimes, Refusal } from './request-matching';
import type { StreamCalls } from './stream-call';
import { closeUnanswered, watchUnanswered } from './unanswered';
import { createRouteTimes } from './route-times';
import type { RouteTimes } from './route-times';
import { endUnexpected, endUnserved } from './unexpected';

export interface HttpServerDeps {
  readonly ctx: GatewayContext;
  readonly config: ConfigView;
  readonly dialect: HeaderDialect;
  readonly plain: PlainCalls;
  readonly streams: StreamCalls;
  readonly intake: Intake;
  readonly marker: AcceptMarker;
  /** Called for each request that is routed to a service. */
  readonly onTraffic: () => void;
}

export interface HttpServer {
  start(): Promise<void>;
  /** Requests that are being read or answered. */
  inFlight(): number;
  /** From now on, every answer closes its connection; requests that may not end by `stopBy` are refused. */
  beginStop(stopBy: MonoTime): void;
  /** Stops accepting connections. */
  closeListener(): void;
  /** From now on, requests that have not been passed on are refused. */
  refuseFurther(): void;
  /** Answers the requests whose answers have not begun: what was not passed on has not run. */
  endOutstanding(): void;
  closeConnections(): void;
}

/**
 * Callers may reuse a connection until shortly before the limit, so the server keeps it a little
 * longer.
 */
const IDLE_SLACK_MS = 1_000;
const DEFAULT_IDLE_MS = 15_000;
const DEFAULT_HEADER_BYTES = 64 * 1024;
const HEADERS_TIMEOUT_MS = 30_000;
/** Callers retry at another daemon; the time lets a short peak pass where all have one. */
const RETRY_AFTER_OVERLOAD: RetryAfter = { minMs: 200, spreadMs: 600 };
const STOPPING: Refusal = [503, 'the daemon is about to end'];
const FIRST_FAILURE = 300;
const END_OF_SHUTDOWN = 'end of the shutdown';
const OVERLOADED: Refusal = [503, 'the daemon is overloaded', RETRY_AFTER_OVERLOAD];
/** A request without an answer this long after its limit has a handler that hangs, milliseconds. */
const HUNG_AFTER_MS = 200;
/** Node closes further connections as soon as they are accepted; 0 would mean no limit. */
const MAX_CONNECTIONS_SATURATED = 1;

export function createHttpServer(deps: HttpServerDeps): HttpServer {
  const { ctx, config, intake, marker, dialect } = deps;
  const connections = createCallerConnections();
  const times = createRouteTimes();
  /** Ends what is done for a request. */
  const handled = new WeakMap<ServerResponse, AbortController>();
  let stopBy: MonoTime | undefined;
  let isEnding = false;

  /** Whether the request may be cut by the end of the daemon if it is passed on now. */
  const isTooLate = ({ route, answerBy }: Pick<Exchange, 'route' | 'answerBy'>): boolean => {
    const expected = { now: ctx.clock.now(), stopBy, answerBy, usualMs: times.holdMs(route) };
    return isEnding || !mayEndInTime(expected);
  };

  /** Ends a request that met an unexpected error before it was matched with a route. */
  const onUnexpected = (res: ServerResponse, thrown: unknown): void => {
    endUnexpected(ctx, res, { thrown, isLate: false });
  };

  const handle = (req: IncomingMessage, res: ServerResponse): void => {
    if (!connections.noteRequest(req, res)) {
      // Its caller was told that the connection closes before this request.
      ctx.logger.info('request behind the last answer not served', { step: 'read' });
      return;
    }
    const readAt = ctx.clock.now();
    const facts = dialect.parseRequest(req.headers);
    const { socket } = req;
    const isAnswering = (): boolean => connections.isAnswering(socket);
    watchUnanswered(ctx, { req, res, requestId: facts.requestId, readAt });
    intake.take(req.socket, {
      startWithinMs: startLimit(deps, req, facts),
      refuse: () => {
        connections.closeAfterAnswers(req.socket);
        try {
          refuse(deps, facts, res, OVERLOADED);
        } catch (err) {
          onUnexpected(res, err);
        }
      },
      serve: (arrivedAt) => {
        if (res.destroyed) return;
        const served = { arrivedAt, readAt, isAnswering };
        serve(deps, req, res, { ...served, isTooLate, times, handled }).catch((err: unknown) => {
          onUnexpected(res, err);
        });
      },
    });
  };

  const server: Server = createServer(
    {
      maxHeaderSize: DEFAULT_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: 0,
      keepAliveTimeout: DEFAULT_IDLE_MS + IDLE_SLACK_MS,
      noDelay: true,
    },
    (req, res) => {
      try {
        handle(req, res);
      } catch (err) {
        onUnexpected(res, err);
      }
    },
  );

  server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
    if (socket instanceof Socket) endMalformed(ctx, connections, err, socket);
  });
  server.on('connection', (socket) => {
    if (marker.take(socket)) {
      socket.destroy();
      intake.noteMarker();
      return;
    }
    connections.noteConnection(socket);
    intake.noteConnection(socket);
  });
  server.on('drop', (dropped?: DropArgument) => {
    if (marker.take(dropped ?? {})) intake.noteMarker();
    else intake.noteDropped();
  });
  intake.saturated.subscribe((isSaturated) => {
    server.maxConnections = isSaturated ? MAX_CONNECTIONS_SATURATED : Infinity;
  });
  config.table.subscribe((table) => {
    if (!table) return;
    // Node throws on a negative time, when an answer is finished.
    server.keepAliveTimeout = Math.max(0, table.config.limits.idleTimeoutMs) + IDLE_SLACK_MS;
  });

  return {
    inFlight: () => connections.inFlight(),
    start: () =>
      new Promise((resolve, reject) => {
        const { host, port } = parseAddress(ctx.settings.listen);
        server.once('error', (cause) => {
          const peer = ctx.settings.listen;
          reject(fail('unavailable', 'cannot listen', { step: 'listen', peer, cause }));
        });
        server.listen({ host, port, backlog: 1024 }, resolve);
      }),
    beginStop: (by) => {
      stopBy = by;
      connections.beginStop();
    },
    closeListener: () => {
      // The method of the HTTP server also closes connections whose answer is not flushed.
      NetServer.prototype.close.call(server);
      // At the end of a turn, all has been read that had arrived when it began.
      setImmediate(() => {
        connections.closeIdle();
      });
    },
    refuseFurther: () => {
      isEnding = true;
    },
    endOutstanding: () => {
      for (const res of connections.outstanding())
        if (!res.headersSent) {
          endUnserved(ctx, res, { reason: END_OF_SHUTDOWN });
          // It has its answer, which may promise that it does not run.
          handled.get(res)?.abort(new Error(END_OF_SHUTDOWN));
        }
    },
    closeConnections: () => {
      for (const res of connections.outstanding()) closeUnanswered(res, END_OF_SHUTDOWN);
      server.closeAllConnections();
    },
  };
}

interface ServedRequest extends ArrivalTimes {
  readonly isTooLate: (exchange: Pick<Exchange, 'route' | 'answerBy'>) => boolean;
  readonly times: RouteTimes;
  readonly handled: WeakMap<ServerResponse, AbortController>;
  /** Whether a request that was read whole on its connection is not answered. */
  readonly isAnswering: () => boolean;
}

async function serve(
  deps: HttpServerDeps,
  req: IncomingMessage,
  res: ServerResponse,
  { arrivedAt, readAt, isAnswering, isTooLate, times, handled }: ServedRequest,
): Promise<void> {
  const { config, dialect } = deps;
  const gone = watchCaller(res);
  handled.set(res, gone);
  const callerSignal = gone.signal;
  const table = config.table.value;
  const facts = dialect.parseRequest(req.headers);
  if (!table) {
    refuse(deps, facts, res, [503, 'no configuration received yet']);
    return;
  }
  const { maxBodyBytes } = table.config.limits;
  if (Number(req.headers['content-length'] ?? 0) > maxBodyBytes) {
    discardRest(req, isAnswering);
    refuse(deps, facts, res, [413, `the body exceeds ${maxBodyBytes} bytes`]);
    return;
  }
  const until = bodyLimit(deps, table, req, { facts, arrivedAt });
  const body = await readBody(req, { clock: deps.ctx.clock, maxBytes: maxBodyBytes, until });
  if (body === 'broken' || callerSignal.aborted) return;
  if (body === 'too-long') {
    discardRest(req, isAnswering);
    refuse(deps, facts, res, [413, `the body exceeds ${maxBodyBytes} bytes`]);
    return;
  }
  if (body === 'too-late') {
    res.shouldKeepAlive = false;
    refuse(deps, facts, res, [408, 'the body did not arrive within the time-out']);
    return;
  }
  const exchange = toExchange({
    ...{ deps, req, res, body, facts, arrivedAt, readAt },
    ...{ gone: callerSignal, isTooLate },
  });
  if (!('route' in exchange)) {
    refuse(deps, facts, res, exchange);
    return;
  }
  if (isTooLate(exchange)) {
    refuse(deps, facts, res, STOPPING);
    return;
  }
  deps.onTraffic();
  const stopWatching = watchHandler(deps.ctx, exchange, gone);
  try {
    await CALL_HANDLERS[exchange.route.kind](deps, exchange);
  } catch (thrown) {
    const isLate = deps.ctx.clock.now() >= exchange.answerBy;
    endUnexpected(deps.ctx, res, { thrown, isLate });
  } finally {
    stopWatching();
    if (res.writableEnded && res.statusCode < FIRST_FAILURE)
      times.noteHold(exchange.route, deps.ctx.clock.now() - readAt);
  }
}

/** Answers a request whose handler hangs, and ends what the handler does for it. */
function watchHandler(
  ctx: GatewayContext,
  { res, answerBy }: Exchange,
  gone: AbortController,
): () => void {
  const end = (): void => {
    if (res.headersSent || res.destroyed) return;
    endUnexpected(ctx, res, { thrown: new Error('the handler hangs'), isLate: true });
    gone.abort(new Error('the handler hangs'));
  };
  const timer = setTimeout(end, Math.max(0, answerBy - ctx.clock.now()) + HUNG_AFTER_MS);
  return () => {
    clearTimeout(timer);
  };
}

const CALL_HANDLERS: Readonly<
  Record<Route['kind'], (deps: HttpServerDeps, exchange: Exchange) => Promise<void>>
> = {
  safe: ({ plain }, exchange) => plain.call(exchange),
  unsafe: ({ plain }, exchange) => plain.call(exchange),
  stream: ({ streams }, exchange) => streams.call(exchange),
};

function refuse(
  { ctx, config }: HttpServerDeps,
  facts: RequestFacts,
  res: ServerResponse,
  [status, message, retryAfter]: Refusal,
): void {
  ctx.metrics.count('nutmegstack_refusals_total', { status: String(status) });
  ctx.logger.warn('request refused', {
    step: 'route',
    status,
    reason: message,
    configVersion: config.version(),
    configAgeMs: Math.round(config.ageMs()),
    ...(facts.requestId !== undefined && { requestId: facts.requestId }),
  });
  answerLocally(ctx, res, { status, message, ...(retryAfter && { retryAfter }) });
}

/** Aborts if the connection closes before the answer is complete. */
function watchCaller(res: ServerResponse): AbortController {
  const controller = new AbortController();
  res.once('close', () => {
    if (!res.writableFinished) controller.abort(new Error('caller disconnected'));
  });
  return controller;
}

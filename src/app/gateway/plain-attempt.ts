/** Sends a plain call to one server and reads its complete answer. */

import type { IncomingMessage } from 'node:http';

import { discardBody, readBody } from '../../adapters/upstream/answer-input';
import type { Answered, Upstream } from '../../adapters/upstream/upstream';
import { mayPassOn } from '../../core/gateway/promises';
import type { Framing } from '../../core/gateway/response-framing';
import { organisationNameOf } from '../../core/gateway/routes';
import type { BackendServer } from '../../core/gateway/types';
import type { HeaderDialect, ResponseFacts } from '../../ports/gateway';
import type { MonoTime } from '../../core/ids';
import { MAX_FAILURE_BYTES } from '../../core/input-limits';
import { createDeadlineSignal } from '../../utils/deadline-signal';
import { fail } from '../../utils/errors';
import { CUT_BEHIND_HEAD } from './caller-response';
import type { GatewayContext } from './context';
import type { EvacuatedZones } from './evacuations';
import { evacuatedError, heldBackError } from './exchange';
import type { Exchange } from './exchange';
import { createDepartureSignal } from './plain-departure';
import type { Departure } from './plain-departure';
import type { ServerNotices } from './server-notices';
import type { Throttle } from './throttle';
import { noteSent } from './unexpected';

export interface PlainAttemptDeps {
  readonly ctx: GatewayContext;
  readonly upstream: Pick<Upstream, 'send'>;
  readonly dialect: HeaderDialect;
  readonly notices: ServerNotices;
  readonly throttle: Throttle;
  readonly evacuations: EvacuatedZones;
}

/** Result of one attempt. */
export type Attempt =
  | {
      readonly kind: 'answered';
      readonly res: IncomingMessage;
      readonly body: Buffer;
      readonly facts: ResponseFacts;
      readonly framing: Framing;
    }
  /** No connection to the server. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** The server states that it did not execute the call. */
  | { readonly kind: 'not-run'; readonly reason: string }
  | {
      readonly kind: 'lost';
      readonly reason: string;
      readonly isBrokenByServer: boolean;
      readonly byPeer: boolean;
    };

/** Limit on buffered answers; far above what plain services send. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Sends the call to one server and reads its complete answer, unless it leaves the server before. */
export async function sendOnce(
  deps: PlainAttemptDeps,
  exchange: Exchange,
  server: BackendServer,
  departure?: Departure,
): Promise<Attempt> {
  const { clock } = deps.ctx;
  const leftMs = Math.ceil(Math.max(1, exchange.answerBy - clock.now()));
  const leaving = departure && createDepartureSignal(clock, departure, exchange.gone);
  const { signal, clear } = createDeadlineSignal(leftMs, leaving?.signal ?? exchange.gone);
  try {
    return await sendUntil(deps, exchange, { server, limit: signal });
  } finally {
    clear();
    leaving?.clear();
  }
}

interface Target {
  readonly server: BackendServer;
  /** Aborts when an answer is due, when the call leaves the server, or when the caller has left. */
  readonly limit: AbortSignal;
}

async function sendUntil(
  deps: PlainAttemptDeps,
  exchange: Exchange,
  { server, limit }: Target,
): Promise<Attempt> {
  const { ctx, upstream, dialect, throttle, evacuations } = deps;
  const now = ctx.clock.now();
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
    ...(exchange.facts.requestId !== undefined && { requestId: exchange.facts.requestId }),
    ownConnection: false,
    signal: limit,
    beforeSend: () => {
      if (ctx.clock.now() >= exchange.answerBy)
        return fail('deadline-exceeded', 'deadline reached before sending', { step: 'send' });
      if (evacuations.isEvacuated(server.zone)) return evacuatedError();
      if (!throttle.maySend(server.id)) return heldBackError(throttle.isBackingOff(server.id));
      noteSent(exchange.res);
      return undefined;
    },
  });
  if (sent.kind === 'not-sent') {
    throttle.returnToken(server.id);
    return { kind: 'not-sent', reason: sent.error.message };
  }
  if (sent.kind === 'lost') {
    const { error, byPeer = false } = sent;
    return { kind: 'lost', reason: error.message, isBrokenByServer: !limit.aborted, byPeer };
  }
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
  { notices }: PlainAttemptDeps,
  exchange: Exchange,
  { server, sentAt, answered, limit }: SentAnswer,
): Promise<Attempt> {
  const { res, destroy, byPeer = false } = answered;
  const status = res.statusCode ?? 0;
  const facts = notices.read(server.id, res, sentAt);
  const discard = (reason: string): Attempt => {
    destroy();
    return { kind: 'lost', reason, isBrokenByServer: !limit.aborted, byPeer };
  };
  if (facts.requestId !== undefined && facts.requestId !== exchange.facts.requestId) {
    return discard('answer belongs to another request');
  }
  if (facts.isNotExecuted) {
    discardBody(answered);
    return {
      kind: 'not-run',
      reason: `server reports the request as not executed (status ${status})`,
    };
  }
  // Discarded by their heads: their bodies may have no end.
  if (!facts.isSigned && status < 300) return discard('answer is not signed');
  if (res.headers['content-encoding'] !== undefined)
    return discard('answer has an unexpected Content-Encoding');
  if (!mayPassOn(status, exchange.route))
    return discard(`server answered ${status} without stating that the request was not executed`);
  const maxBytes = status < 300 ? MAX_ANSWER_BYTES : MAX_FAILURE_BYTES;
  const body = await readBody(answered, maxBytes, limit);
  if (!body)
    return discard(`answer incomplete, longer than ${maxBytes} bytes, or given up for others`);
  if (answered.hasFailed()) return discard('answer incomplete: connection broken');
  const isEmpty = answered.framing === 'close' && body.length === 0;
  if (isEmpty && status < 300) return discard(CUT_BEHIND_HEAD);
  return { kind: 'answered', res, body, facts, framing: answered.framing };
}

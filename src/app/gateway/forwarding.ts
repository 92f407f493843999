/**
 * Forwards requests of peers to backend servers that they do not reach themselves. Everything about the request
 * is decided by the peer; here it is sent directly and never forwarded again.
 */

import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { ObservedState } from '../../adapters/upstream/forward-client';
import {
  FORWARD_ERROR,
  FORWARD_FRAMING,
  FORWARD_PROOF,
  FORWARD_TO,
  headProofState,
  provenPurpose,
} from '../../adapters/upstream/forward-protocol';
import type { ForwardedRequest } from '../../adapters/upstream/forward-protocol';
import type { Answered, Upstream } from '../../adapters/upstream/upstream';
import type { Framing } from '../../core/gateway/response-framing';
import { parseAddress } from '../../utils/address';
import { later } from '../../core/ids';
import { fail } from '../../utils/errors';
import type { HeaderDialect } from '../../ports/gateway';
import type { GatewayContext } from './context';
import { discardRest, readBody } from './request-body';
import { noteUnexpected } from './unexpected';

export interface ForwardingDeps {
  readonly upstream: Upstream;
  readonly dialect: Pick<HeaderDialect, 'parseRequest'>;
  readonly isServer: (address: string) => boolean;
  /** Whether this daemon does not reach the server itself. */
  readonly isCutOff: (address: string) => boolean;
  readonly answerPeer: (address: string) => Promise<ObservedState>;
}

export interface Forwarding {
  start(): Promise<void>;
  inFlight(): number;
  /** From now on, every answer closes its connection. */
  beginStop(): void;
  /** From now on, requests of peers are refused; they send them through others. */
  refuseFurther(): void;
  close(): void;
}

/** Requests forwarded at the same time; more are not sent. */
const MAX_FORWARDED = 512;
const MAX_BODY_BYTES = 16 * 1024 * 1024;
/** Bodies of all senders together of which no proof of their head was seen. */
const MAX_UNPROVEN_BYTES = MAX_BODY_BYTES;
/** Time within which such a body must arrive, and that of a peer, milliseconds. */
const UNPROVEN_BODY_MS = 5_000;
const PROVEN_BODY_MS = 60_000;
/** More than callers may send, for the headers that are added. */
const MAX_HEADER_BYTES = 96 * 1024;
/** Longer than peers keep idle connections, so that none is closed as they send. */
const KEEP_ALIVE_MS = 20_000;
/** Headers of a single connection. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'trailer',
  'transfer-encoding',
]);
const NOT_FORWARDED: ReadonlySet<string> = new Set([
  ...CONNECTION_HEADERS,
  FORWARD_TO,
  FORWARD_PROOF,
]);
const NOT_RETURNED: ReadonlySet<string> = new Set([
  ...CONNECTION_HEADERS,
  FORWARD_ERROR,
  FORWARD_FRAMING,
]);

function without(rawHeaders: readonly string[], dropped: ReadonlySet<string>): string[] {
  return rawHeaders.filter((_, i) => !dropped.has((rawHeaders[i - (i % 2)] ?? '').toLowerCase()));
}

/** Aborts if the peer closes the connection before the answer is complete. */
function watchPeer(res: ServerResponse): AbortSignal {
  const controller = new AbortController();
  res.once('close', () => {
    if (!res.writableFinished) controller.abort(new Error('peer disconnected'));
  });
  return controller.signal;
}

function answerError(
  res: ServerResponse,
  kind: 'refused' | 'not-sent' | 'lost',
  reason: string,
): void {
  if (res.headersSent || res.destroyed) return;
  const body = Buffer.from(reason);
  res.writeHead(502, { [FORWARD_ERROR]: kind, 'Content-Length': body.length }).end(body);
}

/**
 * Tells the peer that nothing shows the end of the server's answer. Its own chunks show the end of this connection's
 * part. The header concerns this connection alone, so that no caller gets it.
 */
function framingHeaders(res: ServerResponse, framing: Framing): readonly string[] {
  if (framing !== 'close') return [];
  const persistence = res.shouldKeepAlive ? 'keep-alive' : 'close';
  return [FORWARD_FRAMING, framing, 'Connection', `${persistence}, ${FORWARD_FRAMING}`];
}

/** Returns the server's answer; one that breaks off breaks the peer's connection too. */
function returnAnswer(res: ServerResponse, { res: answer, framing, hasFailed }: Answered): void {
  const headers = without(answer.rawHeaders, NOT_RETURNED);
  res.sendDate = false;
  res.writeHead(answer.statusCode ?? 502, [...headers, ...framingHeaders(res, framing)]);
  res.flushHeaders();
  answer.pipe(res, { end: false });
  answer.once('end', () => {
    if (answer.complete && !hasFailed()) res.end();
    else res.destroy();
  });
  answer.once('error', () => res.destroy());
  answer.once('close', () => {
    if (!answer.complete) res.destroy();
  });
}

export function createForwarding(
  { clock, settings, logger, metrics }: GatewayContext,
  { upstream, dialect, isServer, isCutOff, answerPeer }: ForwardingDeps,
): Forwarding {
  let inFlight = 0;
  let isStopping = false;
  let isEnding = false;
  /** Held for senders that have proven nothing. */
  let unprovenBytes = 0;

  /** The body, or why it is not whole; `provenBytes`: its length if a peer has proven to send it. */
  const readForwarded = async (
    req: IncomingMessage,
    provenBytes: number | undefined,
  ): Promise<Buffer | 'too-long' | 'too-late' | 'broken'> => {
    let held = 0;
    const mayHold = (bytes: number): boolean => {
      if (unprovenBytes + bytes > MAX_UNPROVEN_BYTES) return false;
      held += bytes;
      unprovenBytes += bytes;
      return true;
    };
    const body = await readBody(req, {
      clock,
      ...(provenBytes === undefined
        ? { maxBytes: MAX_BODY_BYTES, until: later(clock.now(), UNPROVEN_BODY_MS), mayHold }
        : { maxBytes: provenBytes, until: later(clock.now(), PROVEN_BODY_MS) }),
    });
    unprovenBytes -= held;
    return body;
  };

  const forward = async (
    req: IncomingMessage,
    res: ServerResponse,
    forwarded: ForwardedRequest,
  ): Promise<void> => {
    const sent = await upstream.send({
      ...forwarded,
      headers: without(req.rawHeaders, NOT_FORWARDED),
      ownConnection: false,
      beforeSend: () => undefined,
      signal: watchPeer(res),
    });
    metrics.count('nutmegstack_forwarded_calls_total', { outcome: sent.kind });
    const { requestId } = dialect.parseRequest(req.headers);
    logger.info('request of a peer forwarded', {
      step: 'forward',
      ...(requestId !== undefined && { requestId }),
      ...{ address: forwarded.address, outcome: sent.kind },
      ...(sent.kind !== 'answered' && { reason: sent.error.message }),
    });
    if (sent.kind === 'answered') {
      returnAnswer(res, sent);
      return;
    }
    answerError(res, sent.kind, sent.error.message);
  };

  const handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const { method = 'GET', url: path = '/' } = req;
    const address = req.headers[FORWARD_TO];
    const proof = req.headers[FORWARD_PROOF];
    const bodyBytes = Number(req.headers['content-length'] ?? 0);
    const refuse = (reason: string): void => {
      discardRest(req);
      answerError(res, 'refused', reason);
    };
    if (typeof address !== 'string' || Array.isArray(proof) || bodyBytes > MAX_BODY_BYTES) {
      refuse('malformed request');
      return;
    }
    const refuseUnproven = (): void => {
      logger.warn('request of no peer refused', { step: 'forward', address });
      refuse('the proof is not valid');
    };
    const head = headProofState(settings.peerSecret, { address, method, path, bodyBytes }, proof);
    if (head === 'invalid') {
      refuseUnproven();
      return;
    }
    const body = await readForwarded(req, head === 'valid' ? bodyBytes : undefined);
    if (body === 'broken') return;
    if (typeof body === 'string') {
      refuse(`the body is ${body}`);
      return;
    }
    const forwarded = { address, method, path, body };
    const purpose = provenPurpose(settings.peerSecret, forwarded, proof);
    if (purpose === undefined) {
      refuseUnproven();
      return;
    }
    if (!isServer(address)) {
      answerError(res, 'refused', 'the server is not known here');
      return;
    }
    if (purpose === 'check') {
      res.end(await answerPeer(address));
      return;
    }
    if (isEnding) answerError(res, 'refused', 'the daemon is about to end');
    else if (isCutOff(address))
      answerError(res, 'refused', 'the server is not reached from here either');
    else if (inFlight > MAX_FORWARDED) answerError(res, 'refused', 'too many forwarded requests');
    else await forward(req, res, forwarded);
  };

  const options = {
    keepAliveTimeout: KEEP_ALIVE_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
    noDelay: true,
  };
  const server = createServer(options, (req, res) => {
    inFlight += 1;
    if (isStopping) res.shouldKeepAlive = false;
    res.once('close', () => {
      inFlight -= 1;
    });
    handle(req, res).catch((err: unknown) => {
      noteUnexpected({ logger, metrics }, 'forward', err);
      // Without an answer the peer takes the request for one that may have run.
      res.destroy();
    });
  });

  return {
    start: () =>
      new Promise((resolve, reject) => {
        const { forwardListen } = settings;
        if (forwardListen === undefined) {
          resolve();
          return;
        }
        server.once('error', (cause) => {
          const peer = forwardListen;
          reject(fail('unavailable', 'cannot listen', { step: 'forward-listen', peer, cause }));
        });
        server.listen(parseAddress(forwardListen), resolve);
      }),
    inFlight: () => inFlight,
    beginStop: () => {
      isStopping = true;
    },
    refuseFurther: () => {
      isEnding = true;
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

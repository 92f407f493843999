/** Sends requests for backend servers through a peer. */

import { MAX_TEXT_BYTES } from '../../core/input-limits';
import { fail } from '../../utils/errors';
import type { ErrorCode } from '../../utils/errors';
import { readBody } from './answer-input';
import { FORWARD_ERROR, FORWARD_FRAMING, forwardHeaders, NO_BODY } from './forward-protocol';
import type { ForwardedRequest } from './forward-protocol';
import type { ListeningState } from './listening';
import type { Answered, Upstream, UpstreamCall, UpstreamResult } from './upstream';

/**
 * State of a server as a peer sees it; `unknown` if the peer does not answer, or cannot tell because it may be
 * cut off itself.
 */
export type ObservedState = ListeningState | 'unknown';

export interface ForwardClient {
  /** Sends a call through the peer at `peerAddress`. A call that the peer could not send is `not-sent`. */
  send(call: UpstreamCall, peerAddress: string): Promise<ForwardResult>;
  /** Asks the peer whether the server listens; never rejects. */
  check(address: string, peerAddress: string, timeoutMs: number): Promise<ObservedState>;
}

export interface ForwardResult {
  readonly result: UpstreamResult;
  /** Whether the peer is to blame for a call without an answer. */
  readonly hasPeerFailed: boolean;
}

/** Errors that say nothing about the peer. */
const OWN_ERRORS: ReadonlySet<ErrorCode> = new Set(['cancelled', 'bad-request']);

const OBSERVED_STATES: ReadonlySet<string> = new Set<ObservedState>([
  'listening',
  'refused',
  'unreachable',
]);

function toRawHeaders(headers: UpstreamCall['headers']): readonly string[] {
  if (Array.isArray(headers)) return headers as readonly string[];
  return Object.entries(headers).flatMap(([name, value]) => [name, String(value)]);
}

/** The answer of the server, whose end the peer's chunks do not show. */
function serverAnswer(answered: Answered): Answered {
  const isCloseDelimited = answered.res.headers[FORWARD_FRAMING] === 'close';
  return { ...answered, byPeer: true, ...(isCloseDelimited && { framing: 'close' }) };
}

/** Empty if the text is incomplete or too long: it then names no state. */
async function readText(answered: Answered): Promise<string> {
  const body = await readBody(answered, MAX_TEXT_BYTES);
  if (!body) answered.destroy();
  return body?.toString() ?? '';
}

function notSent(peer: string, reason: string): UpstreamResult {
  return { kind: 'not-sent', error: fail('unavailable', reason, { step: 'forward', peer }) };
}

function lost(peer: string, reason: string): UpstreamResult {
  return { kind: 'lost', error: fail('backend-lost', reason, { step: 'forward', peer }) };
}

/** Errors of the peer's own, by the value of its header. */
const PEER_ERRORS: Readonly<Record<string, (address: string, reason: string) => ForwardResult>> = {
  refused: (peer, reason) => ({ result: notSent(peer, reason), hasPeerFailed: true }),
  'not-sent': (peer, reason) => ({ result: notSent(peer, reason), hasPeerFailed: false }),
  lost: (peer, reason) => ({ result: lost(peer, reason), hasPeerFailed: false }),
};

/** Creates the client; `upstream` holds its connections to peers. */
export function createForwardClient(upstream: Upstream, secret: string): ForwardClient {
  const send = async (call: UpstreamCall, peerAddress: string): Promise<ForwardResult> => {
    const headers = Object.entries(forwardHeaders(secret, call)).flat();
    const result = await upstream.send({
      ...call,
      address: peerAddress,
      headers: [...toRawHeaders(call.headers), ...headers],
    });
    if (result.kind !== 'answered') {
      const isOwnDoing = OWN_ERRORS.has(result.error.code) || call.signal.aborted;
      const hasPeerFailed = !isOwnDoing;
      return { result: { ...result, ...(hasPeerFailed && { byPeer: true }) }, hasPeerFailed };
    }
    const error = PEER_ERRORS[result.res.headers[FORWARD_ERROR] as string];
    if (!error) return { result: serverAnswer(result), hasPeerFailed: false };
    return error(call.address, await readText(result));
  };

  const check = async (
    address: string,
    peerAddress: string,
    timeoutMs: number,
  ): Promise<ObservedState> => {
    const req: ForwardedRequest = { address, method: 'GET', path: '/', body: NO_BODY };
    const limit = new AbortController();
    const timer = setTimeout(() => {
      limit.abort(new Error('the peer does not answer'));
    }, timeoutMs);
    const sent = await upstream.send({
      ...req,
      address: peerAddress,
      headers: forwardHeaders(secret, req, 'check'),
      ownConnection: false,
      beforeSend: () => undefined,
      signal: limit.signal,
    });
    const text = sent.kind === 'answered' ? await readText(sent) : '';
    clearTimeout(timer);
    return OBSERVED_STATES.has(text) ? (text as ObservedState) : 'unknown';
  };

  return { send, check };
}

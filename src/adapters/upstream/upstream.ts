/**
 * Sends requests to backend servers over Node's `http`.
 *
 * Invariant on which all request outcomes rely: `not-sent` means that no byte of the request has left
 * this process or ever will. For this, the request is written only once the connection is established,
 * in the same tick as the caller's last check (`beforeSend`). An idle connection may have ended without this
 * process having read it: it is used only once the event loop has read its sockets again.
 */

import { Agent, request } from 'node:http';
import type { ClientRequest, IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { connect } from 'node:net';
import type { NetConnectOpts, Socket } from 'node:net';

import type { Framing } from '../../core/gateway/response-framing';
import { formatAddress, isAddress, parseAddress } from '../../utils/address';
import type { ErrorCode } from '../../utils/errors';
import { fail, StepError } from '../../utils/errors';
import { limitInput } from './answer-input';
import { createConnectLimit } from './connect-limit';
import { createConnectionWait } from './connecting';
import { afterNextRead } from './next-read';
import { countReceivedBytes } from './received-bytes';
import type { ReceivedBytes } from './received-bytes';
import { readHead } from './response-head';

export interface UpstreamOptions {
  /** Maximum connect timeout, milliseconds; it adapts downwards to measured connect times. */
  readonly connectTimeoutMs?: number;
  /** Maximum number of idle connections per address. */
  readonly maxIdle?: number;
  /** Idle timeout of a connection, milliseconds; shorter if the server's `Keep-Alive` header says so. */
  readonly idleMs?: number;
  /** Called with the outcome of each connection attempt. */
  readonly onConnect?: (address: string, isConnected: boolean) => void;
  /** Called with what the last check of a call threw; the call is not sent. */
  readonly onUnexpected?: (thrown: unknown) => void;
}

/** What the connections show of the backend servers. */
export interface UpstreamActivity {
  /** Calls that have not ended. */
  readonly inFlight: number;
  /** Bytes received since the start, over all connections. */
  readonly receivedBytes: number;
}

/** One request to one backend server. */
export interface UpstreamCall {
  /** `host:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** By name, or alternating names and values, sent unchanged. */
  readonly headers: OutgoingHttpHeaders | readonly string[];
  readonly body: Uint8Array;
  /** Use a new connection that no other call shares. */
  readonly ownConnection: boolean;
  /** Called in the tick of the write; if it returns an error, nothing is sent. */
  readonly beforeSend: () => StepError | undefined;
  /** Names the call in logs. */
  readonly requestId?: string;
  /** Aborting destroys the connection. */
  readonly signal: AbortSignal;
}

/** No byte was sent or ever will be. */
export interface NotSent {
  readonly kind: 'not-sent';
  readonly error: StepError;
}

/** A peer passes the call on: that its connection broke may be the peer's end, and then says nothing of the server. */
export type ByPeer = true;

/** The request was at least partly sent, and no response headers arrived. */
export interface Lost {
  readonly kind: 'lost';
  readonly error: StepError;
  readonly byPeer?: ByPeer;
}

/** Response headers arrived; the body follows. */
export interface Answered {
  readonly kind: 'answered';
  readonly res: IncomingMessage;
  /** How the end of its body is known; a peer may know less than its own response shows. */
  readonly framing: Framing;
  /** Whether the connection served other calls before this one. */
  readonly reused: boolean;
  /**
   * Whether the connection has failed since. A response without a length ends when its connection closes,
   * and Node's parser treats a reset as that end: without this check it would count as complete.
   */
  readonly hasFailed: () => boolean;
  /** Destroys the connection, so that no other call reuses it. */
  readonly destroy: () => void;
  readonly byPeer?: ByPeer;
}

export type UpstreamResult = NotSent | Lost | Answered;

/** Client for backend servers, with connection pooling. */
export interface Upstream {
  /** Always settles, and never rejects, whatever the call holds. */
  send(call: UpstreamCall): Promise<UpstreamResult>;
  activity(): UpstreamActivity;
  /** Closes idle connections to the address. */
  closeIdle(address: string): void;
  /** Destroys all connections. */
  close(): void;
}

const DEFAULTS = {
  connectTimeoutMs: 1_000,
  maxIdle: 64,
  idleMs: 60_000,
  onConnect: (): void => undefined,
  onUnexpected: (): void => undefined,
} as const;

const NO_ADDRESS = 'not a valid address';

type ConnectCallback = (err: Error | null, socket?: Socket) => void;

/** Sockets closed by a reset that was reported as an ordinary end. */
const resetSockets = new WeakSet<Socket>();

/**
 * When one poll finds both the last bytes and a reset, libuv reads the bytes and reports an ordinary end.
 * The kernel still shows the reset: the socket then has no remote address any more.
 */
function detectReset(socket: Socket): void {
  socket.once('end', () => {
    if (socket.remoteAddress === undefined) resetSockets.add(socket);
  });
}

type Pooling = Pick<Agent, 'keepSocketAlive' | 'reuseSocket'>;

/** Node's own pooling methods. `keepSocketAlive` returns a boolean, which Node's types omit. */
const nodePooling = Agent.prototype as unknown as {
  readonly keepSocketAlive: (this: Agent, socket: object) => boolean;
  readonly reuseSocket: (this: Agent, socket: object, req: object) => void;
};

/** Destroys a pooled connection that receives data while idle: the bytes belong to no request. */
function rejectIdleData(agent: Agent): Pooling {
  const guards = new WeakMap<object, () => void>();
  return {
    keepSocketAlive: (socket) => {
      const guard = (): void => {
        socket.destroy();
      };
      guards.set(socket, guard);
      socket.on('data', guard);
      return nodePooling.keepSocketAlive.call(agent, socket);
    },
    reuseSocket: (socket, req) => {
      const guard = guards.get(socket);
      if (guard) socket.off('data', guard);
      nodePooling.reuseSocket.call(agent, socket, req);
    },
  };
}

function addressOf(options: NetConnectOpts): string {
  const { host = '', port } = options as { readonly host?: string; readonly port: number };
  return formatAddress({ host, port });
}

function createAgent(
  keepAlive: boolean,
  opts: Required<UpstreamOptions>,
  received: ReceivedBytes,
): Agent {
  const agent = new Agent({ keepAlive, maxFreeSockets: opts.maxIdle, timeout: opts.idleMs });
  const limits = createConnectLimit(opts.connectTimeoutMs);
  const awaitConnection = createConnectionWait(opts.connectTimeoutMs);
  /** Passes a socket to the agent only once it is connected. */
  const open = (options: NetConnectOpts, done: ConnectCallback): undefined => {
    const pending = connect({ ...options, noDelay: true });
    detectReset(pending);
    awaitConnection(pending, {
      limits,
      onLate: () => {
        opts.onConnect(addressOf(options), true);
      },
      done: (err, socket) => {
        opts.onConnect(addressOf(options), socket !== undefined);
        if (socket) received.note(socket);
        done(err, socket);
      },
    });
  };
  return Object.assign(agent, { createConnection: open, ...rejectIdleData(agent) });
}

function upstreamError(code: ErrorCode, call: UpstreamCall, cause: unknown): StepError {
  const step = code === 'unavailable' ? 'connect' : 'first-byte';
  const detail = cause instanceof Error ? cause.message : 'connection closed';
  return fail(code, detail, { step, peer: call.address, cause });
}

/**
 * Creates the request, without sending it. Node throws on what no request can hold; such a call says nothing
 * about its server, so its error has a code of its own.
 */
function createRequest(call: UpstreamCall, agent: Agent): ClientRequest | StepError {
  const { address, method, path, headers } = call;
  if (!isAddress(address)) return upstreamError('unavailable', call, new Error(NO_ADDRESS));
  const { host, port } = parseAddress(address);
  try {
    return request({ agent, host, port, method, path, headers });
  } catch (cause) {
    return fail('bad-request', 'no request can hold this', { step: 'send', peer: address, cause });
  }
}

/** The idle connection that was chosen had ended; nothing was sent. */
interface Ended {
  readonly kind: 'ended';
}

interface CallObserver {
  /** Receives the outcome; only the first call counts. */
  readonly settle: (result: UpstreamResult | Ended) => void;
  readonly onUnexpected: (thrown: unknown) => void;
}

/** Observes the request until its outcome is known, which is the case at its close at the latest. */
function settleCall(
  call: UpstreamCall,
  req: ClientRequest,
  { settle, onUnexpected }: CallObserver,
): void {
  let sent = false;
  let answered = false;
  let failed = false;
  const onFail = (err: unknown): void => {
    failed = true;
    if (!sent && req.reusedSocket && !call.signal.aborted) settle({ kind: 'ended' });
    const error = upstreamError(sent ? 'backend-lost' : 'unavailable', call, err);
    settle({ kind: sent ? 'lost' : 'not-sent', error });
  };
  const onAbort = (): void => {
    req.destroy();
    onFail(call.signal.reason);
  };
  call.signal.addEventListener('abort', onAbort, { once: true });
  req.once('close', () => {
    call.signal.removeEventListener('abort', onAbort);
    // Without an error, as after a switch of protocols that nobody asked for.
    if (!answered) onFail(undefined);
  });
  req.on('error', onFail);
  const refuseToSend = (): StepError | undefined => {
    if (call.signal.aborted) return fail('cancelled', 'call aborted', { step: 'send' });
    try {
      return call.beforeSend();
    } catch (cause) {
      onUnexpected(cause);
      return fail('internal', 'the check before sending failed', { step: 'send', cause });
    }
  };
  const write = (): void => {
    if (req.destroyed) return;
    const refusal = refuseToSend();
    if (refusal !== undefined) {
      req.destroy();
      settle({ kind: 'not-sent', error: refusal });
      return;
    }
    sent = true;
    req.end(call.body);
  };
  req.once('socket', () => {
    if (req.reusedSocket) afterNextRead(write);
    else write();
  });
  req.once('response', (res) => {
    const { socket } = res;
    if (!sent) {
      req.destroy();
      return;
    }
    const head = readHead(call.method, res);
    if (head.isErr()) {
      req.destroy();
      onFail(head.error);
      return;
    }
    answered = true;
    settle({
      kind: 'answered',
      res,
      framing: head.value,
      reused: req.reusedSocket,
      hasFailed: () => failed || resetSockets.has(socket),
      destroy: () => req.destroy(),
    });
  });
}

/** Creates the client. A connection is reused only after a complete response. */
export function createUpstream(options: UpstreamOptions = {}): Upstream {
  const opts = { ...DEFAULTS, ...options };
  const received = countReceivedBytes();
  const shared = createAgent(true, opts, received);
  const single = createAgent(false, opts, received);
  let inFlight = 0;
  const sendOnce = (call: UpstreamCall): Promise<UpstreamResult | Ended> => {
    const req = createRequest(call, call.ownConnection ? single : shared);
    if (req instanceof StepError) return Promise.resolve({ kind: 'not-sent', error: req });
    inFlight += 1;
    req.once('close', () => {
      inFlight -= 1;
    });
    limitInput(req);
    return new Promise((resolve) => {
      settleCall(call, req, { settle: resolve, onUnexpected: opts.onUnexpected });
    });
  };
  return {
    activity: () => ({ inFlight, receivedBytes: received.total() }),
    closeIdle: (address) => {
      for (const socket of shared.freeSockets[shared.getName(parseAddress(address))] ?? [])
        socket.destroy();
    },
    send: async (call) => {
      for (;;) {
        const result = await sendOnce(call);
        if (result.kind !== 'ended') return result;
      }
    },
    close: () => {
      shared.destroy();
      single.destroy();
    },
  };
}

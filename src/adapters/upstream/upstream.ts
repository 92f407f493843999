/**
 * Calls to backend servers over Node's `http`.
 *
 * The one promise that all outcomes rest on: a result of kind `not-sent` means that no byte of the
 * call left this process, nor ever will. To hold it, the request is written only once the
 * connection stands, in the same tick as the caller's last check (`beforeSend`).
 */

import { Agent, request } from 'node:http';
import type { ClientRequest, IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { connect } from 'node:net';
import type { NetConnectOpts, Socket } from 'node:net';

import { parseAddress } from '../../utils/address';
import type { ErrorCode, StepError } from '../../utils/errors';
import { fail } from '../../utils/errors';
import { createTimeout } from '../../utils/timeout';
import { createConnectLimit } from './connect-limit';
import type { ConnectLimit } from './connect-limit';

export interface UpstreamOptions {
  /** How long a connection may take to be made at most, milliseconds; less where others take less. */
  readonly connectTimeoutMs?: number;
  /** Idle connections kept to one address. */
  readonly maxIdle?: number;
  /** An idle connection is closed after so long, milliseconds, or earlier where the server says so. */
  readonly idleMs?: number;
}

/** One call to one backend server. */
export interface UpstreamCall {
  /** `host:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** By name, or names and values in turn, sent as they are. */
  readonly headers: OutgoingHttpHeaders | readonly string[];
  readonly body: Uint8Array;
  /** Whether to use a connection that no other call uses, before or after. */
  readonly ownConnection: boolean;
  /** Runs in the tick of the write; an error here means that nothing is sent. */
  readonly beforeSend: () => StepError | undefined;
  /** Aborting destroys the connection. */
  readonly signal: AbortSignal;
}

/** Nothing left this process, nor ever will. */
export interface NotSent {
  readonly kind: 'not-sent';
  readonly error: StepError;
}

/** Bytes left and no answer head came back. */
export interface Lost {
  readonly kind: 'lost';
  readonly error: StepError;
}

/** An answer head is there; the body follows. */
export interface Answered {
  readonly kind: 'answered';
  readonly res: IncomingMessage;
  /** Whether the connection served other calls before this one. */
  readonly reused: boolean;
  /**
   * Whether the connection has failed since. An answer without a length ends with its connection, and
   * Node's parser takes a reset for that end: without this it would pass for a whole one.
   */
  readonly hasFailed: () => boolean;
  /** Tears the connection, so that no other call gets it. */
  readonly destroy: () => void;
}

export type UpstreamResult = NotSent | Lost | Answered;

export interface Upstream {
  send(call: UpstreamCall): Promise<UpstreamResult>;
  /** Tears all connections. */
  close(): void;
}

const DEFAULTS = { connectTimeoutMs: 1_000, maxIdle: 64, idleMs: 60_000 } as const;

type Connected = (err: Error | null, socket?: Socket) => void;

/** Sockets whose end was a reset. */
const resetSockets = new WeakSet<Socket>();

/**
 * Where the last bytes and a reset are found by the same poll, libuv reads the bytes and reports the
 * hang-up as an ordinary end. The kernel knows better: a connection that was reset has no peer any more.
 */
function noteReset(socket: Socket): void {
  socket.once('end', () => {
    if (socket.remoteAddress === undefined) resetSockets.add(socket);
  });
}

/** Hands a socket to the agent only when it is connected. */
function connectFirst(limits: ConnectLimit, options: NetConnectOpts, done: Connected): undefined {
  const startedAt = performance.now();
  const socket = connect({ ...options, noDelay: true });
  noteReset(socket);
  const onFail = (err: Error): void => {
    limit.clear();
    socket.destroy();
    done(err);
  };
  const limit = createTimeout(limits.limitMs(), () => {
    onFail(fail('unavailable', 'connection not made in time', { step: 'connect' }));
  });
  socket.once('error', onFail);
  socket.once('connect', () => {
    limit.clear();
    limits.note(performance.now() - startedAt);
    socket.off('error', onFail);
    done(null, socket);
  });
  return undefined;
}

type Pooling = Pick<Agent, 'keepSocketAlive' | 'reuseSocket'>;

/** Node's own pooling. The first tells the pool whether to keep a connection, which its types leave out. */
const nodePooling = Agent.prototype as unknown as {
  readonly keepSocketAlive: (this: Agent, socket: object) => boolean;
  readonly reuseSocket: (this: Agent, socket: object, req: object) => void;
};

/** Bytes on an idle connection belong to no call: the connection is closed, not reused. */
function guardIdle(agent: Agent): Pooling {
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

function createAgent(keepAlive: boolean, opts: Required<UpstreamOptions>): Agent {
  const agent = new Agent({ keepAlive, maxFreeSockets: opts.maxIdle, timeout: opts.idleMs });
  const limits = createConnectLimit(opts.connectTimeoutMs);
  const open = (options: NetConnectOpts, done: Connected): undefined => {
    connectFirst(limits, options, done);
  };
  return Object.assign(agent, { createConnection: open, ...guardIdle(agent) });
}

function upstreamError(code: ErrorCode, call: UpstreamCall, cause: unknown): StepError {
  const step = code === 'unavailable' ? 'connect' : 'first-byte';
  const detail = cause instanceof Error ? cause.message : 'connection closed';
  return fail(code, detail, { step, peer: call.address, cause });
}

function settleCall(
  call: UpstreamCall,
  req: ClientRequest,
  settle: (result: UpstreamResult) => void,
): void {
  let sent = false;
  let failed = false;
  const onFail = (err: unknown): void => {
    failed = true;
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
  });
  req.on('error', onFail);
  req.once('socket', () => {
    const refusal = call.signal.aborted
      ? fail('cancelled', 'given up', { step: 'send' })
      : call.beforeSend();
    if (refusal !== undefined) {
      req.destroy();
      settle({ kind: 'not-sent', error: refusal });
      return;
    }
    sent = true;
    req.end(call.body);
  });
  req.once('response', (res) => {
    const { socket } = res;
    settle({
      kind: 'answered',
      res,
      reused: req.reusedSocket,
      hasFailed: () => failed || resetSockets.has(socket),
      destroy: () => req.destroy(),
    });
  });
}

/** Makes the adapter. Idle connections are reused only after a whole answer. */
export function createUpstream(options: UpstreamOptions = {}): Upstream {
  const opts = { ...DEFAULTS, ...options };
  const shared = createAgent(true, opts);
  const single = createAgent(false, opts);
  return {
    send: (call) =>
      new Promise((resolve) => {
        const { host, port } = parseAddress(call.address);
        const { method, path, headers } = call;
        const agent = call.ownConnection ? single : shared;
        const req = request({ agent, host, port, method, path, headers });
        settleCall(call, req, resolve);
      }),
    close: () => {
      shared.destroy();
      single.destroy();
    },
  };
}

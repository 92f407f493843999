/** Stand-in for a plain HTTP service; records every execution of a request. */

import type { IncomingMessage, ServerResponse } from 'node:http';

import { passGate, takeOne } from '../shared/gate';
import type { GateFaults } from '../shared/gate';
import { parseAddress } from '../../src/utils/address';
import { headerOf, listen, pathOf, readBody, readJson, sendJson } from '../shared/server';
import type { Running } from '../shared/program';

/** Options of `startService`. */
export interface ServiceOptions {
  /** `host:port` to listen on. */
  readonly listen?: string;
  /** Replay the first response to a known `idempotency-key` instead of executing again. */
  readonly honoursKey?: boolean;
}

/** Injected faults; each affected request decrements its counter. */
export interface PlainServiceFaults extends GateFaults {
  /** The next n calls are executed; their connections are closed before the response. */
  loseAnswers?: number;
  /** The next n calls are executed; their connections are closed halfway through the response. */
  cutMidAnswer?: number;
  /** The next n calls are refused without being executed; true: all. */
  refuse?: number | boolean;
}

/** What the service executed, as `GET /record` returns it. */
export interface ServiceRecord {
  /** Number of executions by `idempotency-key`, else by `nutmegstack-attempt`. */
  readonly executions: Record<string, number>;
  /** Keys of all executions, oldest first. */
  readonly inOrder: string[];
}

export interface PlainService extends Running {
  readonly faults: PlainServiceFaults;
  readonly record: ServiceRecord;
}

interface Answer {
  readonly ran: number;
  readonly requestId: string;
  readonly key: string;
  readonly path: string;
  readonly method: string;
  readonly bytes: number;
}

interface State {
  readonly honoursKey: boolean;
  readonly faults: PlainServiceFaults;
  readonly record: ServiceRecord;
  readonly firstAnswers: Map<string, Answer>;
}

function isRefused(faults: PlainServiceFaults): boolean {
  if (typeof faults.refuse === 'boolean') return faults.refuse;
  const remaining = faults.refuse ?? 0;
  if (remaining > 0) faults.refuse = remaining - 1;
  return remaining > 0;
}

function execute(state: State, req: IncomingMessage, bytes: number): Answer {
  const attempt = headerOf(req, 'nutmegstack-attempt') ?? 'none';
  const idempotencyKey = headerOf(req, 'idempotency-key');
  const key = idempotencyKey ?? attempt;
  const first = state.firstAnswers.get(key);
  if (state.honoursKey && idempotencyKey !== undefined && first !== undefined) return first;
  const ran = (state.record.executions[key] ?? 0) + 1;
  state.record.executions[key] = ran;
  state.record.inOrder.push(key);
  const answer = {
    ran,
    requestId: attempt,
    key,
    path: req.url ?? '/',
    method: req.method ?? '',
    bytes,
  };
  state.firstAnswers.set(key, answer);
  return answer;
}

/** Sends half of the response, then destroys the connection. */
function sendHalf(res: ServerResponse, answer: Answer): void {
  const text = JSON.stringify(answer);
  res.writeHead(200, { 'content-type': 'application/json', 'content-length': text.length });
  res.write(text.slice(0, text.length / 2), () => res.destroy());
}

async function serveCall(state: State, req: IncomingMessage, res: ServerResponse): Promise<void> {
  if (!(await passGate(state.faults, req, res))) return;
  const body = await readBody(req);
  if (isRefused(state.faults)) {
    sendJson(res, 503, { error: 'refused' }, { 'nutmegstack-refused': 'true' });
    return;
  }
  const answer = execute(state, req, body.length);
  if (takeOne(state.faults as Record<string, number>, 'loseAnswers')) {
    req.socket.destroy();
    return;
  }
  if (takeOne(state.faults as Record<string, number>, 'cutMidAnswer')) {
    sendHalf(res, answer);
    return;
  }
  const attempt = headerOf(req, 'nutmegstack-attempt');
  sendJson(res, 200, answer, attempt === undefined ? {} : { 'nutmegstack-attempt': attempt });
}

async function serve(state: State, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const path = pathOf(req);
  if (path === '/faults') {
    if (req.method === 'POST') Object.assign(state.faults, await readJson(req));
    sendJson(res, 200, { faults: state.faults });
    return;
  }
  if (path === '/record') {
    sendJson(res, 200, state.record);
    return;
  }
  await serveCall(state, req, res);
}

/** Starts a plain service in this process. */
export async function startService({
  listen: at = '127.0.0.1:0',
  honoursKey = false,
}: ServiceOptions = {}): Promise<PlainService> {
  const state: State = {
    honoursKey,
    faults: {},
    record: { executions: {}, inOrder: [] },
    firstAnswers: new Map(),
  };
  const server = await listen((req, res) => serve(state, req, res), parseAddress(at));
  return {
    address: server.address,
    faults: state.faults,
    record: state.record,
    close: () => server.close(),
  };
}

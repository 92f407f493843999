/** HTTP servers of the engine and plain stand-ins, with a record of every executed request. */

import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { HEADERS, PATHS } from '../../platform/names';
import { toServerName } from '../../platform/servers';
import { brandAs } from '../../src/core/ids';
import type { ServerOrder } from '../../src/core/gateway/orders';
import type { InstanceId, ServerName } from '../../src/core/ids';
import type { EngineFleet } from './engines';
import type { Pauses } from './pauses';
import { isFatal, startRestartable } from './restartable';
import type { Crash } from './restartable';
import { signatureOf } from './signature';
import { isRefusal } from './spoils';
import type { Spoils } from './spoils';
import type { Statements } from './statements';
import { isServing } from './sim-server';
import { decodeOrder, ORDER_STATUS } from './wire';

/** A request that a server began to execute. */
export interface Run {
  readonly server: ServerName;
  readonly requestId: string;
  readonly organisation: string | undefined;
  readonly path: string;
  readonly body: string;
  readonly hadKey: boolean;
  readonly lastEventId: string | undefined;
  /** When its connection or its answer ended, for streams. */
  closedAt?: number;
  /** Whether its answer was cut short or spoiled by a fault of the stand-in. */
  isSpoiled?: boolean;
}

/** Injected faults of the plain servers, as remaining counts. */
export interface PlainFaults {
  /** Responses to break off halfway. */
  cutAnswers: number;
  /** Responses to send as a 500. */
  failAnswers: number;
  /** Requests to refuse without executing them. */
  refuse: number;
}

/** Remaining count of streams with an event out of order among others in one chunk. */
export interface StreamFaults {
  disorder: number;
}

/** What the servers of both kinds share. */
export interface ServerRecords {
  /** Every request that a server began to execute. */
  readonly runs: Run[];
  readonly crashes: Crash[];
  readonly statements: Statements;
  readonly pauses: Pauses;
  readonly spoils: Spoils;
  readonly streamFaults: StreamFaults;
}

const EVENT_MS = 20;
/** Remaining events of a stream in which one may come out of order. */
const MIN_DISORDERED = 4;
/** An engine server that begins an answer to a prompt with a part whose id begins like this crashes. */
const FATAL_PART = /\b(crash\w*):\d+/;

async function readBody(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

/** Names are sent in UTF-8, of which Node makes one character a byte. */
function decodeName(text: string | undefined): string | undefined {
  return text === undefined ? undefined : Buffer.from(text, 'latin1').toString();
}

function header(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return typeof value === 'string' ? value : value?.[0];
}

function runOf(server: ServerName, req: IncomingMessage, body: string): Run {
  return {
    server,
    requestId: header(req, HEADERS.requestId) ?? '',
    organisation: decodeName(header(req, HEADERS.organisation)),
    path: req.url ?? '',
    body,
    hadKey: req.headers.authorization !== undefined,
    lastEventId: header(req, HEADERS.lastEventId),
  };
}

/** Notes when the answer ended, or when the daemon gave it up, which a silent server can see before its answer closes. */
function noteEnd(run: Run, res: ServerResponse): void {
  const { socket } = res;
  const note = (): void => {
    run.closedAt ??= performance.now();
    socket?.off('end', note);
  };
  socket?.once('end', note);
  res.once('close', note);
}

/** Whether the request expects this server; responds 421 otherwise. */
function isAddressee(id: ServerName, req: IncomingMessage, res: ServerResponse): boolean {
  const expected = header(req, HEADERS.expectInstance);
  if (expected === undefined || expected === id) return true;
  res.writeHead(421).end();
  return false;
}

function fatalPartOf(req: IncomingMessage): string | undefined {
  return FATAL_PART.exec(header(req, HEADERS.promptParts) ?? '')?.[1];
}

/** Replaces the server names in a join by the ids of their current incarnations. */
function resolveMembers(fleet: EngineFleet, order: ServerOrder): ServerOrder {
  if (order.kind !== 'join') return order;
  const members = order.members.map((name) => fleet.named(toServerName(name))?.id ?? name);
  return { ...order, members };
}

/** Starts an engine server; it serves streams while its group is open and complete. */
export async function startEngine(
  fleet: EngineFleet,
  name: ServerName,
  { runs, crashes, statements, pauses, spoils, streamFaults }: ServerRecords,
): Promise<() => void> {
  const state = () => fleet.named(name);

  /** A group stands still with any of its members. */
  const isGroupPaused = (): boolean => {
    const members = state()?.joined?.members.map((id) => fleet.servers.get(id)?.name) ?? [];
    return [name, ...members].some((member) => member !== undefined && pauses.isPaused(member));
  };

  const takeOrder = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const order = decodeOrder(JSON.parse(await readBody(req)));
    if (!order) {
      res.writeHead(400).end();
      return;
    }
    const id = state()?.id;
    const result = id === undefined ? 'unknown' : fleet.carryOut(id, resolveMembers(fleet, order));
    res.writeHead(ORDER_STATUS[result]).end();
  };

  const report = (res: ServerResponse): void => {
    const born = state()?.startedAt;
    const body = { born, models: [], staged: [], busy: false, active: 0, queued: 0, pace: 1 };
    res.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(body));
  };

  /** Streams events up to `count` from after `Last-Event-Id` while the group is open; pauses while it is stalled. */
  const stream = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const body = await readBody(req);
    // Its connection may have ended meanwhile, and says so only once.
    if (res.destroyed) return;
    const head = state();
    const group = head?.joined;
    if (!head || group?.state !== 'open') {
      res.writeHead(503, { [HEADERS.notExecuted]: '1' }).end();
      return;
    }
    const spoiled = spoils.spoil('stream', name, req);
    if (isRefusal(spoiled)) return;
    const run = runOf(name, req, body);
    runs.push(run);
    noteEnd(run, res);
    if (spoiled) {
      run.isSpoiled = true;
      return;
    }
    head.running += 1;
    process.crashOn(body, fatalPartOf(req));
    const count = Number(new URLSearchParams(body).get('events') ?? 3);
    let next = Number(run.lastEventId ?? 0) + 1;
    const event = (n: number): string => `id: ${n}\ndata: ${run.requestId} ${n}\n\n`;
    let isDisordered = count - next >= MIN_DISORDERED && streamFaults.disorder > 0;
    if (isDisordered) {
      streamFaults.disorder -= 1;
      run.isSpoiled = true;
    }
    res.writeHead(200, {
      'Content-Type': 'text/event-stream',
      [HEADERS.requestId]: run.requestId,
      [HEADERS.signature]: signatureOf(name, run.requestId),
    });
    const timer = setInterval(() => {
      if (isGroupPaused()) return;
      if (state()?.joined !== group || !isServing(group)) {
        res.destroy();
        return;
      }
      if (group.stalledAt !== undefined) return;
      if (next > count) res.end();
      else if (isDisordered && next > 1) {
        isDisordered = false;
        res.write(`${event(next)}${event(next + 1)}${event(next)}`);
        next += 1;
      } else res.write(event(next));
      next += 1;
    }, EVENT_MS);
    res.once('close', () => {
      head.running -= 1;
      clearInterval(timer);
    });
  };

  const server = createServer((req, res) => {
    const isAlive = state()?.isAlive === true;
    // A dead instance does not respond at all.
    if (!isAlive || !isAddressee(name, req, res)) return;
    if (req.url === PATHS.order) void takeOrder(req, res);
    else if (req.url === PATHS.report) {
      if (!spoils.spoil('report', name, req)) report(res);
    } else if (statements.receive(name, req, res) === 'turned-away') return;
    else void stream(req, res);
  });
  let crashed: InstanceId | undefined;
  const process = await startRestartable(server, {
    name,
    address: state()?.address ?? '',
    crashes,
    pauses,
    onCrash: () => {
      crashed = state()?.id;
      if (crashed !== undefined) fleet.kill(crashed);
    },
    onRestart: () => {
      if (crashed !== undefined && fleet.servers.has(crashed)) fleet.restart(crashed);
    },
  });
  return () => {
    process.close();
  };
}

export interface PlainOptions {
  readonly name: string;
  readonly address: string;
  readonly faults: PlainFaults;
  /** Called when the server has started again after a crash. */
  readonly onRestart: () => void;
}

/** Starts a plain server that responds with the request id and the request body. */
export async function startPlain(
  { name, address, faults, onRestart }: PlainOptions,
  { runs, crashes, statements, pauses, spoils }: ServerRecords,
): Promise<() => void> {
  const id = brandAs<ServerName>(name);
  const take = (fault: keyof PlainFaults): boolean => {
    if (faults[fault] <= 0) return false;
    faults[fault] -= 1;
    return true;
  };
  const server = createServer((req, res) => {
    if (!isAddressee(id, req, res) || statements.receive(id, req, res) === 'turned-away') return;
    void readBody(req).then((body) => {
      if (take('refuse')) {
        res.writeHead(503, { [HEADERS.notExecuted]: '1' }).end();
        return;
      }
      const spoiled = spoils.spoil('plain', id, req);
      if (isRefusal(spoiled)) return;
      const run = runOf(id, req, body);
      runs.push(run);
      if (spoiled) {
        run.isSpoiled = true;
        return;
      }
      process.crashOn(body);
      if (isFatal(body)) return;
      const status = take('failAnswers') ? 500 : 200;
      const answer = `${run.requestId} ${body}`;
      res.writeHead(status, {
        [HEADERS.requestId]: run.requestId,
        [HEADERS.signature]: signatureOf(name, run.requestId),
        'Content-Length': answer.length,
      });
      if (!take('cutAnswers')) {
        res.end(answer);
        return;
      }
      run.isSpoiled = true;
      res.write(answer.slice(0, 3), () => res.destroy());
    });
  });
  const process = await startRestartable(server, {
    name: id,
    address,
    crashes,
    pauses,
    onCrash: () => undefined,
    onRestart,
  });
  return () => {
    process.close();
  };
}

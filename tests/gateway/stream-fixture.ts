/** Streams of one daemon against servers that a test lets answer event by event; no network. Requires fake timers. */

import { EventEmitter } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { BehaviorSubject, Subject } from 'rxjs';
import { vi } from 'vitest';

import { createLogger } from '../../src/adapters/telemetry/logger';
import type { UpstreamCall, UpstreamResult } from '../../src/adapters/upstream/upstream';
import { createArrivals } from '../../src/app/gateway/arrivals';
import { NO_EVACUATIONS } from '../../src/app/gateway/evacuations';
import type { GatewayContext } from '../../src/app/gateway/context';
import { createGroupRegistry } from '../../src/app/gateway/group-registry';
import type { GroupRegistry, Stall } from '../../src/app/gateway/group-registry';
import { createGatewayQuarantine } from '../../src/app/gateway/quarantine/quarantine';
import type { Retries } from '../../src/app/gateway/retries';
import type { ServerRegistry } from '../../src/app/gateway/server-registry';
import type { GatewayTunables } from '../../src/app/gateway/settings';
import { createStreamCalls } from '../../src/app/gateway/stream-call';
import type { StreamDeps } from '../../src/app/gateway/stream-call';
import { createWaitQueue } from '../../src/app/gateway/wait-queue';
import type { RouteTable } from '../../src/core/gateway/routes';
import type { Framing } from '../../src/core/gateway/response-framing';
import type { Route } from '../../src/core/gateway/types';
import { brandAs, later } from '../../src/core/ids';
import type { DomainId, GroupId, InstanceId } from '../../src/core/ids';
import type { StepError } from '../../src/utils/errors';
import { fail } from '../../src/utils/errors';
import { createFakeClock } from './fake-time';
import { createCaller, DEADLINE_MS } from './stream-caller';
import type { CallerView } from './stream-caller';
import { ENGINE, inGroup, instance, makeContext, makeRoute } from './support';
import { makeServer, makeThrottle, HEALTHY_LINKS, SERVICE, SMALL } from './support';

const TABLE = {
  config: { services: [{ name: SERVICE, engine: ENGINE }] },
  service: () => ({ name: SERVICE, engine: ENGINE }),
} as unknown as RouteTable;
const TICK_MS = 50;
const FRESH_LOADS = { coversMost: true, isLeaderless: false, ageMs: 200 };
const NO_LOADS = { running: [], paces: [], waiting: [] };
/** Number of the last event of each stream. */
export const LAST_EVENT = 6;

/** One request at a server. */
export class ServerRun extends EventEmitter {
  readonly statusCode = 200;
  readonly rawHeaders: string[] = [];
  readonly headers = {};
  complete = false;
  /** Whether the gateway has closed the connection. */
  isClosed = false;
  /** Bytes of the next event that were sent. */
  private sentBytes = 0;
  /** What was sent and not read, while the gateway does not read. */
  private unread: Buffer[] | undefined;

  constructor(
    readonly head: string,
    /** Value of `Last-Event-Id`, as sent. */
    readonly lastEventId: string | undefined,
  ) {
    super();
  }

  close(): void {
    this.isClosed = true;
    this.emit('close');
  }

  pause(): void {
    this.unread ??= [];
  }

  resume(): void {
    const held = this.unread ?? [];
    this.unread = undefined;
    for (const bytes of held) this.emit('data', bytes);
  }

  isPaused(): boolean {
    return this.unread !== undefined;
  }

  /** Sends bytes as they are. */
  sendBytes(text: string): void {
    if (this.unread) this.unread.push(Buffer.from(text));
    else this.emit('data', Buffer.from(text));
  }

  /** Sends events by number, in one write; of one that was sent in part, the rest. */
  send(...ids: readonly number[]): void {
    const bytes = ids.map((id) => `id: ${id}\ndata: piece\n\n`).join('');
    this.emit('data', Buffer.from(bytes.slice(this.sentBytes)));
    this.sentBytes = 0;
  }

  /** Sends the first bytes of an event. */
  sendPart(id: number): void {
    if (this.sentBytes > 0) return;
    const part = `id: ${id}\nda`;
    this.sentBytes = part.length;
    this.emit('data', Buffer.from(part));
  }

  /** Sends the events from `first` to the last one, and ends the answer. */
  finishFrom(first: number): void {
    for (let id = first; id <= LAST_EVENT; id++) this.send(id);
    this.complete = true;
    this.emit('end');
  }
}

export interface StreamWorldOptions {
  /** Number of groups, with heads `s0`, `s1`, ... */
  readonly groups: number;
  readonly route?: Partial<Route>;
  /** Retries that may be taken; or a budget of the test's own. */
  readonly retries?: number | ((ctx: GatewayContext) => Retries);
  readonly tunables?: Partial<GatewayTunables>;
  /** Framing of the answers, in the order in which the stream is sent; chunks beyond these. */
  readonly framings?: readonly Framing[];
  /** Whether a peer passes all requests on. */
  readonly byPeer?: boolean;
  /** Headers of the caller's response. */
  readonly reply?: () => string[];
}

export interface StreamWorld {
  readonly ctx: GatewayContext;
  readonly registry: GroupRegistry;
  readonly runs: readonly ServerRun[];
  readonly lines: () => readonly Record<string, unknown>[];
  readonly retriesLeft: () => number;
  /** From now on, the daemon passes nothing further on. */
  readonly beginEnd: () => void;
  request(id?: string, leftBefore?: boolean): Promise<CallerView>;
  /** The latest request at the server. */
  runAt(head: string): ServerRun;
  stallOf(head: string): Stall;
  /** Takes all slots of the group for requests of other daemons, or frees them. */
  setFull(head: string, isFull: boolean): void;
  /** Whether the head, which is not suspended for it, is refused at the last moment; counted. */
  setHeldBack(head: string): void;
  readonly heldBackCount: () => number;
  /** Takes the group out of the fleet, or forms it again. */
  setServing(head: string, isServing: boolean, group?: GroupId): void;
  /** Whether connections to the head time out. */
  setUnreachable(head: string, isUnreachable: boolean): void;
  /** Passes time without ticks or timers, as if the process had not run. */
  pauseProcess(ms: number): void;
  /** Passes time, with regular ticks. */
  pass(ms: number): Promise<void>;
}

export function groupOf(head: string): GroupId {
  return brandAs<GroupId>(`group-of-${head}`);
}

function countedRetries(count: number) {
  let left = count;
  const mayRetry = (): boolean => {
    if (left === 0) return false;
    left -= 1;
    return true;
  };
  const retries = { noteRequest: () => undefined, mayRetry, hasRetry: () => left > 0 };
  return { retries, left: () => left };
}

export function createStreamWorld({
  groups,
  route: routeOptions = {},
  retries: retryOptions = 9,
  framings = [],
  byPeer = false,
  reply = () => [],
  tunables = {},
}: StreamWorldOptions): StreamWorld {
  const lines: Record<string, unknown>[] = [];
  const logger = createLogger({
    write: (line) => lines.push(JSON.parse(line) as Record<string, unknown>),
  });
  const ctx = makeContext({ clock: createFakeClock(), logger, tunables });
  const heads = Array.from({ length: groups }, (_, n) =>
    makeServer(`s${n}`, {
      model: SMALL,
      ...inGroup(groupOf(`s${n}`), 0, 'open'),
      domain: brandAs<DomainId>(`domain-${n}`),
    }),
  );
  const addresses = new Map(heads.map(({ id, address }) => [address, id]));
  const servers = new Map(heads.map((server) => [server.id, server]));
  const serverChanges = new Subject<void>();
  const serverRegistry = { servers, changes: serverChanges } as unknown as ServerRegistry;
  const routes = new BehaviorSubject<RouteTable | undefined>(TABLE);
  const throttle = makeThrottle(ctx);
  const registry = createGroupRegistry(ctx, serverRegistry, routes, throttle);
  const full = new Set<InstanceId>();
  let loadsAt = ctx.clock.now();
  const applyLoads = (): void => {
    loadsAt = later(ctx.clock.now(), FRESH_LOADS.ageMs);
    const running = [...full].map((head) => [head, 200, 0] as [InstanceId, number, number]);
    registry.applyLoads({ ...NO_LOADS, running }, FRESH_LOADS);
  };
  applyLoads();

  const runs: ServerRun[] = [];
  /** Heads to which no connection can be established. */
  const unreachable = new Set<InstanceId>();
  const heldBack = new Set<InstanceId>();
  let heldBackCount = 0;
  const send = ({
    address,
    headers,
    signal,
    beforeSend,
  }: UpstreamCall): Promise<UpstreamResult> => {
    const head = addresses.get(address) ?? instance('');
    const connected = (): StepError | undefined => {
      if (unreachable.has(head)) return fail('unavailable', 'connect timeout', { step: 'connect' });
      if (!heldBack.has(head)) return beforeSend();
      heldBackCount += 1;
      // Ends a test that would never end otherwise.
      if (heldBackCount > 100) heldBack.clear();
      return fail('cancelled', 'held back', { step: 'send' });
    };
    const refusal = signal.aborted
      ? fail('cancelled', 'call aborted', { step: 'send' })
      : connected();
    if (refusal) return Promise.resolve({ kind: 'not-sent', error: refusal });
    const run = new ServerRun(addresses.get(address) ?? '', (headers as readonly string[])[0]);
    runs.push(run);
    signal.addEventListener('abort', () => {
      run.close();
    });
    return Promise.resolve({
      ...{ kind: 'answered', res: run as unknown as IncomingMessage, reused: false },
      framing: framings[runs.length - 1] ?? 'chunks',
      ...(byPeer && { byPeer }),
      hasFailed: () => false,
      destroy: () => {
        run.isClosed = true;
      },
    });
  };

  const counted = countedRetries(typeof retryOptions === 'number' ? retryOptions : 0);
  const quarantine = createGatewayQuarantine(ctx, {
    ...{ serverRegistry: { ended: new Map() }, groupRegistry: registry, daemons: () => 1 },
    findState: () => Promise.resolve('listening'),
  });
  const waitQueue = createWaitQueue(ctx, registry);
  let isEnding = false;
  const deps = {
    ...{ ctx, groupRegistry: registry, throttle, upstream: { send }, daemons: () => 1 },
    retries: typeof retryOptions === 'number' ? counted.retries : retryOptions(ctx),
    dialect: {
      forward: (_: unknown, { lastEventId }: { readonly lastEventId?: string }) =>
        lastEventId === undefined ? [] : [lastEventId],
      reply,
    },
    notices: { read: () => ({ isSigned: true, isNotExecuted: false }) },
    ...{ evacuations: NO_EVACUATIONS, quarantine },
    ...{ serverLinks: HEALTHY_LINKS, waitQueue },
    arrivals: createArrivals(ctx),
  } as unknown as StreamDeps;
  const calls = createStreamCalls(deps);
  const route = makeRoute({
    ...{ kind: 'stream', isResumable: true, maxPauseMs: 250, timeoutMs: DEADLINE_MS },
    ...routeOptions,
  });

  const pass = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      await vi.advanceTimersByTimeAsync(Math.min(TICK_MS, ms - passed));
      if (ctx.clock.now() >= loadsAt) applyLoads();
      registry.tick();
    }
    await vi.advanceTimersByTimeAsync(0);
  };

  return {
    ...{ ctx, registry, runs, pass },
    pauseProcess: (ms) => {
      vi.setSystemTime(Date.now() + ms);
    },
    lines: () => lines,
    setHeldBack: (head) => {
      heldBack.add(instance(head));
    },
    heldBackCount: () => heldBackCount,
    setServing: (head, isServing, group = groupOf(head)) => {
      const server = heads.find(({ id }) => id === head);
      const formed = server && { ...server, ...inGroup(group, 0, 'open') };
      if (formed && isServing) servers.set(formed.id, formed);
      else servers.delete(instance(head));
      serverChanges.next();
    },
    setUnreachable: (head, isUnreachable) => {
      if (isUnreachable) unreachable.add(instance(head));
      else unreachable.delete(instance(head));
    },
    beginEnd: () => {
      isEnding = true;
      waitQueue.review();
    },
    retriesLeft: counted.left,
    request: async (id = 'request-1', hasLeft = false) => {
      const { exchange, view } = createCaller(id, route, ctx.clock.now());
      if (hasLeft) view.leave();
      void calls.call({ ...exchange, isTooLate: () => isEnding });
      await vi.advanceTimersByTimeAsync(0);
      return view;
    },
    runAt: (head) => {
      const run = runs.findLast((one) => one.head === head);
      if (!run) throw new Error(`no request at ${head}`);
      return run;
    },
    stallOf: (head) => ({ group: groupOf(head), head: instance(head) }),
    setFull: (head, isFull) => {
      if (isFull) full.add(instance(head));
      else full.delete(instance(head));
      applyLoads();
    },
  };
}

/**
 * Simulates domains of engine servers by the users' platform's rules: joins, opens, loads, stalls.
 * Time passes only by `advance`, so that tests run in simulated time and the emulator in real time.
 * Checks two invariants: no group serves with a member that was never ready in it, and no server
 * joins another group while the head of its own group may serve.
 */

import type { OrderResult, ServerOrder } from '../../src/core/gateway/orders';
import type { OrderEffect } from '../../src/core/gateway/forming/state';
import type { BackendServer, EngineSpec } from '../../src/core/gateway/types';
import { toInstanceId } from '../../platform/servers';
import { brandAs } from '../../src/core/ids';
import type {
  DomainId,
  EpochTime,
  InstanceId,
  ModelId,
  ServerName,
  ServiceId,
  ZoneId,
} from '../../src/core/ids';
import { isServing, postpone } from './sim-server';
import type { Joined, SimServer } from './sim-server';

const STALL_MS = 6_000;
const FORM_MS = 300;
const REJOIN_MS = 200;
/** The row of a silent server is removed after three missed heartbeats. */
const LAPSE_MS = 3_600;

/** A delayed order. */
interface LateOrder {
  readonly at: number;
  readonly server: InstanceId;
  readonly order: ServerOrder;
}

/** Options of `createEngineFleet`. */
export interface EngineFleetOptions {
  readonly engine: EngineSpec;
  readonly service: ServiceId;
  /** Servers of each domain. */
  readonly domains: readonly number[];
  /** False: loads take a tenth of their time until `beginTraffic`. */
  readonly hasTraffic: boolean;
  /** Zone of the n-th domain. */
  readonly zoneOf?: (domain: number) => string;
  /** Address of the n-th server. */
  readonly addressOf?: (n: number) => string;
}

/** Message about a violated invariant. */
export type Violation = string;

export function createEngineFleet({
  engine,
  service,
  domains,
  hasTraffic: startsWithTraffic,
  zoneOf = () => 'zone-a',
  addressOf = (n) => `127.0.0.1:${10_000 + n}`,
}: EngineFleetOptions) {
  let hasTraffic = startsWithTraffic;
  const servers = new Map<InstanceId, SimServer>();
  const everReady = new Set<string>();
  const late: LateOrder[] = [];
  const violations: Violation[] = [];
  let now = 0;
  let loads = 0;
  let nextId = 0;
  let isOrderLate = false;

  /** Last rows of incarnations that a restart ended. */
  const ended = new Map<InstanceId, BackendServer>();

  const add = (domain: string): InstanceId => {
    const n = nextId++;
    const name = brandAs<ServerName>(`s${String(n).padStart(3, '0')}`);
    return begin(name, addressOf(n), brandAs<DomainId>(domain));
  };

  /** Starts an incarnation of a server, with the id that the platform's adapter derives for it. */
  const begin = (name: ServerName, address: string, domain: DomainId): InstanceId => {
    const startedAt = brandAs<EpochTime>(Math.round(now));
    const id = toInstanceId(name, startedAt);
    servers.set(id, {
      id,
      name,
      startedAt,
      address,
      domain,
      isAlive: true,
      diedAt: 0,
      shown: undefined,
      isCut: false,
      cutAt: 0,
      isPaused: false,
      isDraining: false,
      staged: undefined,
      lastModel: undefined,
      joined: undefined,
      highestEpoch: 0,
      running: 0,
    });
    return id;
  };
  domains.forEach((count, i) => {
    for (let n = 0; n < count; n++) add(`d${i}`);
  });

  const specOf = (model: ModelId) => {
    const spec = engine.models.find(({ name }) => name === model);
    if (!spec) throw new Error(`no model ${model}`);
    return spec;
  };

  const isIn = (server: SimServer | undefined, group: string, epoch: number): boolean =>
    server?.isAlive === true && server.joined?.group === group && server.joined.epoch === epoch;

  /** Whether the head of the server's group may still serve, or waits for a lost member. */
  const mayHeadServe = (server: SimServer): boolean => {
    const { joined } = server;
    if (!joined) return false;
    const head = servers.get(joined.members[0] ?? server.id);
    if (!isIn(head, joined.group, joined.epoch)) return false;
    return head?.joined !== undefined && isServing(head.joined);
  };

  const join = (server: SimServer, order: Extract<ServerOrder, { kind: 'join' }>): OrderResult => {
    const { joined } = server;
    const { group, epoch, model, members } = order;
    if (epoch < server.highestEpoch) return 'refused';
    if (joined?.group === group && joined.epoch === epoch) {
      return joined.members.join() === members.join() ? 'done' : 'refused';
    }
    if (mayHeadServe(server)) {
      violations.push(
        `${now}: ${server.id} joins ${group} while the head of ${joined?.group} serves`,
      );
    }
    const isLoad = server.lastModel !== model && server.staged !== model;
    if (isLoad) loads += 1;
    const share = hasTraffic ? 1 : 0.1;
    const warmMs = server.lastModel === model ? REJOIN_MS : specOf(model).warmMs;
    server.highestEpoch = epoch;
    server.joined = {
      group,
      epoch,
      members,
      model,
      state: 'joining',
      readyAt: now + (isLoad ? specOf(model).loadMs * share : warmMs),
      openAt: undefined,
      stalledAt: undefined,
    };
    return 'done';
  };

  type Handlers = {
    readonly [K in ServerOrder['kind']]: (
      server: SimServer,
      order: Extract<ServerOrder, { kind: K }>,
    ) => OrderResult;
  };

  const handlers: Handlers = {
    join,
    open: ({ joined }, { group, epoch }) => {
      if (joined?.group !== group || joined.epoch !== epoch) return 'refused';
      if (joined.state === 'open') return 'done';
      if (joined.state !== 'ready') return 'refused';
      joined.openAt ??= now + FORM_MS;
      return 'done';
    },
    close: ({ joined, running }, { group, epoch, mode }) => {
      if (joined?.group !== group || joined.epoch !== epoch) return 'refused';
      joined.openAt = undefined;
      if (isServing(joined)) joined.state = mode === 'finish' && running > 0 ? 'closing' : 'ready';
      return 'done';
    },
    leave: (server, { group, epoch }) => {
      if (server.joined?.group === group && server.joined.epoch === epoch)
        server.joined = undefined;
      return 'done';
    },
    stage: (server, { model }) => {
      if (server.staged !== model) loads += 1;
      server.staged = model;
      return 'done';
    },
  };

  const carryOut = (id: InstanceId, order: ServerOrder): OrderResult => {
    const server = servers.get(id);
    if (!server?.isAlive) return 'unknown';
    return handlers[order.kind](server, order as never);
  };

  /** Accepts an order. Late ones are executed after `lateMs`, and their result stays `unknown`. */
  const take = ({ server, order }: OrderEffect, lateMs: number): OrderResult => {
    const target = servers.get(server.id);
    if (!target?.isAlive || target.isCut) return 'unknown';
    if (!isOrderLate || lateMs === 0) return carryOut(server.id, order);
    late.push({ at: now + lateMs, server: server.id, order });
    return 'unknown';
  };

  const areMembersPresent = ({ group, epoch, members }: Joined): boolean =>
    members.every((id) => isIn(servers.get(id), group, epoch));

  const advanceServer = (server: SimServer): void => {
    const { joined } = server;
    if (!server.isAlive || server.isPaused || !joined) return;
    if (joined.state === 'joining' && now >= joined.readyAt) {
      joined.state = 'ready';
      server.lastModel = joined.model;
      server.staged ??= joined.model;
      everReady.add(`${joined.group} ${joined.epoch} ${server.id}`);
    }
    if (joined.state === 'ready' && joined.openAt !== undefined && now >= joined.openAt) {
      joined.state = 'open';
      joined.openAt = undefined;
    }
    if (joined.state === 'closing' && server.running === 0) joined.state = 'ready';
    if (!isServing(joined)) return;
    checkServing(server, joined);
    if (areMembersPresent(joined)) joined.stalledAt = undefined;
    else joined.stalledAt ??= now;
    if (joined.stalledAt !== undefined && now >= joined.stalledAt + STALL_MS)
      joined.state = 'broken';
  };

  const checkServing = (server: SimServer, { group, epoch, members, model }: Joined): void => {
    const isComplete = members.length === specOf(model).size;
    const wereReady = members.every((id) => everReady.has(`${group} ${epoch} ${id}`));
    if (!isComplete || !wereReady) violations.push(`${now}: ${server.id} serves ${group} in part`);
  };

  const advance = (ms: number): void => {
    now += ms;
    for (const { isPaused, joined } of servers.values())
      if (isPaused && joined) postpone(joined, ms);
    for (const order of late.splice(0)) {
      if (now < order.at) late.push(order);
      else carryOut(order.server, order.order);
    }
    for (const server of servers.values()) advanceServer(server);
    for (const server of servers.values()) {
      if (server.isAlive && !server.isCut) server.shown = server.joined && { ...server.joined };
    }
  };

  /** The servers as listed in the servers table. */
  const rows = (): Map<InstanceId, BackendServer> => {
    const shown = [...servers.values()].filter((server) => {
      if (!server.isAlive) return now < server.diedAt + LAPSE_MS;
      return !server.isCut || now < server.cutAt + LAPSE_MS;
    });
    return new Map(shown.map((server) => [server.id, toRow(server)]));
  };

  /** Servers whose rows lapsed, with their last rows. */
  const lapsed = (): Map<InstanceId, BackendServer> => {
    const listed = rows();
    const missing = [...servers.values()].filter(({ id }) => !listed.has(id));
    return new Map(missing.map((server) => [server.id, toRow(server)]));
  };

  const toRow = ({ id, name, startedAt, address, domain, ...server }: SimServer): BackendServer => {
    const { isDraining, staged, shown: joined } = server;
    return {
      id,
      name,
      startedAt,
      service,
      address,
      zone: brandAs<ZoneId>(zoneOf(Number(domain.slice(1)))),
      batchSize: engine.batchSize,
      domain,
      isDraining,
      staged: staged === undefined ? [] : [staged],
      ...(joined && joined.state !== 'joining' && { model: joined.model }),
      ...(joined && {
        membership: {
          group: brandAs(joined.group),
          epoch: brandAs(joined.epoch),
          rank: joined.members.indexOf(id),
          state: joined.state,
        },
      }),
    };
  };

  /** Members that do not report, of groups stalled for 500 ms, and dead servers whose rows lapsed. */
  const stalled = (): InstanceId[] =>
    [...servers.values()].flatMap(({ joined, isAlive, shown, diedAt, id }) => {
      if (!isAlive && shown && now >= diedAt + LAPSE_MS) return [id];
      if (joined?.stalledAt === undefined || now < joined.stalledAt + 500) return [];
      return joined.members.filter((id) => {
        const member = servers.get(id);
        return member?.isAlive !== true || member.isCut;
      });
    });

  /** Restarts a server under its name; only the staged model survives, since its host keeps it. */
  const restart = (id: InstanceId): InstanceId => {
    const previous = servers.get(id);
    if (!previous) throw new Error(`no server ${id}`);
    ended.set(id, toRow(previous));
    servers.delete(id);
    const next = begin(previous.name, previous.address, previous.domain);
    const restarted = servers.get(next);
    if (restarted) restarted.staged = previous.staged;
    return next;
  };

  const cut = (id: InstanceId, isCut: boolean): void => {
    const server = servers.get(id);
    if (!server) return;
    server.isCut = isCut;
    server.cutAt = now;
  };

  /** The current incarnation of the server with this name. */
  const named = (name: ServerName): SimServer | undefined =>
    [...servers.values()].find((server) => server.name === name);

  return {
    servers,
    ended,
    restart,
    named,
    violations,
    add,
    take,
    advance,
    rows,
    lapsed,
    carryOut,
    stalled,
    /** Traffic begins: loads take their full time from now on. */
    beginTraffic: (): void => {
      hasTraffic = true;
    },
    now: () => now,
    loads: () => loads,
    kill: (id: InstanceId) => {
      const server = servers.get(id);
      if (!server?.isAlive) return;
      server.isAlive = false;
      server.diedAt = now;
      server.joined = undefined;
    },
    cut,
    /** A paused server is cut off; unlike one that is merely cut off, it does nothing. */
    setPaused: (id: InstanceId, isPaused: boolean) => {
      const server = servers.get(id);
      if (server) server.isPaused = isPaused;
      cut(id, isPaused);
    },
    drain: (id: InstanceId) => {
      const server = servers.get(id);
      if (server) server.isDraining = true;
    },
    setLate: (isLate: boolean) => {
      isOrderLate = isLate;
    },
    /** Number of groups that serve a model. */
    serving: (model: ModelId): number =>
      [...servers.values()].filter(({ isAlive, joined }) => {
        const isServing = joined?.state === 'open' && joined.stalledAt === undefined;
        return isAlive && isServing && joined.model === model;
      }).length,
  };
}

export type EngineFleet = ReturnType<typeof createEngineFleet>;

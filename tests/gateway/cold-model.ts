/**
 * Daemons that send to cold servers in virtual time without a network: rows, states and the
 * leader's messages arrive late, daemons are cut off or restarted, and the leader changes.
 */

import { BehaviorSubject, Subject } from 'rxjs';

import { createRandom } from '../../src/adapters/runtime';
import { createColdAssignments } from '../../src/app/gateway/cold-assignments';
import { createColdServers } from '../../src/app/gateway/cold-servers';
import type { ColdServers } from '../../src/app/gateway/cold-servers';
import type { ColdSendersMessage, PeerState } from '../../src/app/gateway/messages';
import type { PeerView } from '../../src/app/gateway/peer-view';
import type { RouteTable } from '../../src/core/gateway/routes';
import type { BackendServer } from '../../src/core/gateway/types';
import { brandAs } from '../../src/core/ids';
import type { DaemonId, EpochTime, FencingNumber, InstanceId } from '../../src/core/ids';
import { at, makeContext, makeServer, makeState, SERVICE } from './support';

const STEP_MS = 20;
const TICK_MS = 60;
const STATE_MS = 200;
/** Longest time that a message travels. */
const TRANSIT_MS = 250;
export const COLD_PER_S = 17;
const BOUNDS = { coldFactor: 1.5, coldSlack: 5 };

interface ModelDaemon {
  readonly id: DaemonId;
  readonly rows: Map<InstanceId, BackendServer>;
  readonly rowChanges: Subject<void>;
  readonly views: Map<DaemonId, PeerView>;
  cold: ColdServers;
  isCut: boolean;
  isDown: boolean;
}

export interface ColdModelOptions {
  readonly daemons: number;
  readonly seed: number;
  /** Requests a second of each daemon for each server. */
  readonly demandPerS: number;
  /** Longest time that a connection takes; half of the requests need a new one. */
  readonly connectMs: number;
}

export function createColdModel(options: ColdModelOptions) {
  const { daemons: count, seed, demandPerS, connectMs } = options;
  const random = createRandom(seed);
  const routes = new BehaviorSubject<RouteTable | undefined>({
    service: () => ({ name: SERVICE, coldPerS: COLD_PER_S }),
  } as unknown as RouteTable);
  let now = 10_000;
  let leader: ModelDaemon | undefined;
  let fencing = 1;
  const due = new Map<number, (() => void)[]>();
  const sends = new Map<InstanceId, number[]>();
  const clock = { now: () => at(now), epoch: () => brandAs<EpochTime>(now) };

  const after = (ms: number, action: () => void): void => {
    const time = now + STEP_MS * Math.max(1, Math.ceil(ms / STEP_MS));
    due.set(time, [...(due.get(time) ?? []), action]);
  };
  const chance = (ms: number): number => random.next() * ms;
  const isReached = ({ isCut, isDown }: ModelDaemon): boolean => !isCut && !isDown;

  const broadcast = (from: ModelDaemon, message: ColdSendersMessage): void => {
    for (const to of daemons) {
      if (to === from || !isReached(from)) continue;
      after(chance(TRANSIT_MS), () => {
        if (isReached(to)) to.cold.applySenders(message, from.id);
      });
    }
  };

  const startCold = (daemon: ModelDaemon): ColdServers => {
    const ctx = makeContext({ clock, settings: { id: daemon.id }, tunables: BOUNDS });
    const assignments = createColdAssignments(ctx, {
      leadership: {
        heldFencing: () => (leader === daemon ? brandAs<FencingNumber>(fencing) : undefined),
      },
      fleet: {
        live: () => [...daemon.views.values()].filter((view) => now < view.at + 1_500),
        candidates: () => new Map(daemons.map(({ id }) => [id, 1])),
      },
      isStopping: () => false,
      publish: (message) => {
        broadcast(daemon, message);
      },
    });
    const serverRegistry = { servers: daemon.rows, changes: daemon.rowChanges };
    return createColdServers(ctx, { serverRegistry, routes, assignments });
  };

  const daemons = Array.from({ length: count }, (_, n): ModelDaemon => {
    const state = { rows: new Map(), rowChanges: new Subject<void>(), views: new Map() };
    const flags = { isCut: false, isDown: false };
    const daemon = { id: brandAs<DaemonId>(`daemon-${n}`), ...state, ...flags };
    return Object.assign(daemon, { cold: startCold(daemon as unknown as ModelDaemon) });
  });
  leader = daemons[0];

  const sendState = (from: ModelDaemon): void => {
    const to = leader;
    if (!to || to === from || !isReached(from)) return;
    const cold = from.cold.report();
    const state: PeerState = makeState(cold ? { cold } : {});
    after(chance(TRANSIT_MS), () => {
      if (!isReached(to) || leader !== to) return;
      to.views.set(from.id, { ...state, id: from.id, address: from.id, at: at(now) });
      if (cold) to.cold.applyReport(cold);
    });
  };

  /** A connection is made before the request is sent, and may fail. */
  const send = (daemon: ModelDaemon, server: InstanceId): void => {
    const { cold } = daemon;
    if (cold.tokens(server) < 1) return;
    cold.takeToken(server);
    const write = (): void => {
      if (daemon.cold !== cold || daemon.isDown) return;
      const hasFailed = connectMs > 0 && random.next() < 0.1;
      if (hasFailed || !cold.noteSent(server)) cold.returnToken(server);
      else sends.set(server, [...(sends.get(server) ?? []), now]);
    };
    if (connectMs === 0 || random.next() < 0.5) write();
    else after(chance(connectMs), write);
  };

  const step = (): void => {
    now += STEP_MS;
    for (const action of due.get(now) ?? []) action();
    due.delete(now);
    for (const [n, daemon] of daemons.entries()) {
      if (daemon.isDown) continue;
      const phase = now + n * STEP_MS;
      if (phase % TICK_MS < STEP_MS) daemon.cold.tick();
      if (phase % STATE_MS < STEP_MS) sendState(daemon);
      for (const server of daemon.rows.keys())
        if (random.next() < (demandPerS * STEP_MS) / 1_000) send(daemon, server);
    }
  };

  const pick = (): ModelDaemon => {
    const [found] = daemons.slice(Math.floor(chance(count)));
    if (!found) throw new Error('a model needs daemons');
    return found;
  };

  return {
    daemons,
    sends,
    now: () => now,
    pick,
    run: (ms: number) => {
      for (const end = now + ms; now < end;) step();
    },
    /** Writes the row of a server, which reaches each connected daemon after a while. */
    writeRow: (name: string, coldMs: number, reportNumber = 1): InstanceId => {
      const row = makeServer(name, { coldMs, reportNumber });
      for (const daemon of daemons) {
        after(chance(TRANSIT_MS), () => {
          if (!isReached(daemon)) return;
          daemon.rows.set(row.id, { ...row });
          daemon.rowChanges.next();
        });
      }
      return row.id;
    },
    restart: (daemon: ModelDaemon): void => {
      daemon.isDown = true;
      after(300 + chance(200), () => {
        daemon.isDown = false;
        daemon.views.clear();
        daemon.cold = startCold(daemon);
      });
    },
    /** The leader is gone; another daemon takes the lease after `ms`, if any is to. */
    changeLeader: (ms: number, next: ModelDaemon | undefined): void => {
      leader = undefined;
      after(ms, () => {
        leader = next;
        fencing += 1;
      });
    },
  };
}

export type ColdModel = ReturnType<typeof createColdModel>;

/** The most requests in any one second, and their mean per second from `from` until `to`. */
export function rateOf(times: readonly number[], from: number, to: number) {
  const sorted = [...times].sort((a, b) => a - b);
  let first = 0;
  const most = sorted.reduce((max, time, i) => {
    while ((sorted[first] ?? time) <= time - 1_000) first += 1;
    return Math.max(max, i - first + 1);
  }, 0);
  const counted = sorted.filter((time) => time >= from && time < to).length;
  return { most, perSecond: (1_000 * counted) / (to - from) };
}

/**
 * Simulates a fleet of daemons and replica groups in virtual time without a network: the daemons'
 * own group registries, wait queues and slot selection, engines with a queue, and delayed load
 * updates.
 */

import { BehaviorSubject, Subject } from 'rxjs';
import { vi } from 'vitest';

import { createRandom } from '../../src/adapters/runtime';
import { createArrivals } from '../../src/app/gateway/arrivals';
import type { Arrivals } from '../../src/app/gateway/arrivals';
import { createGroupRegistry } from '../../src/app/gateway/group-registry';
import type { GroupRegistry } from '../../src/app/gateway/group-registry';
import type { ServingGroup } from '../../src/app/gateway/group-index';
import { sumLoads, withoutOwn } from '../../src/app/gateway/loads';
import type { PeerState } from '../../src/app/gateway/messages';
import { takeSlot } from '../../src/app/gateway/take-slot';
import type { ServerRegistry } from '../../src/app/gateway/server-registry';
import { createWaitQueue } from '../../src/app/gateway/wait-queue';
import type { WaitQueue } from '../../src/app/gateway/wait-queue';
import { noteFirstEvent, slackMs as slackOf } from '../../src/core/gateway/first-event';
import type { FirstEventStats } from '../../src/core/gateway/first-event';
import { expectedPauseMs } from '../../src/core/gateway/progress';
import type { RouteTable } from '../../src/core/gateway/routes';
import type { BackendServer } from '../../src/core/gateway/types';
import { brandAs, later } from '../../src/core/ids';
import type { EpochTime, GroupId, InstanceId, ZoneId } from '../../src/core/ids';
import {
  at,
  ENGINE,
  inGroup,
  instance,
  makeContext,
  makeThrottle,
  makeServer,
  makeState,
} from './support';
import { SERVICE, SMALL } from './support';

const STEP_MS = 10;
/** Interval at which daemons send their loads and the leader publishes the sum. */
const REPORT_MS = 200;
/** Delay from a daemon's report until the others receive the sum. */
const PROPAGATION_MS = 100;
const LOAD_FACTS = { coversMost: true, isLeaderless: false, ageMs: 2 * REPORT_MS };
const TARGET_MS = 300;
/** Callers abandon a stream without an event after this. */
const PATIENCE_MS = 2_000;
const SLOT_TIMEOUT_MS = 1_300;
const MAX_PAUSE_MS = 200;
const PROMPT_TOKENS = 700;
const EVENTS = 30;
const MAX_ATTEMPTS = 2;

export interface FleetModelOptions {
  readonly daemons: number;
  readonly groups: number;
  /** Arrival rate, as a fraction of the capacity of all groups. */
  readonly load: number;
  readonly seed: number;
}

export type Outcome = 'on time' | 'late' | 'refused' | 'failed' | 'caller gone';

export interface ModelRequest {
  readonly arrivedAt: number;
  readonly daemon: ModelDaemon;
  readonly tried: Set<GroupId>;
  attempts: number;
  firstEventAt: number | undefined;
  outcome: Outcome | undefined;
}

interface ModelDaemon {
  readonly groupRegistry: GroupRegistry;
  readonly waiting: WaitQueue;
  readonly arrivals: Arrivals;
  readonly takeSlot: (request: ModelRequest) => ServingGroup | undefined;
  lastState: PeerState | undefined;
}

interface Stream {
  readonly request: ModelRequest;
  readonly sentAt: number;
  /** Undefined while the stream waits in the engine. */
  nextEventAt: number | undefined;
  lastEventAt: number | undefined;
  events: number;
}

interface ModelGroup {
  readonly head: BackendServer;
  streams: Stream[];
  /** Prompts are prefilled one after the other. */
  prefillUntil: number;
}

const SPEC = ENGINE.models.find(({ name }) => name === SMALL);
const PACE = SPEC?.pace ?? 1;
const FULL_PAUSE_MS = expectedPauseMs(ENGINE, PACE, ENGINE.batchSize);
const PREFILL_MS = (PACE * PROMPT_TOKENS) / ENGINE.prefillTokensPerMs;
/** Requests a second that a full group serves. */
const GROUP_RATE = (1_000 * ENGINE.batchSize) / (PREFILL_MS + EVENTS * FULL_PAUSE_MS);

const TABLE = {
  config: { services: [{ name: SERVICE, engine: ENGINE }] },
  service: () => ({ name: SERVICE, engine: ENGINE }),
} as unknown as RouteTable;

export interface FleetModel {
  readonly requests: readonly ModelRequest[];
  run(ms: number): void;
  /** Removes the first `count` groups with their streams. */
  loseGroups(count: number): void;
  /** Adds `count` new groups. */
  formGroups(count: number): void;
  /** From now on nobody sums the loads: each daemon receives those of no other. */
  loseLeader(): void;
  /** Maximum number of requests in one engine beyond its slots, since the last call. */
  longestQueue(): number;
  /** Fraction of the requests that arrived in a time span and were served on time. */
  onTime(from: number, to: number): number;
}

/** Requires fake timers. */
export function createFleetModel({
  daemons: size,
  groups: count,
  load,
  seed,
}: FleetModelOptions): FleetModel {
  const random = createRandom(seed);
  const startedAt = Date.now();
  const now = (): number => Date.now() - startedAt;
  const clock = {
    now: () => at(now()),
    epoch: () => brandAs<EpochTime>(Date.now()),
  };
  const servers = new Map<InstanceId, BackendServer>();
  const changes = new Subject<void>();
  const serverRegistry = { servers, changes } as unknown as ServerRegistry;
  let groups: ModelGroup[] = [];
  const requests: ModelRequest[] = [];
  let formed = 0;
  let longest = 0;
  let nextArrivalAt = 0;
  let nextReportAt = 0;
  let hasLeader = true;
  const rate = load * count * GROUP_RATE;

  let firstEvents: FirstEventStats | undefined;
  const slackMs = (): number => slackOf(firstEvents, TARGET_MS);

  const daemons: ModelDaemon[] = Array.from({ length: size }, (_, n) => {
    const settings = { zone: brandAs<ZoneId>('a') };
    const ctx = makeContext({ clock, settings, seed: seed * 1_000 + n });
    const table = new BehaviorSubject<RouteTable | undefined>(TABLE);
    const groupRegistry = createGroupRegistry(ctx, serverRegistry, table, makeThrottle(ctx));
    const waiting = createWaitQueue(ctx, groupRegistry);
    const arrivals = createArrivals(ctx);
    const daemon: ModelDaemon = {
      groupRegistry,
      waiting,
      arrivals,
      takeSlot: ({ tried, arrivedAt }) =>
        takeSlot(
          { ctx, groupRegistry, waitQueue: waiting, arrivals, daemons: () => size },
          {
            ...{ service: SERVICE, model: SMALL, promptTokens: PROMPT_TOKENS },
            ...{ maxPauseMs: MAX_PAUSE_MS, tried, slackMs: slackMs() },
            isLate: now() >= arrivedAt + slackMs(),
          },
        ),
      lastState: undefined,
    };
    groupRegistry.stalls.subscribe(({ head }) => {
      const group = groups.find((one) => one.head.id === head);
      if (group) drop(group, ({ request }) => request.daemon === daemon);
    });
    return daemon;
  });

  const end = (request: ModelRequest, outcome: Outcome): void => {
    request.outcome = outcome;
  };

  const release = ({ head }: ModelGroup, { request, events, sentAt }: Stream): void => {
    const { groupRegistry } = request.daemon;
    if (events === 0) groupRegistry.noteEnded(head.id, PROMPT_TOKENS);
    else groupRegistry.noteEnded(head.id, 0, now() - sentAt);
  };

  /** Streams that are lost or moved are retried at another group if they have attempts left. */
  const drop = (group: ModelGroup, isDropped: (stream: Stream) => boolean): void => {
    const dropped = group.streams.filter(isDropped);
    group.streams = group.streams.filter((stream) => !dropped.includes(stream));
    for (const stream of dropped) {
      release(group, stream);
      if (stream.request.attempts < MAX_ATTEMPTS) dispatch(stream.request);
      else end(stream.request, 'failed');
    }
  };

  const send = (request: ModelRequest, { id, head }: ServingGroup): void => {
    request.attempts += 1;
    request.tried.add(id);
    const group = groups.find((one) => one.head.id === head.id);
    const stream: Stream = {
      ...{ request, sentAt: now(), nextEventAt: undefined, lastEventAt: undefined, events: 0 },
    };
    if (group) group.streams.push(stream);
    else {
      request.daemon.groupRegistry.noteEnded(head.id, PROMPT_TOKENS);
      end(request, 'failed');
    }
  };

  const dispatch = (request: ModelRequest): void => {
    const { daemon, arrivedAt } = request;
    const group = daemon.takeSlot(request);
    if (group) {
      send(request, group);
      return;
    }
    const until = later(at(arrivedAt), SLOT_TIMEOUT_MS);
    const entry = {
      ...{ model: SMALL, priority: 1, until, arrivedAt: at(arrivedAt), holdMs: 1_000 },
      onTimeUntil: later(at(arrivedAt), slackMs()),
      gone: new AbortController().signal,
      isRetry: request.tried.size > 0,
      choose: () => {
        const found = daemon.takeSlot(request);
        if (found) send(request, found);
        return found;
      },
    };
    void daemon.waiting.wait(entry).then((found) => {
      if (!found) end(request, 'refused');
    });
  };

  const arrive = (): void => {
    while (nextArrivalAt <= now()) {
      nextArrivalAt += (-Math.log(1 - random.next()) * 1_000) / rate;
      const daemon = daemons[Math.floor(random.next() * size)];
      if (!daemon) continue;
      const request: ModelRequest = {
        ...{ arrivedAt: now(), daemon, tried: new Set<GroupId>() },
        ...{ attempts: 0, firstEventAt: undefined, outcome: undefined },
      };
      requests.push(request);
      daemon.arrivals.note(SMALL);
      dispatch(request);
    }
  };

  const advance = (group: ModelGroup, stream: Stream): boolean => {
    const { request } = stream;
    const { groupRegistry } = request.daemon;
    if (stream.nextEventAt === undefined) {
      group.prefillUntil = Math.max(group.prefillUntil, now()) + PREFILL_MS;
      stream.nextEventAt = group.prefillUntil + FULL_PAUSE_MS;
    }
    if (now() < stream.nextEventAt) return true;
    if (stream.events === 0) {
      groupRegistry.notePrefilled(group.head.id, PROMPT_TOKENS);
      firstEvents = noteFirstEvent(firstEvents, now() - stream.sentAt);
      request.firstEventAt ??= now();
    }
    groupRegistry.noteEvent(
      group.head.id,
      stream.lastEventAt === undefined ? undefined : now() - stream.lastEventAt,
    );
    stream.lastEventAt = now();
    stream.events += 1;
    stream.nextEventAt += FULL_PAUSE_MS;
    return stream.events < EVENTS;
  };

  const hasLeft = ({ request, events }: Stream): boolean =>
    events === 0 && now() >= request.arrivedAt + PATIENCE_MS;

  const serve = (group: ModelGroup): void => {
    const abandoned = group.streams.filter(hasLeft);
    const ended = group.streams
      .filter((stream) => !abandoned.includes(stream))
      .slice(0, ENGINE.batchSize)
      .filter((stream) => !advance(group, stream));
    longest = Math.max(longest, group.streams.length - ENGINE.batchSize);
    group.streams = group.streams.filter((one) => !ended.includes(one) && !abandoned.includes(one));
    for (const { request } of abandoned) end(request, 'caller gone');
    for (const { request } of ended) {
      const first = request.firstEventAt ?? Infinity;
      end(request, first - request.arrivedAt <= TARGET_MS ? 'on time' : 'late');
    }
    for (const stream of [...abandoned, ...ended]) release(group, stream);
  };

  const stateOf = ({ groupRegistry, waiting, arrivals }: ModelDaemon): PeerState =>
    makeState({
      running: groupRegistry.running().map((entry) => [...entry]),
      waiting: [[SMALL, waiting.count(SMALL), arrivals.rate(SMALL)]],
    });

  const report = (): void => {
    if (now() < nextReportAt) return;
    nextReportAt = now() + REPORT_MS;
    if (!hasLeader) {
      for (const { groupRegistry } of daemons) {
        groupRegistry.applyLoads(sumLoads([]), {
          ...LOAD_FACTS,
          coversMost: false,
          isLeaderless: true,
        });
      }
      return;
    }
    const states = daemons.map(stateOf);
    const sums = sumLoads(states);
    setTimeout(() => {
      daemons.forEach((daemon, n) => {
        const own = states[n];
        daemon.groupRegistry.applyLoads(own ? withoutOwn(sums, own) : sums, LOAD_FACTS);
      });
    }, PROPAGATION_MS);
  };

  const formGroups = (more: number): void => {
    for (let n = 0; n < more; n++) {
      formed += 1;
      const head = makeServer(`${formed}`, { model: SMALL, ...inGroup(`g${formed}`, 0, 'open') });
      servers.set(head.id, head);
      groups.push({ head, streams: [], prefillUntil: now() });
    }
    changes.next();
  };

  const loseGroups = (lost: number): void => {
    const lostGroups = groups.slice(0, lost);
    groups = groups.slice(lost);
    for (const { head } of lostGroups) servers.delete(instance(head.id));
    changes.next();
    for (const group of lostGroups) drop(group, () => true);
  };

  const run = (ms: number): void => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      vi.advanceTimersByTime(STEP_MS);
      arrive();
      for (const group of groups) serve(group);
      for (const { groupRegistry } of daemons) groupRegistry.tick();
      report();
    }
  };

  const onTime = (from: number, to: number): number => {
    const arrived = requests.filter(({ arrivedAt }) => arrivedAt >= from && arrivedAt < to);
    return arrived.filter(({ outcome }) => outcome === 'on time').length / arrived.length;
  };

  const longestQueue = (): number => {
    const found = longest;
    longest = 0;
    return found;
  };

  const loseLeader = (): void => {
    hasLeader = false;
  };

  formGroups(count);
  return { requests, run, loseGroups, formGroups, loseLeader, longestQueue, onTime };
}

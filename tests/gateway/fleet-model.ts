/**
 * A fleet of daemons before replica groups, in virtual time and without a network: the daemons' own boards,
 * waiting rooms and choices, engines with a queue behind their places, and loads that are told late.
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
import type { EpochTime, InstanceId, ZoneId } from '../../src/core/ids';
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
/** Daemons tell their loads, and the leader their sum, at this interval. */
const REPORT_MS = 200;
/** From a statement to those that hear of the sum of all. */
const ON_ITS_WAY_MS = 100;
const LOAD_FACTS = { coversMost: true, isLeaderless: false, ageMs: 2 * REPORT_MS };
const TARGET_MS = 300;
/** Callers leave a stream without an event after this. */
const PATIENCE_MS = 2_000;
const PLACE_WITHIN_MS = 1_300;
const MAX_PAUSE_MS = 200;
const PROMPT_TOKENS = 700;
const EVENTS = 30;
const MOST_ATTEMPTS = 2;

export interface FleetModelOptions {
  readonly daemons: number;
  readonly groups: number;
  /** Arrivals, as a part of what all groups can serve. */
  readonly load: number;
  readonly seed: number;
}

export type Outcome = 'on time' | 'late' | 'refused' | 'failed' | 'caller gone';

export interface ModelRequest {
  readonly arrivedAt: number;
  readonly daemon: ModelDaemon;
  readonly tried: Set<InstanceId>;
  attempts: number;
  firstEventAt: number | undefined;
  outcome: Outcome | undefined;
}

interface ModelDaemon {
  readonly board: GroupRegistry;
  readonly waiting: WaitQueue;
  readonly arrivals: Arrivals;
  readonly place: (request: ModelRequest) => ServingGroup | undefined;
  told: PeerState | undefined;
}

interface Stream {
  readonly request: ModelRequest;
  readonly sentAt: number;
  /** Undefined while it waits in the engine. */
  nextEventAt: number | undefined;
  lastEventAt: number | undefined;
  events: number;
}

interface ModelGroup {
  readonly head: BackendServer;
  streams: Stream[];
  /** Prompts are read one after the other. */
  readUntil: number;
}

const SPEC = ENGINE.models.find(({ name }) => name === SMALL);
const PACE = SPEC?.pace ?? 1;
const FULL_PAUSE_MS = expectedPauseMs(ENGINE, PACE, ENGINE.batchSize);
const READ_MS = (PACE * PROMPT_TOKENS) / ENGINE.prefillTokensPerMs;
/** Requests a second that a full group serves. */
const GROUP_RATE = (1_000 * ENGINE.batchSize) / (READ_MS + EVENTS * FULL_PAUSE_MS);

const TABLE = {
  config: { services: [{ name: SERVICE, engine: ENGINE }] },
  service: () => ({ name: SERVICE, engine: ENGINE }),
} as unknown as RouteTable;

export interface FleetModel {
  readonly requests: readonly ModelRequest[];
  run(ms: number): void;
  /** The first `count` groups are lost with their streams. */
  loseGroups(count: number): void;
  /** As many new ones are formed. */
  formGroups(count: number): void;
  /** From now on nobody sums the loads of all: each daemon hears of no other. */
  loseLeader(): void;
  /** Most requests that stood in one engine beyond its places, since the last call. */
  longestQueue(): number;
  /** The part of the arrivals of a span of time that was served on time. */
  onTime(from: number, to: number): number;
}

/** Needs faked timers. */
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
  const roster = { servers, changes } as unknown as ServerRegistry;
  let groups: ModelGroup[] = [];
  const requests: ModelRequest[] = [];
  let formed = 0;
  let longest = 0;
  let nextArrivalAt = 0;
  let toldAt = 0;
  let isLed = true;
  const rate = load * count * GROUP_RATE;

  let firstEvents: FirstEventStats | undefined;
  const slackMs = (): number => slackOf(firstEvents, TARGET_MS);

  const daemons: ModelDaemon[] = Array.from({ length: size }, (_, n) => {
    const settings = { zone: brandAs<ZoneId>('a') };
    const ctx = makeContext({ clock, settings, seed: seed * 1_000 + n });
    const table = new BehaviorSubject<RouteTable | undefined>(TABLE);
    const board = createGroupRegistry(ctx, roster, table, makeThrottle(ctx));
    const waiting = createWaitQueue(ctx, board);
    const arrivals = createArrivals(ctx);
    const daemon: ModelDaemon = {
      board,
      waiting,
      arrivals,
      place: ({ tried, arrivedAt }) =>
        takeSlot(
          { ctx, board, waiting, arrivals, daemons: () => size },
          {
            ...{ service: SERVICE, model: SMALL, promptTokens: PROMPT_TOKENS },
            ...{ maxPauseMs: MAX_PAUSE_MS, tried, slackMs: slackMs() },
            isLate: now() >= arrivedAt + slackMs(),
          },
        ),
      told: undefined,
    };
    board.stalls.subscribe(({ head }) => {
      const group = groups.find((one) => one.head.id === head);
      if (group) drop(group, ({ request }) => request.daemon === daemon);
    });
    return daemon;
  });

  const end = (request: ModelRequest, outcome: Outcome): void => {
    request.outcome = outcome;
  };

  const release = ({ head }: ModelGroup, { request, events, sentAt }: Stream): void => {
    const { board } = request.daemon;
    if (events === 0) board.noteEnded(head.id, PROMPT_TOKENS);
    else board.noteEnded(head.id, 0, now() - sentAt);
  };

  /** Streams that are lost or moved go on at another group, if they may. */
  const drop = (group: ModelGroup, isDropped: (stream: Stream) => boolean): void => {
    const dropped = group.streams.filter(isDropped);
    group.streams = group.streams.filter((stream) => !dropped.includes(stream));
    for (const stream of dropped) {
      release(group, stream);
      if (stream.request.attempts < MOST_ATTEMPTS) seek(stream.request);
      else end(stream.request, 'failed');
    }
  };

  const send = (request: ModelRequest, { head }: ServingGroup): void => {
    request.attempts += 1;
    request.tried.add(head.id);
    const group = groups.find((one) => one.head.id === head.id);
    const stream: Stream = {
      ...{ request, sentAt: now(), nextEventAt: undefined, lastEventAt: undefined, events: 0 },
    };
    if (group) group.streams.push(stream);
    else {
      request.daemon.board.noteEnded(head.id, PROMPT_TOKENS);
      end(request, 'failed');
    }
  };

  const seek = (request: ModelRequest): void => {
    const { daemon, arrivedAt } = request;
    const group = daemon.place(request);
    if (group) {
      send(request, group);
      return;
    }
    const until = later(at(arrivedAt), PLACE_WITHIN_MS);
    const entry = {
      ...{ model: SMALL, priority: 1, until, arrivedAt: at(arrivedAt), holdMs: 1_000 },
      onTimeUntil: later(at(arrivedAt), slackMs()),
      gone: new AbortController().signal,
      isRetry: request.tried.size > 0,
      choose: () => {
        const found = daemon.place(request);
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
        ...{ arrivedAt: now(), daemon, tried: new Set<InstanceId>() },
        ...{ attempts: 0, firstEventAt: undefined, outcome: undefined },
      };
      requests.push(request);
      daemon.arrivals.note(SMALL);
      seek(request);
    }
  };

  const advance = (group: ModelGroup, stream: Stream): boolean => {
    const { request } = stream;
    const { board } = request.daemon;
    if (stream.nextEventAt === undefined) {
      group.readUntil = Math.max(group.readUntil, now()) + READ_MS;
      stream.nextEventAt = group.readUntil + FULL_PAUSE_MS;
    }
    if (now() < stream.nextEventAt) return true;
    if (stream.events === 0) {
      board.notePrefilled(group.head.id, PROMPT_TOKENS);
      firstEvents = noteFirstEvent(firstEvents, now() - stream.sentAt);
      request.firstEventAt ??= now();
    }
    board.noteEvent(
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
    const left = group.streams.filter(hasLeft);
    const ended = group.streams
      .filter((stream) => !left.includes(stream))
      .slice(0, ENGINE.batchSize)
      .filter((stream) => !advance(group, stream));
    longest = Math.max(longest, group.streams.length - ENGINE.batchSize);
    group.streams = group.streams.filter((one) => !ended.includes(one) && !left.includes(one));
    for (const { request } of left) end(request, 'caller gone');
    for (const { request } of ended) {
      const first = request.firstEventAt ?? Infinity;
      end(request, first - request.arrivedAt <= TARGET_MS ? 'on time' : 'late');
    }
    for (const stream of [...left, ...ended]) release(group, stream);
  };

  const stateOf = ({ board, waiting, arrivals }: ModelDaemon): PeerState =>
    makeState({
      running: board.running().map((entry) => [...entry]),
      waiting: [[SMALL, waiting.count(SMALL), arrivals.rate(SMALL)]],
    });

  const report = (): void => {
    if (now() < toldAt) return;
    toldAt = now() + REPORT_MS;
    if (!isLed) {
      for (const { board } of daemons) {
        board.applyLoads(sumLoads([]), { ...LOAD_FACTS, coversMost: false, isLeaderless: true });
      }
      return;
    }
    const states = daemons.map(stateOf);
    const sums = sumLoads(states);
    setTimeout(() => {
      daemons.forEach((daemon, n) => {
        const own = states[n];
        daemon.board.applyLoads(own ? withoutOwn(sums, own) : sums, LOAD_FACTS);
      });
    }, ON_ITS_WAY_MS);
  };

  const formGroups = (more: number): void => {
    for (let n = 0; n < more; n++) {
      formed += 1;
      const head = makeServer(`${formed}`, { model: SMALL, ...inGroup(`g${formed}`, 0, 'open') });
      servers.set(head.id, head);
      groups.push({ head, streams: [], readUntil: now() });
    }
    changes.next();
  };

  const loseGroups = (lost: number): void => {
    const gone = groups.slice(0, lost);
    groups = groups.slice(lost);
    for (const { head } of gone) servers.delete(instance(head.id));
    changes.next();
    for (const group of gone) drop(group, () => true);
  };

  const run = (ms: number): void => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      vi.advanceTimersByTime(STEP_MS);
      arrive();
      for (const group of groups) serve(group);
      for (const { board } of daemons) board.tick();
      report();
    }
  };

  const onTime = (from: number, to: number): number => {
    const asked = requests.filter(({ arrivedAt }) => arrivedAt >= from && arrivedAt < to);
    return asked.filter(({ outcome }) => outcome === 'on time').length / asked.length;
  };

  const longestQueue = (): number => {
    const found = longest;
    longest = 0;
    return found;
  };

  const loseLeader = (): void => {
    isLed = false;
  };

  formGroups(count);
  return { requests, run, loseGroups, formGroups, loseLeader, longestQueue, onTime };
}

/** A fleet of real daemons whose servers, links or processes stand still for a while, and what its callers see. */

import { expect } from 'vitest';
import * as z from 'zod';

import { TABLES } from '../../platform/names';
import { createRandom } from '../../src/adapters/runtime';
import { brandAs } from '../../src/core/ids';
import type { DomainId, InstanceId, ServerName } from '../../src/core/ids';
import { leaseKeys } from '../../src/core/lease/keys';
import type { StoreEra } from '../../src/core/store-era';
import type { PlatformStandIn, ServerPattern } from '../../stand-ins/users-platform/start';
import { pause } from '../../src/utils/pause';
import { eventIds } from '../support/gateway-daemon';
import { startFixture } from './gateway-fixture';
import type { GatewayFixture, SentRequest } from './gateway-fixture';
import { ENGINE, LARGE, SMALL } from './support';

export const DAEMONS = 4;
const DOMAINS = [11, 11, 11, 11];
const ZONES = 2;
/** All servers may begin to load at once, so that a fleet is ready sooner. */
const QUICK_ENGINE = { ...ENGINE, loadsPerS: 50, loadsAtOnce: 50 };
const EVENTS = 28;
/** Streams a second to each daemon; 48 to all. */
const STREAMS_PER_S = 12;
/** Longer than any stream of a play may take, so that none reaches its deadline. */
const WAIT_MS = 7_900;
const BEFORE_MS = 500;
/** All streams sent later than this after the last pause are served. */
const RECOVERED_MS = 2_000;
const CHECKED_MS = 1_000;
export const PAUSE_MS = 800;
const DELAYED_MS = 1_500;
/** Between two pauses; longer than a stream takes. */
const GAP_MS = 1_000;
const LOOK_MS = 10;
/** Longer than loads take before traffic. */
const SPARES_MS = 4_000;

/** A group that serves. */
export interface OpenGroup {
  /** Name and epoch. */
  readonly id: string;
  readonly name: string;
  readonly model: string;
  readonly domain: DomainId;
  readonly members: readonly InstanceId[];
}

/** What was seen of one play. */
export interface Outcome {
  readonly sent: number;
  /** Streams whose connections ended without their last event, unless a server that ran them ended. */
  readonly torn: readonly string[];
  /** Groups that served before and do not afterwards. */
  readonly ended: readonly string[];
  /** Answers to the streams sent from `RECOVERED_MS` after the last pause, other than whole ones. */
  readonly unserved: readonly string[];
  /** Other answers, by status. */
  readonly refused: Readonly<Record<number, number>>;
}

export interface PausedFleet {
  readonly fixture: GatewayFixture;
  /** The daemon that holds the lease. */
  leader(): number;
  groups(): readonly OpenGroup[];
  /** Chooses one item by the fleet's seed. */
  pick<T>(items: readonly T[]): T;
  /** Sends streams while `disturb` runs, and for some seconds afterwards, `ms` after its start. */
  play(ms: number, disturb: () => Promise<void>): Promise<Outcome>;
  /** Plays while what the daemons receive from servers is delayed for a while. */
  playDelay(daemons: readonly number[], delayMs: number): Promise<Outcome>;
  /** Pauses the servers of a pattern for `ms`, `times` in series. */
  pauseServers(pattern: ServerPattern, ms: number, times?: number): Promise<void>;
  /** Ends a member for good, not the head. Resolves with the milliseconds until another group serves instead. */
  endMember(group: OpenGroup): Promise<number>;
  /** Whether the same groups serve as at the start. */
  isIntact(): boolean;
  close(): void;
}

const leaseSchema = z.object({ holder: z.string() });
const LEASE = brandAs<DomainId>('groups');

/** Duration of a series of pauses. */
export function seriesMs(ms: number, times: number): number {
  return times * ms + (times - 1) * GAP_MS;
}

function isWhole({ reply }: SentRequest): boolean {
  return reply?.status === 200 && reply.isWhole && eventIds(reply.text).length === EVENTS;
}

/** Whether the connection ended without a whole answer. */
function isTorn(one: SentRequest): boolean {
  return (
    one.reply === undefined || !one.reply.isWhole || (one.reply.status === 200 && !isWhole(one))
  );
}

function countRefused(sent: readonly SentRequest[]): Record<number, number> {
  const counts: Record<number, number> = {};
  for (const { reply } of sent) {
    if (reply && reply.status !== 200) counts[reply.status] = (counts[reply.status] ?? 0) + 1;
  }
  return counts;
}

function describeAnswer({ requestId, daemon, reply }: SentRequest): string {
  const events = reply ? eventIds(reply.text).length : 0;
  const status = reply?.status ?? 'no answer';
  return `${requestId} at daemon ${daemon}: ${status}, ${events} of ${EVENTS} events`;
}

/** Waits until the servers that are in no group of a model have loaded weights as well. */
async function awaitSpares({ fleet }: PlatformStandIn): Promise<void> {
  const isReady = (): boolean =>
    [...fleet.servers.values()].every(({ joined }) => joined && joined.state !== 'joining');
  const until = performance.now() + SPARES_MS;
  while (!isReady() && performance.now() < until) await pause(LOOK_MS);
}

async function startPausedFleet(firstPort: number, seed: number): Promise<PausedFleet> {
  const random = createRandom(seed);
  const fixture = await startFixture({
    ...{ firstPort, daemons: DAEMONS, plainServers: 2, domains: DOMAINS, waitMs: WAIT_MS },
    zoneOf: (n) => `zone-${n % ZONES}`,
    modelOf: (n) => (Math.floor(n / DAEMONS) % 2 === 0 ? SMALL : LARGE),
    engine: QUICK_ENGINE,
    isCuttable: true,
    ...(process.env.LOGS !== undefined && { logs: process.env.LOGS }),
  });
  const { platform } = fixture;
  await awaitSpares(platform);
  // From now on, weights load as slowly as they do under traffic.
  platform.fleet.beginTraffic();

  const groups = (): OpenGroup[] =>
    [...platform.fleet.servers.values()].flatMap(({ id, domain, isAlive, joined }) => {
      if (!isAlive || joined?.state !== 'open' || joined.members[0] !== id) return [];
      const { group: name, epoch, model, members } = joined;
      return [{ id: `${name}@${epoch}`, name, model, domain, members }];
    });

  const endedSince = (before: readonly OpenGroup[]): string[] => {
    const now = new Set(groups().map(({ id }) => id));
    return before.flatMap(({ id }) => (now.has(id) ? [] : [id]));
  };

  const atStart = groups();
  const ids = new Set(atStart.map(({ id }) => id));
  /** Heads of the groups that lost a member for good. */
  const endedHeads = new Set<ServerName>();

  const isExcused = ({ requestId }: SentRequest): boolean =>
    platform.runs.some((run) => run.requestId === requestId && endedHeads.has(run.server));

  /** Whether a group serves in another one's place: of its model, in its domain, formed after it. */
  const isSuccessor = (group: OpenGroup, former: OpenGroup): boolean =>
    group.model === former.model && group.domain === former.domain && !ids.has(group.id);

  const sendStreams = (ms: number): Promise<readonly SentRequest[]> =>
    fixture.sendRequests('/stream/x', STREAMS_PER_S, ms, (n) => `events=${EVENTS}&of=${n}`);

  const play: PausedFleet['play'] = async (ms, disturb) => {
    const before = groups();
    const sending = sendStreams(BEFORE_MS + ms + RECOVERED_MS);
    await pause(BEFORE_MS);
    await disturb();
    await pause(RECOVERED_MS);
    const late = await sendStreams(CHECKED_MS);
    const sent = [...(await sending), ...late];
    return {
      sent: sent.length,
      torn: sent.filter((one) => isTorn(one) && !isExcused(one)).map(describeAnswer),
      ended: endedSince(before),
      unserved: late.filter((one) => !isWhole(one)).map(describeAnswer),
      refused: countRefused(sent),
    };
  };

  return {
    fixture,
    groups,
    leader: () => {
      const era = brandAs<StoreEra>(platform.store.era());
      const row = platform.store.get(TABLES.state, leaseKeys(LEASE, era).lease);
      return Number(leaseSchema.parse(row).holder.replace('daemon-', ''));
    },
    pick: (items) => {
      const found = items[Math.floor(random.next() * items.length)];
      if (found === undefined) throw new Error('cannot pick from an empty list');
      return found;
    },
    play,
    playDelay: (daemons, delayMs) =>
      play(DELAYED_MS, async () => {
        for (const n of daemons) fixture.cutOff(n, { kind: 'delay', delayMs });
        await pause(DELAYED_MS);
        for (const n of daemons) fixture.cutOff(n, undefined);
      }),
    pauseServers: async (pattern, ms, times = 1) => {
      for (let n = 0; n < times; n++) {
        if (n > 0) await pause(GAP_MS);
        const goOn = platform.pauses.begin(platform.serversOf(pattern));
        await pause(ms);
        goOn();
      }
    },
    endMember: async (lost) => {
      const [head, member] = lost.members;
      if (head === undefined || member === undefined) throw new Error(`${lost.id} has no members`);
      endedHeads.add(nameOf(platform, head));
      platform.fleet.kill(member);
      const endedAt = performance.now();
      while (!groups().some((group) => isSuccessor(group, lost))) await pause(LOOK_MS);
      return performance.now() - endedAt;
    },
    isIntact: () => endedSince(atStart).length === 0,
    close: () => {
      fixture.close();
    },
  };
}

/** The server's name, as patterns have it. */
export function nameOf({ fleet }: PlatformStandIn, id: InstanceId): ServerName {
  const server = fleet.servers.get(id);
  if (!server) throw new Error(`no server ${id}`);
  return server.name;
}

/** Checks that a play tore no stream and ended no group, and that all streams were served afterwards. */
export function expectUnharmed({ torn, ended, unserved }: Outcome): void {
  expect({ torn, ended, unserved }).toEqual({ torn: [], ended: [], unserved: [] });
}

/** Provides the fleet of the last test, or another one if that ended groups. */
export function createFleetProvider(firstPort: number, seed: number) {
  let fleet: PausedFleet | undefined;
  return {
    intact: async (): Promise<PausedFleet> => {
      if (fleet?.isIntact() === true) return fleet;
      fleet?.close();
      fleet = await startPausedFleet(firstPort, seed);
      return fleet;
    },
    close: (): void => {
      fleet?.close();
    },
  };
}

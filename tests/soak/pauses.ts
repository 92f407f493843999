/** Faults by which servers or daemons do not run for a moment; none of them ends a stream. */

import type { Random } from '../../src/ports/runtime';
import type { ServerPattern } from '../../stand-ins/users-platform/start';
import { MIN_FAULT_MS, pauseProcess, pick } from './faults';
import type { Fault, FaultContext, PlannedFault } from './faults';
import type { World } from './world';

function pauseServers(choose: (ctx: FaultContext) => ServerPattern): Fault {
  return (ctx) => {
    const { platform } = ctx.world;
    return platform.pauses.begin(platform.serversOf(choose(ctx)));
  };
}

function openGroups({ platform }: World): string[] {
  return [...platform.fleet.servers.values()].flatMap(({ joined }) =>
    joined?.state === 'open' ? [joined.group] : [],
  );
}

/** By name. They are scheduled separately, so that the schedules of earlier seeds do not change. */
export const PAUSE_FAULTS: Readonly<Record<string, Fault>> = {
  'servers-paused': pauseServers(() => ({})),
  'domain-paused': pauseServers(({ world, random }) => ({
    domain: pick(random, [...world.platform.fleet.servers.values()]).domain,
  })),
  'group-paused': pauseServers(({ world, random }) => ({
    group: pick(random, ['none', ...openGroups(world)]),
  })),
  'daemons-paused': ({ world }) => {
    const ends = world.daemons.map((daemon) => pauseProcess(world, daemon));
    return () => {
      for (const end of ends) end();
    };
  },
};

/** Shorter than the silence after which a group of which no member answers may be ended. */
const MAX_PAUSE_MS = 1_500;
const MIN_GAP_MS = 500;

/** Plans pauses that do not overlap each other, to be merged into a schedule. */
export function planPauses(random: Random, count: number, durationMs: number): PlannedFault[] {
  const spanMs = Math.max(durationMs / Math.max(1, count), MAX_PAUSE_MS + MIN_GAP_MS);
  return Array.from({ length: count }, (_, n) => {
    const forMs = Math.round(MIN_FAULT_MS + random.next() * (MAX_PAUSE_MS - MIN_FAULT_MS));
    const at = Math.round(n * spanMs + random.next() * (spanMs - forMs - MIN_GAP_MS));
    return { name: pick(random, Object.keys(PAUSE_FAULTS)), at, forMs };
  });
}

/** Rounds in which the operator evacuates a zone whose servers are cold afterwards. */

import type { Random } from '../../src/ports/runtime';
import type { ServerName } from '../../src/core/ids';
import { pause } from '../../src/utils/pause';
import { SILENT } from './proxy';
import type { World } from './world';

/** Settings and configuration that bound the requests to cold servers. */
export const COLD_SETTINGS = { coldFactor: 1.5, coldSlack: 5 };
export const COLD_PER_S = 4;
/** Most requests in any second to a cold server, of all daemons together. */
const COLD_BOUND = COLD_PER_S * COLD_SETTINGS.coldFactor + COLD_SETTINGS.coldSlack;
const COLD_MS = 5_000;
/** By then all daemons know from the servers' entries that they are cold. */
const COLD_KNOWN_MS = 600;
/** Nothing reaches an evacuated zone later than this after the operator's row. */
const EVACUATE_MS = 5_000;
const EVACUATED_MS = 7_000;
/** Time for connections that were busy to become idle again. */
const CALM_MS = 1_000;

const ZONES = ['zone-a', 'zone-b'] as const;

/** Domains and plain servers belong to the zones in turn. */
export function zoneOf(n: number): string {
  return ZONES[n % ZONES.length] ?? 'zone-a';
}

function serversIn({ platform }: World, zone: string): readonly ServerName[] {
  const members = [...platform.fleet.servers.values()]
    .filter(({ domain, isAlive }) => isAlive && zoneOf(Number(domain.slice(1))) === zone)
    .map(({ name }) => name);
  return [...members, ...platform.plainServers.filter((_, n) => zoneOf(n) === zone)];
}

function arrivalsAt({ platform }: World, servers: readonly ServerName[], from: number): number[] {
  const names = new Set<ServerName>(servers);
  return platform.statements.arrivals
    .filter(({ server, at }) => names.has(server) && at >= from)
    .map(({ at }) => at - from);
}

function mostInOneSecond(times: readonly number[]): number {
  const counts = times.map((start) => times.filter((t) => t >= start && t < start + 1_000).length);
  return Math.max(0, ...counts);
}

/**
 * Runs a round and returns the violations. One daemon's connection to the store is silent meanwhile, so
 * that it must learn of the evacuation from its peers.
 */
export async function runZoneRound(world: World, random: Random): Promise<string[]> {
  const { platform, daemons } = world;
  const zone = zoneOf(Math.floor(random.next() * ZONES.length));
  const servers = serversIn(world, zone);
  const isolated = daemons[Math.floor(random.next() * daemons.length)];
  isolated?.toStore.disturb(SILENT);
  const evacuatedAt = performance.now();
  platform.evacuate(zone, true);
  await pause(EVACUATED_MS);
  const late = arrivalsAt(world, servers, evacuatedAt + EVACUATE_MS).length;
  isolated?.toStore.disturb(undefined);
  platform.setCold(servers, COLD_MS);
  await pause(COLD_KNOWN_MS);
  const coldFrom = performance.now();
  platform.evacuate(zone, false);
  await pause(COLD_MS - COLD_KNOWN_MS);
  const overloaded = servers.flatMap((name) => {
    const most = mostInOneSecond(arrivalsAt(world, [name], coldFrom));
    return most > COLD_BOUND ? [`cold ${name} received ${most} requests in one second`] : [];
  });
  await pause(CALM_MS);
  return [
    ...(late > 0 ? [`${late} requests reached ${zone} too late after its evacuation`] : []),
    ...overloaded,
  ];
}

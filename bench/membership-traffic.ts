/**
 * Measures membership traffic (bytes per second) and CPU time per daemon on loopback TCP, with many
 * daemons in one process: idle, and with each daemon publishing.
 */

import { later } from '../src/core/ids';
import type { EpochTime } from '../src/core/ids';
import { startFleet } from '../tests/support/membership-daemons';
import type { Fleet } from '../tests/support/membership-daemons';
import { round } from './statistics';

const SIZES = [7, 25, 50, 100];
const SETTLE_MS = 3000;
const MEASURE_MS = 8000;
const JOIN_MS = 120_000;
const PUBLISH_EVERY_MS = 100;
const TTL_MS = 5000;
const LIMIT_BYTES_PER_SECOND = 8192;

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

interface Sample {
  readonly sent: readonly number[];
  readonly cpuUs: number;
  readonly at: number;
}

function sampleOf(fleet: Fleet): Sample {
  const { user, system } = process.cpuUsage();
  const sent = fleet.daemons.map(({ part }) => part.traffic().sentBytes);
  return { sent, cpuUs: user + system, at: performance.now() };
}

function rowOf(load: string, size: number, from: Sample, to: Sample): object {
  const seconds = (to.at - from.at) / 1000;
  const rates = to.sent.map((bytes, i) => (bytes - (from.sent[i] ?? 0)) / seconds);
  const mean = rates.reduce((sum, rate) => sum + rate, 0) / size;
  return {
    role: 'peer',
    unit: load,
    size,
    bytesPerSecond: round(mean, 0),
    mostBytesPerSecond: round(Math.max(...rates), 0),
    limit: LIMIT_BYTES_PER_SECOND,
    coreShare: round((to.cpuUs - from.cpuUs) / 1e6 / seconds / size, 5),
  };
}

async function measure(load: string, fleet: Fleet, act: () => void): Promise<object> {
  const from = sampleOf(fleet);
  const timer = setInterval(act, PUBLISH_EVERY_MS);
  await sleep(MEASURE_MS);
  clearInterval(timer);
  return rowOf(load, fleet.daemons.length, from, sampleOf(fleet));
}

/** Time until all daemons know each other. */
async function joinMs(fleet: Fleet): Promise<number> {
  const size = fleet.daemons.length;
  const from = performance.now();
  while (!fleet.daemons.every(({ part }) => part.peers().length === size)) {
    if (performance.now() - from > JOIN_MS)
      throw new Error(`${size} daemons did not all discover each other in time`);
    await sleep(50);
  }
  return round(performance.now() - from, 0);
}

async function measureSize(size: number): Promise<readonly object[]> {
  const fleet = await startFleet({ count: size, settings: {}, seeds: 3 });
  const joinedMs = await joinMs(fleet);
  await sleep(SETTLE_MS);
  const idle = await measure('at rest', fleet, () => undefined);
  let published = 0;
  const busy = await measure('ten entries a second in all', fleet, () => {
    published += 1;
    const daemon = fleet.daemons[published % size];
    const expiresAt = later(Date.now() as EpochTime, TTL_MS);
    daemon?.part.gossip.publish(
      'topic',
      'key',
      { domain: 'domain-1', wellUntil: published },
      expiresAt,
    );
  });
  await fleet.stop();
  const joined = { role: 'peer', unit: 'all started at once', size, joinedMs };
  return [joined, idle, busy];
}

export async function benchMembershipTraffic(): Promise<readonly object[]> {
  const rows: object[] = [];
  for (const size of SIZES) rows.push(...(await measureSize(size)));
  return rows;
}

/** Measures a daemon's cost per request and per token by load, with separate processes on loopback. */

import { readFileSync } from 'node:fs';

import { sample, setTokenMs, setUp } from './relay';
import type { Load, Setup } from './relay';
import { round } from './statistics';

/** One measured point of the request plane. */
export interface RelaySlopeRow {
  readonly role: 'request plane';
  /** What `us` is measured per. */
  readonly unit: 'token' | 'small request';
  /** Concurrent streams or calls. */
  readonly size: number;
  /** Resulting units per second. */
  readonly perSecond: number;
  /** CPU time per unit, microseconds. */
  readonly us: number;
  /** Peak growth of resident memory per stream or call, bytes; includes garbage. */
  readonly bytes: number;
}

const WATCH_EVERY_MS = 100;
const KIB = 1_024;
const STREAMS = [10, 40, 80, 160];
const CALLS = [1, 4, 16, 64];
const TOKEN_MS = 10;
const TOKENS = 400;
const CALLS_PER_SIZE = 2_000;

function residentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) * KIB;
}

function streamsAt(width: number): Load {
  const shape = { tokens: TOKENS, units: TOKENS, stream: true, tokenMs: TOKEN_MS };
  return { measure: 'token', ...shape, width, calls: 2 * width };
}

function callsAt(width: number): Load {
  const shape = { tokens: 1, units: 1, stream: false, tokenMs: 0 };
  return { measure: 'small request', ...shape, width, calls: CALLS_PER_SIZE };
}

async function point(
  setup: Setup,
  unit: RelaySlopeRow['unit'],
  load: Load,
): Promise<RelaySlopeRow> {
  await setTokenMs(setup, load.tokenMs);
  const { pid } = setup.daemon;
  const idle = residentBytes(pid);
  let peak = idle;
  const watch = setInterval(() => {
    peak = Math.max(peak, residentBytes(pid));
  }, WATCH_EVERY_MS);
  const { perSecond, us } = await sample(setup, setup.daemon, load);
  clearInterval(watch);
  const bytes = round((peak - idle) / load.width, 0);
  const size = load.width;
  return {
    role: 'request plane',
    unit,
    size,
    perSecond: round(perSecond, 0),
    us: round(us, 1),
    bytes,
  };
}

/** Measures CPU time and memory of one daemon at four loads of each kind. */
export async function measureRelaySlopes(): Promise<readonly RelaySlopeRow[]> {
  const setup = await setUp([]);
  const rows: RelaySlopeRow[] = [];
  try {
    await sample(setup, setup.daemon, callsAt(CALLS.at(-1) ?? 1));
    for (const width of CALLS) rows.push(await point(setup, 'small request', callsAt(width)));
    for (const width of STREAMS) rows.push(await point(setup, 'token', streamsAt(width)));
    return rows;
  } finally {
    await setup.stop();
  }
}

/** Fault switches and counts of the platform's four services. */

import type { IncomingMessage, ServerResponse } from 'node:http';

import { passGate, takeOne } from '../shared/gate';
import type { GateFaults } from '../shared/gate';
import { sendJson } from '../shared/server';
import type { RateLimit } from './limits';

export const SERVICES = ['table', 'objects', 'instances', 'weights'] as const;
export type ServiceName = (typeof SERVICES)[number];

export interface ServiceFaults extends GateFaults {
  /** The next n writes take effect; their connections are cut before the answer. */
  lostAnswers?: number;
  /** The next n writes are cut before they take effect. */
  lostRequests?: number;
  /** How old the instance list is, milliseconds. */
  lagMs?: number;
}

export type PlatformFaults = Record<ServiceName, ServiceFaults>;

/** Requests served, by name. */
export type Counts = Record<string, number>;

/** One request to one service. */
export interface Call {
  readonly faults: ServiceFaults;
  /** Under which name it is counted. */
  readonly count: string;
  readonly write: boolean;
  readonly limit?: RateLimit;
}

export function createFaults(lagMs: number): PlatformFaults {
  return { table: {}, objects: {}, instances: { lagMs }, weights: {} };
}

/** Runs `act` under the fault switches; `act` returns the function that answers. */
export async function underFaults(
  { faults, count, write, limit }: Call,
  counts: Counts,
  req: IncomingMessage,
  res: ServerResponse,
  act: () => Promise<() => void>,
): Promise<void> {
  if (!(await passGate(faults, req, res))) return;
  if (limit?.take() === false) {
    req.resume();
    sendJson(res, 429, { error: 'rate-limited' }, { 'retry-after': '1' });
    return;
  }
  if (write && takeOne(faults, 'lostRequests')) {
    req.socket.destroy();
    return;
  }
  const answer = await act();
  counts[count] = (counts[count] ?? 0) + 1;
  if (write && takeOne(faults, 'lostAnswers')) {
    req.socket.destroy();
    return;
  }
  answer();
}

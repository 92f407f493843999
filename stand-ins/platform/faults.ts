/** Fault injection and request counters of the platform's four services. */

import type { IncomingMessage, ServerResponse } from 'node:http';

import { passGate, takeOne } from '../shared/gate';
import type { GateFaults } from '../shared/gate';
import { sendJson } from '../shared/server';
import type { RateLimit } from './limits';

/** Names of the services, as fields of `/faults`. */
export const SERVICES = ['table', 'objects', 'instances', 'weights'] as const;
export type ServiceName = (typeof SERVICES)[number];

/** Injected faults of one service; each affected write decrements its counter. */
export interface ServiceFaults extends GateFaults {
  /** The next n writes take effect; their connections are closed before the response. */
  lostAnswers?: number;
  /** The connections of the next n writes are closed before they take effect. */
  lostRequests?: number;
  /** Staleness of the instance list, milliseconds. */
  lagMs?: number;
}

export type PlatformFaults = Record<ServiceName, ServiceFaults>;

/** Number of requests served, by operation. */
export type Counts = Record<string, number>;

/** How a request to a service is counted, limited and subjected to faults. */
export interface Call {
  readonly faults: ServiceFaults;
  /** Key in `Counts`. */
  readonly count: string;
  readonly write: boolean;
  readonly limit?: RateLimit;
}

export function createFaults(lagMs: number): PlatformFaults {
  return { table: {}, objects: {}, instances: { lagMs }, weights: {} };
}

/**
 * Executes `act` subject to rate limit and faults; `act` returns the function that sends the
 * response.
 */
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

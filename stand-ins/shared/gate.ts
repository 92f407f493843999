/** Fault injection common to all stand-ins: down, slow and frozen. */

import type { IncomingMessage, ServerResponse } from 'node:http';

import { sendJson } from './server';

/** Faults that delay or refuse a request before it is processed. */
export interface GateFaults {
  /** Respond 503 without processing the request. */
  down?: boolean;
  /** Delay before processing, milliseconds. */
  slowMs?: number;
  /** Hold every request until the fault is cleared. */
  frozen?: boolean;
}

/** Interval at which a frozen stand-in polls whether the fault was cleared. */
const THAW_POLL_MS = 5;

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Resolves once `frozen` is cleared. */
export async function thawed(faults: GateFaults): Promise<void> {
  while (faults.frozen === true) await sleep(THAW_POLL_MS);
}

/**
 * Applies the faults to a request. False where it must not be processed: it was answered with 503,
 * or the client disconnected in the meantime.
 */
export async function passGate(
  faults: GateFaults,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<boolean> {
  await thawed(faults);
  const slowMs = faults.slowMs ?? 0;
  if (slowMs > 0) await sleep(slowMs);
  await thawed(faults);
  if (faults.down === true) {
    req.resume();
    sendJson(res, 503, { error: 'down' });
    return false;
  }
  return !req.destroyed || req.complete;
}

/** Decrements a counter; false when it was already 0. */
export function takeOne<K extends string>(counts: Partial<Record<K, number>>, name: K): boolean {
  const remaining = counts[name] ?? 0;
  if (remaining <= 0) return false;
  counts[name] = remaining - 1;
  return true;
}

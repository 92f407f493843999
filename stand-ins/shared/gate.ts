/** Fault switches that every stand-in knows: down, slow and frozen. */

import type { IncomingMessage, ServerResponse } from 'node:http';

import { sendJson } from './server';

/** The switches that delay or refuse a request before it is looked at. */
export interface GateFaults {
  /** Answer 503: nothing was done. */
  down?: boolean;
  /** Wait this long before doing anything, milliseconds. */
  slowMs?: number;
  /** Hold every request until switched off. */
  frozen?: boolean;
}

/** How often a frozen stand-in looks whether it may go on, milliseconds. */
const THAW_CHECK_MS = 5;

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Resolves once `frozen` is off. */
export async function thawed(faults: GateFaults): Promise<void> {
  while (faults.frozen === true) await sleep(THAW_CHECK_MS);
}

/** Whether the request may go on; answers it where it may not. */
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

/** Takes one off a count; false when it was already 0. */
export function takeOne<K extends string>(counts: Partial<Record<K, number>>, name: K): boolean {
  const left = counts[name] ?? 0;
  if (left <= 0) return false;
  counts[name] = left - 1;
  return true;
}

/** Small helpers that more than one feature needs. */

import { createHash } from 'node:crypto';

/** SHA-256 of the parts, each ended by a zero byte so that parts cannot run together; hex. */
export function hashParts(...parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    hash.update(part);
    hash.update('\0');
  }
  return hash.digest('hex');
}

/** The hash under which the configuration holds a key, of callers and operators alike: SHA-256, hex. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Compares strings by code unit: the same order on every machine. */
export function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/** A random sample of `count` items, by `random` in [0, 1). */
export function sample<T>(all: readonly T[], count: number, random: () => number): readonly T[] {
  if (count >= all.length) return all;
  const left = [...all];
  return Array.from({ length: count }, () =>
    left.splice(Math.floor(random() * left.length), 1),
  ).flat();
}

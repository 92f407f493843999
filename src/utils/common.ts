/** Hashing, string comparison and sampling helpers. */

import { createHash } from 'node:crypto';

/** SHA-256 of the parts in hex, each terminated by a zero byte so that `ab, c` and `a, bc` differ. */
export function hashParts(...parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    hash.update(part);
    hash.update('\0');
  }
  return hash.digest('hex');
}

/** SHA-256 of an API key in hex, the form in which the configuration stores caller and operator keys. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Compares strings by code unit, independent of the locale. */
export function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/** A random sample of `count` items without replacement; `random` returns numbers in [0, 1). */
export function sample<T>(all: readonly T[], count: number, random: () => number): readonly T[] {
  if (count >= all.length) return all;
  const remaining = [...all];
  return Array.from({ length: count }, () =>
    remaining.splice(Math.floor(random() * remaining.length), 1),
  ).flat();
}

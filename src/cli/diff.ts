/** Structural diff of two JSON documents. */

import type { Json } from '../core/json';
import { isRecord } from '../utils/is';

/** One field that differs. */
export interface Difference {
  /** Dotted path, as `organisations.rennes.share`. */
  readonly path: string;
  /** Old value; absent where the field was added. */
  readonly from?: Json;
  /** New value; absent where the field was removed. */
  readonly to?: Json;
}

type JsonRecord = Readonly<Record<string, Json>>;

function createDifference(path: string, from: Json | undefined, to: Json | undefined): Difference {
  return {
    path,
    ...(from === undefined ? {} : { from }),
    ...(to === undefined ? {} : { to }),
  };
}

function diffRecords(from: JsonRecord, to: JsonRecord, path: string): Difference[] {
  const fields = [...new Set([...Object.keys(from), ...Object.keys(to)])].sort();
  return fields.flatMap((field) =>
    diffPaths(from[field], to[field], path === '' ? field : `${path}.${field}`),
  );
}

/** Keys a list by the `hash` of its items, where all have one; their order is irrelevant. */
function recordByHash(list: readonly Json[]): JsonRecord | undefined {
  const entries = list.map((item) => [isRecord(item) ? item.hash : undefined, item] as const);
  return entries.every(([hash]) => typeof hash === 'string')
    ? (Object.fromEntries(entries) as JsonRecord)
    : undefined;
}

function diffLists(from: readonly Json[], to: readonly Json[], path: string): Difference[] {
  const [before, after] = [recordByHash(from), recordByHash(to)];
  if (before !== undefined && after !== undefined) return diffRecords(before, after, path);
  const length = Math.max(from.length, to.length);
  return Array.from({ length }).flatMap((_, i) => diffPaths(from[i], to[i], `${path}[${i}]`));
}

/** Every field that differs, sorted by path. Lists are compared by index, API keys by hash. */
export function diffPaths(
  from: Json | undefined,
  to: Json | undefined,
  path = '',
): readonly Difference[] {
  if (isRecord(from) && isRecord(to)) return diffRecords(from, to, path);
  if (Array.isArray(from) && Array.isArray(to)) return diffLists(from, to, path);
  return from === to ? [] : [createDifference(path, from, to)];
}

function formatValue(value: Json | undefined): string {
  return value === undefined ? '(absent)' : JSON.stringify(value);
}

/** One line: path, old and new value. */
export function renderDifference({ path, from, to }: Difference): string {
  return `${path}: ${formatValue(from)} -> ${formatValue(to)}`;
}

/** Differences between two documents, field by field. */

import type { Json } from '../core/json';
import { isRecord } from '../utils/is';

export interface Difference {
  /** As `organisations.rennes.share`. */
  readonly path: string;
  /** Absent: the field is new. */
  readonly from?: Json;
  /** Absent: the field is gone. */
  readonly to?: Json;
}

type JsonRecord = Readonly<Record<string, Json>>;

function difference(path: string, from: Json | undefined, to: Json | undefined): Difference {
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

/** A list whose items are told apart by their hash, as a record; their order means nothing. */
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

/** Every field that differs, in order of path; lists are compared place by place, keys by hash. */
export function diffPaths(
  from: Json | undefined,
  to: Json | undefined,
  path = '',
): readonly Difference[] {
  if (isRecord(from) && isRecord(to)) return diffRecords(from, to, path);
  if (Array.isArray(from) && Array.isArray(to)) return diffLists(from, to, path);
  return from === to ? [] : [difference(path, from, to)];
}

function show(value: Json | undefined): string {
  return value === undefined ? '(absent)' : JSON.stringify(value);
}

export function renderDifference({ path, from, to }: Difference): string {
  return `${path}: ${show(from)} -> ${show(to)}`;
}

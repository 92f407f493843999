/** Differences between two configuration documents, small enough to push to every daemon. */

import { isRecord } from '../../utils/is';
import { canonicalText } from '../json';
import type { Json } from '../json';

type JsonRecord = Readonly<Record<string, Json>>;

/** Sets one entry of a section, or deletes it if `value` is absent. */
export interface DeltaEntry {
  readonly section: string;
  /** Absent if the whole section is set or deleted. */
  readonly name?: string;
  readonly value?: Json;
}

/** The changes that turn one document into another. */
export type Delta = readonly DeltaEntry[];

function isSection(value: Json | undefined): value is JsonRecord {
  return isRecord(value);
}

function differs(a: Json | undefined, b: Json | undefined): boolean {
  if (a === undefined || b === undefined) return a !== b;
  return canonicalText(a) !== canonicalText(b);
}

function entry(section: string, name: string, value: Json | undefined): DeltaEntry {
  return value === undefined ? { section, name } : { section, name, value };
}

function diffSection(section: string, from: JsonRecord, to: JsonRecord): DeltaEntry[] {
  const names = new Set([...Object.keys(from), ...Object.keys(to)]);
  return [...names]
    .filter((name) => differs(from[name], to[name]))
    .map((name) => entry(section, name, to[name]));
}

/** The delta that turns `from` into `to`; both are records of sections. */
export function diffDocuments(from: Json, to: Json): Delta {
  const before: JsonRecord = isSection(from) ? from : {};
  const after: JsonRecord = isSection(to) ? to : {};
  const sections = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...sections].flatMap((section): DeltaEntry[] => {
    const a = before[section];
    const b = after[section];
    if (isSection(a) && isSection(b)) return diffSection(section, a, b);
    if (!differs(a, b)) return [];
    return b === undefined ? [{ section }] : [{ section, value: b }];
  });
}

function applyEntry(doc: JsonRecord, change: DeltaEntry): JsonRecord {
  const { section, name, value } = change;
  if (name === undefined) return withEntry(doc, section, value);
  const old = doc[section];
  return { ...doc, [section]: withEntry(isSection(old) ? old : {}, name, value) };
}

function withEntry(record: JsonRecord, key: string, value: Json | undefined): JsonRecord {
  if (value !== undefined) return { ...record, [key]: value };
  return Object.fromEntries(Object.entries(record).filter(([name]) => name !== key));
}

/** Applies `delta` to `document`; the caller checks the hash of the result. */
export function applyDelta(document: Json, delta: Delta): Json {
  return delta.reduce<JsonRecord>(applyEntry, isSection(document) ? document : {});
}

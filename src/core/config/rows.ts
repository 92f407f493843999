/**
 * Rows of the configuration in the table service:
 *
 * - `config/head` {version, changeId, hash}: the version in force. Every write to the other rows is
 *   conditional on it.
 * - `config/recent`: the latest change ids, for submitters whose answer was lost.
 * - `config/v/{version}` {document, ...}: each version; a new one replaces the oldest.
 */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as z from 'zod';

import { hashParts } from '../../utils/common';
import type { ChangeId, ConfigVersion } from '../ids';
import { brandAs } from '../ids';
import { canonicalText } from '../json';
import type { Json } from '../json';

/** Incremented when rows change their meaning; a daemon that reads a newer one keeps its config. */
export const ROW_SCHEMA = 1;
export const HEAD_KEY = 'config/head';
export const RECENT_KEY = 'config/recent';
export const VERSION_PREFIX = 'config/v/';
/** Number of versions kept in the table. */
export const MAX_VERSIONS = 200;
/** Number of change ids kept; an older change is refused by its `ifVersion`, never reapplied. */
export const MAX_RECENT_CHANGES = 200;

const VERSION_DIGITS = 12;

/** The version in force. */
export interface HeadRow {
  readonly version: ConfigVersion;
  readonly changeId: ChangeId;
  readonly hash: string;
}

/** An accepted change, and the version that it created or found in force. */
export interface RecentChange {
  readonly changeId: ChangeId;
  readonly version: ConfigVersion;
  /** Hash of what was submitted. */
  readonly hash: string;
}

/** A version with its document. */
export interface VersionRow extends HeadRow {
  readonly document: Json;
}

/** A row as the table service returns it. */
export interface StoredRow {
  readonly key: string;
  /** Row version, for conditional writes; not the version of the configuration. */
  readonly version: number;
  readonly value: Json;
}

const version = z
  .int()
  .min(1)
  .transform((n) => brandAs<ConfigVersion>(n));
const changeId = z
  .string()
  .min(1)
  .transform((text) => brandAs<ChangeId>(text));
const schema = z.literal(ROW_SCHEMA);
const headRow = z.object({ schema, version, changeId, hash: z.string() });
const versionRow = headRow.extend({ document: z.custom<Json>((value) => value !== undefined) });
const recentRow = z.object({
  schema,
  changes: z.array(z.object({ changeId, version, hash: z.string() })),
});

/** A row that could not be parsed. */
export interface UnreadableRow {
  readonly key: string;
  readonly message: string;
}

function parseRow<T>(row: StoredRow, rowSchema: z.ZodType<T>): Result<T, UnreadableRow> {
  const parsed = rowSchema.safeParse(row.value);
  if (parsed.success) return ok(parsed.data);
  return err({ key: row.key, message: 'unknown schema or damaged row' });
}

export function parseHead(row: StoredRow): Result<HeadRow, UnreadableRow> {
  return parseRow(row, headRow);
}

export function parseVersionRow(row: StoredRow): Result<VersionRow, UnreadableRow> {
  return parseRow(row, versionRow);
}

export function parseRecent(row: StoredRow): Result<readonly RecentChange[], UnreadableRow> {
  return parseRow(row, recentRow).map((value) => value.changes);
}

/** The value to store in the head row. */
export function headValue(row: HeadRow): Json {
  return { schema: ROW_SCHEMA, version: row.version, changeId: row.changeId, hash: row.hash };
}

/** The value to store in a version row. */
export function versionValue(row: VersionRow): Json {
  const { version: number, changeId: id, hash, document } = row;
  return { schema: ROW_SCHEMA, version: number, changeId: id, hash, document };
}

/** The value to store in the row of recent changes: the newest `MAX_RECENT_CHANGES`. */
export function recentValue(changes: readonly RecentChange[]): Json {
  return {
    schema: ROW_SCHEMA,
    changes: changes.slice(-MAX_RECENT_CHANGES).map((change) => ({ ...change })),
  };
}

/** Key of a version's row; zero-padded, so that keys sort in version order. */
export function versionKey(number: number): string {
  return VERSION_PREFIX + String(number).padStart(VERSION_DIGITS, '0');
}

/** The version in the key of a version row. */
export function versionOfKey(key: string): ConfigVersion {
  return brandAs<ConfigVersion>(Number(key.slice(VERSION_PREFIX.length)));
}

/** Hash of a document; independent of the order of its fields. */
export function hashDocument(document: Json): string {
  return hashParts(canonicalText(document));
}

/**
 * Rows of the configuration in the table service.
 *
 * `config/head` {version, changeId, hash}: the version in force; every write of the others is
 * conditional on it. `config/recent`: the latest change ids, for submitters whose answer was lost.
 * `config/v/{version}` {document, ...}: each version, the oldest deleted as new ones come.
 */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as z from 'zod';

import { hashParts } from '../../utils/common';
import type { ChangeId, ConfigVersion } from '../ids';
import { brandAs } from '../ids';
import { canonicalText } from '../json';
import type { Json } from '../json';

/** Grows when rows change their meaning; a daemon keeps what it has when it meets a newer one. */
export const ROW_SCHEMA = 1;
export const HEAD_KEY = 'config/head';
export const RECENT_KEY = 'config/recent';
export const VERSION_PREFIX = 'config/v/';
/** Versions kept for reading back. */
export const MAX_VERSIONS = 200;
/** Change ids kept; a change id forgotten is refused by its `ifVersion`, never applied again. */
export const MAX_RECENT_CHANGES = 200;

const VERSION_DIGITS = 12;

export interface HeadRow {
  readonly version: ConfigVersion;
  readonly changeId: ChangeId;
  readonly hash: string;
}

/** A change that was accepted, and the version it made or found. */
export interface RecentChange {
  readonly changeId: ChangeId;
  readonly version: ConfigVersion;
  /** Hash of what was submitted. */
  readonly hash: string;
}

export interface VersionRow extends HeadRow {
  readonly document: Json;
}

/** A row as the table service gives it. */
export interface StoredRow {
  readonly key: string;
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

/** Why a row cannot be used. */
export interface UnreadableRow {
  readonly key: string;
  readonly message: string;
}

function parseRow<T>(row: StoredRow, shape: z.ZodType<T>): Result<T, UnreadableRow> {
  const parsed = shape.safeParse(row.value);
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

export function headValue(row: HeadRow): Json {
  return { schema: ROW_SCHEMA, version: row.version, changeId: row.changeId, hash: row.hash };
}

export function versionValue(row: VersionRow): Json {
  const { version: number, changeId: id, hash, document } = row;
  return { schema: ROW_SCHEMA, version: number, changeId: id, hash, document };
}

export function recentValue(changes: readonly RecentChange[]): Json {
  return {
    schema: ROW_SCHEMA,
    changes: changes.slice(-MAX_RECENT_CHANGES).map((change) => ({ ...change })),
  };
}

/** Key of a version's row; keys sort as versions do. */
export function versionKey(number: number): string {
  return VERSION_PREFIX + String(number).padStart(VERSION_DIGITS, '0');
}

/** The version that a row's key names. */
export function versionOfKey(key: string): ConfigVersion {
  return brandAs<ConfigVersion>(Number(key.slice(VERSION_PREFIX.length)));
}

/** Hash of a document, the same for every order of its fields. */
export function hashDocument(document: Json): string {
  return hashParts(canonicalText(document));
}

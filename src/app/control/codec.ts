/** Schemas and decoders of the control plane's table rows and gossip values. */

import * as z from 'zod';

import type { GroupRow, InstanceRow, Versioned } from '../../core/groups/types';
import type { FenceRow, LeaseRow } from '../../core/lease/types';
import type { Json, Row } from '../../ports/platform';

const COUNT = z.number().int().nonnegative();
const MEMBER = z.object({ instance: z.string(), address: z.string() });

const GROUP = z.object({
  id: z.string(),
  model: z.string(),
  domain: z.string(),
  epoch: COUNT,
  fencing: COUNT,
  phase: z.enum(['forming', 'serving', 'draining', 'dissolved']),
  members: z.array(MEMBER).min(1),
  slot: COUNT.optional(),
});

const INSTANCE = z.object({
  instance: z.string(),
  group: z.string().optional(),
  epoch: COUNT,
  fencing: COUNT,
});

const LEASE = z.object({
  holder: z.string(),
  session: z.string(),
  fencing: COUNT,
  ttlMs: z.number().positive(),
  released: z.boolean(),
});

const FENCE = z.object({ fencing: COUNT });

/** Returns the value with its type and branded ids, or undefined if it doesn't match the schema. */
export type Decoder<T> = (value: unknown) => T | undefined;

function decoder(schema: z.ZodType): Decoder<unknown> {
  return (value) => {
    const parsed = schema.safeParse(value);
    return parsed.success ? parsed.data : undefined;
  };
}

export const decodeGroup = decoder(GROUP) as Decoder<GroupRow>;
export const decodeInstance = decoder(INSTANCE) as Decoder<InstanceRow>;
export const decodeLease = decoder(LEASE) as Decoder<LeaseRow>;
export const decodeFence = decoder(FENCE) as Decoder<FenceRow>;

/** Decodes a row, keeping its version; undefined if the row is absent or invalid. */
export function decodeVersioned<R>(
  row: Row | undefined,
  decode: Decoder<R>,
): Versioned<R> | undefined {
  const value = row && decode(row.value);
  return row && value !== undefined ? { version: row.version, row: value } : undefined;
}

/** Converts a typed row to JSON for the table or gossip. */
export function encode(row: object): Json {
  return JSON.parse(JSON.stringify(row)) as Json;
}

const STATEMENT = z.object({
  groups: z.array(z.tuple([z.string(), COUNT])),
  forMs: z.number().nonnegative(),
  seq: COUNT,
});

/** An observer's statement of the groups of a domain that it sees complete. */
export interface StatementValue {
  readonly groups: readonly (readonly [id: GroupRow['id'], epoch: GroupRow['epoch']])[];
  readonly forMs: number;
  readonly seq: number;
}

const WARNING = z.object({ epoch: COUNT, seq: COUNT });

/** An observer's warning that a group is not complete. */
export interface WarningValue {
  readonly epoch: GroupRow['epoch'];
  readonly seq: number;
}

const GROUP_ROW = z.object({ version: COUNT, row: GROUP, gone: z.boolean() });

/** A group's row as its holder just wrote it; `gone` if the group was dissolved. */
export interface GroupRowValue {
  readonly version: number;
  readonly row: GroupRow;
  readonly gone: boolean;
}

export const decodeStatement = decoder(STATEMENT) as Decoder<StatementValue>;
export const decodeWarning = decoder(WARNING) as Decoder<WarningValue>;
export const decodeGroupRow = decoder(GROUP_ROW) as Decoder<GroupRowValue>;
export const decodeLoads = decoder(z.object({ loads: COUNT })) as Decoder<{
  readonly loads: number;
}>;

/** Rows and gossip values of the control plane, checked when they come in. */

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

/** Gives the value typed, ids branded, or nothing where it is not what it should be. */
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

/** The row with its version, or nothing where the value is not what it should be. */
export function versioned<R>(row: Row | undefined, decode: Decoder<R>): Versioned<R> | undefined {
  const value = row && decode(row.value);
  return row && value !== undefined ? { version: row.version, row: value } : undefined;
}

/** A typed row as the table takes it. */
export function encode(row: object): Json {
  return JSON.parse(JSON.stringify(row)) as Json;
}

const STATED = z.object({
  groups: z.array(z.tuple([z.string(), COUNT])),
  forMs: z.number().nonnegative(),
  seq: COUNT,
});

/** One observer's word on the groups of a domain that it sees whole. */
export interface StatedValue {
  readonly groups: readonly (readonly [id: GroupRow['id'], epoch: GroupRow['epoch']])[];
  readonly forMs: number;
  readonly seq: number;
}

const WARNED = z.object({ epoch: COUNT, seq: COUNT });

/** One observer's word that a group is not whole. */
export interface WarnedValue {
  readonly epoch: GroupRow['epoch'];
  readonly seq: number;
}

const TOLD = z.object({ version: COUNT, row: GROUP, gone: z.boolean() });

/** A group's row as its holder just wrote it. */
export interface ToldValue {
  readonly version: number;
  readonly row: GroupRow;
  readonly gone: boolean;
}

export const decodeStated = decoder(STATED) as Decoder<StatedValue>;
export const decodeWarned = decoder(WARNED) as Decoder<WarnedValue>;
export const decodeTold = decoder(TOLD) as Decoder<ToldValue>;
export const decodeLoads = decoder(z.object({ loads: COUNT })) as Decoder<{
  readonly loads: number;
}>;

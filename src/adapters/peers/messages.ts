/** Schemas of the messages between daemons, validated on receipt. */

import * as z from 'zod';

import { brandAs } from '../../core/ids';
import type { DaemonId, EpochTime } from '../../core/ids';
import type { Json } from '../../core/json';
import type { Message } from '../../core/membership/types';

/** A message to one component of one daemon, which membership only transports. */
export interface DirectFrame {
  readonly kind: 'direct';
  readonly topic: string;
  readonly value: Json;
}

export type PeerMessage = Message | DirectFrame;

const MAX_BUCKETS = 1024;
const MAX_LIST = 20_000;

const natural = z.int().min(0);
const numbers = z.array(natural).max(MAX_LIST);
const text = z.string().max(512);
const json = z.custom<Json>((value) => value !== undefined);

const entry = z.strictObject({
  topic: text,
  key: text,
  origin: text.transform((id) => brandAs<DaemonId>(id)),
  version: natural,
  value: json,
  expiresAt: natural.transform((at) => brandAs<EpochTime>(at)),
});

const messageSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('probe'), seq: natural }),
  z.strictObject({ kind: z.literal('ack'), seq: natural }),
  z.strictObject({ kind: z.literal('nack'), seq: natural }),
  z.strictObject({ kind: z.literal('relay'), seq: natural, target: text }),
  z.strictObject({ kind: z.literal('entries'), entries: z.array(entry).max(MAX_LIST) }),
  z.strictObject({
    kind: z.literal('digest'),
    salt: natural,
    buckets: z.array(natural).max(MAX_BUCKETS),
  }),
  z.strictObject({
    kind: z.literal('lines'),
    salt: natural,
    buckets: z.array(natural).max(MAX_BUCKETS),
    ids: numbers,
    versions: numbers,
  }),
  z.strictObject({ kind: z.literal('want'), salt: natural, ids: numbers }),
  z.strictObject({ kind: z.literal('direct'), topic: text, value: json }),
]);

/** Parses a frame; undefined if it is not a valid message. */
export function parsePeerMessage(frame: unknown): PeerMessage | undefined {
  return messageSchema.safeParse(frame).data;
}

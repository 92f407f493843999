/** Schemas of the configuration messages that daemons exchange by gossip and directly. */

import * as z from 'zod';

import type { VersionRef } from '../../core/config/in-force';
import type { Push } from '../../core/config/push';
import type { ConfigVersion } from '../../core/ids';
import { brandAs } from '../../core/ids';
import type { Json } from '../../core/json';

/** Gossip topic: one entry per version. */
export const PUSH_TOPIC = 'config';
/** Direct topic: requests a document of at least the given version. */
export const WANT_TOPIC = 'config-want';
/** Direct topic: the document in force at the sender, in answer to a request. */
export const DOCUMENT_TOPIC = 'config-document';

const json = z.custom<Json>((value) => value !== undefined);
const version = z
  .int()
  .min(1)
  .transform((n) => brandAs<ConfigVersion>(n));
const mark = z.object({ version, hash: z.string() });
/** Unlike `mark`, may be version 0: the empty document before the first version. */
const base = z.object({ version: z.int().min(0), hash: z.string() });
const entry = z.object({
  section: z.string(),
  name: z.string().optional(),
  value: json.optional(),
});

const pushSchema = z.object({ mark, base: base.optional(), delta: z.array(entry).optional() });
const wantSchema = z.object({ version });
const documentSchema = z.object({ mark, document: json });

/** A document with its version and hash. */
export interface DocumentMessage {
  readonly mark: VersionRef;
  readonly document: Json;
}

/** Converts to JSON, dropping fields that are `undefined`. */
function toJson(value: unknown): Json {
  return JSON.parse(JSON.stringify(value)) as Json;
}

export function encodePush(push: Push): Json {
  return toJson(push);
}

export function parsePush(value: Json): Push | undefined {
  const parsed = pushSchema.safeParse(value);
  return parsed.success ? (toJson(parsed.data) as unknown as Push) : undefined;
}

export function parseWant(value: Json): ConfigVersion | undefined {
  const parsed = wantSchema.safeParse(value);
  return parsed.success ? parsed.data.version : undefined;
}

export function encodeDocument(message: DocumentMessage): Json {
  return toJson(message);
}

export function parseDocumentMessage(value: Json): DocumentMessage | undefined {
  const parsed = documentSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

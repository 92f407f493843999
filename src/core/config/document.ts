/** Schema of the configuration document as operators write it. */

import * as z from 'zod';

const NAME = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const HTTP_METHOD = /^[A-Z]{3,7}$/;
const SHA256_HEX = /^[0-9a-f]{64}$/;
const MAX_COUNT = 100_000;
const MAX_MEMBERS = 1024;
const MAX_DEADLINE_MS = 24 * 3_600_000;
const MAX_PORT = 65_535;
const DEFAULT_BACKEND_IN_FLIGHT = 64;

const name = z
  .string()
  .regex(NAME, 'must be 1 to 63 lower-case letters, digits, dots, underscores or hyphens');
const count = z.int().min(1).max(MAX_COUNT);
const positive = z.number().positive().max(1e9);
const weight = z.number().min(0).max(1e9);
const replicaShare = z.number().min(0).max(MAX_COUNT);

function isAddress(text: string): boolean {
  const colon = text.lastIndexOf(':');
  const host = text.slice(0, colon);
  const port = Number(text.slice(colon + 1));
  if (colon < 1 || !Number.isInteger(port) || port < 1 || port > MAX_PORT) return false;
  if (host.startsWith('[') && host.endsWith(']')) {
    return z.ipv6().safeParse(host.slice(1, -1)).success;
  }
  return z.ipv4().safeParse(host).success;
}

const address = z.string().refine(isAddress, 'must be an IP number and a port, as 10.0.0.1:8080');

const callerClass = z.strictObject({
  worth: positive,
  deadlineMs: z.int().min(1).max(MAX_DEADLINE_MS),
  maxInFlight: count,
});

const model = z.strictObject({
  membersPerReplica: z.int().min(1).max(MAX_MEMBERS),
  maxBatch: count,
  policies: z.record(name, name).default({}),
});

const template = z.strictObject({
  weights: z.strictObject({ downtime: weight, stranded: weight }),
  models: z.record(name, model),
  classes: z.record(name, callerClass),
  /** Services that organisations of this template may use. */
  services: z.array(name).default([]),
  /** Maximum values that an organisation may set. */
  limits: z
    .strictObject({
      share: positive.optional(),
      worth: positive.optional(),
      replicas: replicaShare.optional(),
      maxInFlight: count.optional(),
    })
    .default({}),
});

const organisation = z.strictObject({
  template: name,
  share: positive.default(1),
  /** By model. Fractions are pooled: the sum over the organisations is rounded up. */
  replicas: z.record(name, replicaShare).default({}),
  /** Overrides of the template's classes. */
  classes: z.record(name, callerClass.partial()).default({}),
  services: z.array(name).default([]),
});

const service = z.strictObject({
  backends: z.array(address).min(1),
  repeatable: z
    .array(
      z.strictObject({
        method: z.string().regex(HTTP_METHOD, 'must be an HTTP method in capitals'),
        path: z.string().startsWith('/'),
      }),
    )
    .default([]),
  honoursIdempotencyKey: z.boolean().default(false),
  maxInFlight: count.default(DEFAULT_BACKEND_IN_FLIGHT),
});

const key = z.strictObject({
  hash: z.string().regex(SHA256_HEX, 'must be the SHA-256 of the key in lower-case hex'),
  organisation: name.optional(),
  role: z.enum(['caller', 'operator']),
  class: name.optional(),
});

/** Schema of a document; references between its sections are checked by `checkDocument`. */
export const documentSchema = z.strictObject({
  templates: z.record(name, template),
  organisations: z.record(name, organisation).default({}),
  services: z.record(name, service).default({}),
  keys: z.array(key).default([]),
});

/** A validated document, with defaults filled in. */
export type ResolvedDocument = z.output<typeof documentSchema>;
export type TemplateSource = ResolvedDocument['templates'][string];
export type OrganisationSource = ResolvedDocument['organisations'][string];
export type KeySource = ResolvedDocument['keys'][number];

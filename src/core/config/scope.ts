/**
 * Limits an organisation's operator to its own part of the document, for reading and for changes.
 */

import { isRecord } from '../../utils/is';
import { canonicalText } from '../json';
import type { Json } from '../json';

type JsonRecord = Readonly<Record<string, Json>>;

function recordOf(value: Json | undefined): JsonRecord {
  return isRecord(value) ? value : {};
}

function pick(record: JsonRecord, keys: readonly string[]): JsonRecord {
  return Object.fromEntries(
    keys.flatMap((key) => (Object.hasOwn(record, key) ? [[key, record[key] ?? null]] : [])),
  );
}

function textsOf(value: Json | undefined): string[] {
  return Array.isArray(value) ? value.filter((item) => typeof item === 'string') : [];
}

/**
 * The part of the document that an organisation's operator may read: its parameters, its template,
 * its services without the addresses of their backend servers, and its keys.
 */
export function scopeDocument(document: Json, organisation: string): Json {
  const doc = recordOf(document);
  const own = recordOf(pick(recordOf(doc.organisations), [organisation])[organisation]);
  const template = typeof own.template === 'string' ? [own.template] : [];
  const services = pick(recordOf(doc.services), textsOf(own.services));
  const keys: readonly Json[] = Array.isArray(doc.keys) ? (doc.keys as readonly Json[]) : [];
  return {
    templates: pick(recordOf(doc.templates), template),
    organisations: pick(recordOf(doc.organisations), [organisation]),
    services: Object.fromEntries(
      Object.entries(services).map(([id, service]) => [id, withoutBackends(service)]),
    ),
    keys: keys.filter((key) => recordOf(key).organisation === organisation),
  };
}

function withoutBackends(service: Json): Json {
  return Object.fromEntries(
    Object.entries(recordOf(service)).filter(([field]) => field !== 'backends'),
  );
}

function withoutOrganisation(document: Json, organisation: string): string {
  const doc = recordOf(document);
  const { [organisation]: own, ...others } = recordOf(doc.organisations);
  // Only the platform's operator may change the template, so it counts as part of the rest.
  const template = recordOf(own).template ?? null;
  return canonicalText({ ...doc, organisations: others, template });
}

/**
 * The document in force with the organisation's parameters replaced by those of `submitted`, which
 * is either the complete document or the result of {@link scopeDocument}. `undefined` if anything
 * else differs.
 */
export function mergeOwnParameters(
  current: Json,
  submitted: Json,
  organisation: string,
): Json | undefined {
  const allowed = [current, scopeDocument(current, organisation)].some(
    (base) =>
      withoutOrganisation(base, organisation) === withoutOrganisation(submitted, organisation),
  );
  const doc = recordOf(current);
  const organisations = recordOf(doc.organisations);
  const own = recordOf(recordOf(submitted).organisations);
  const known = Object.hasOwn(organisations, organisation) && Object.hasOwn(own, organisation);
  if (!allowed || !known) return undefined;
  return { ...doc, organisations: { ...organisations, ...pick(own, [organisation]) } };
}

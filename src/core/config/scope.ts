/** What an organisation's operator sees of the document, and what it may change. */

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
 * The document as an organisation's operator reads it: its own parameters, its template, its
 * services without the addresses of their backend servers, its keys.
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
  // The template is no parameter: it stays what the platform's operator chose.
  const template = recordOf(own).template ?? null;
  return canonicalText({ ...doc, organisations: others, template });
}

/**
 * The document in force with the organisation's own parameters taken from `submitted`, which is
 * either the whole document or what {@link scopeDocument} showed; undefined if anything else
 * differs.
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

/**
 * Resolves a validated document to a configuration: merges templates and organisation parameters.
 */

import type { ConfigVersion, ModelId, OrganisationId, ServiceId } from '../ids';
import { brandAs } from '../ids';
import type { OrganisationSource, ResolvedDocument, TemplateSource } from './document';
import type { CallerClass, Config, KeyGrant, ModelSpec, Organisation, ServiceSpec } from './types';

/**
 * Parts per replica to which sums are rounded before rounding up: 0.1 + 0.2 is slightly above 0.3.
 */
const REPLICA_PARTS = 1_000_000;

/** A record without a prototype, so that looking up a name like `constructor` finds nothing. */
function toRecord<T>(entries: Iterable<readonly [string, T]>): Readonly<Record<string, T>> {
  const record = Object.create(null) as Record<string, T>;
  for (const [key, value] of entries) record[key] = value;
  return record;
}

function mapRecord<T, U>(
  record: Readonly<Record<string, T>>,
  map: (value: T, key: string) => U,
): Readonly<Record<string, U>> {
  return toRecord(Object.entries(record).map(([key, value]) => [key, map(value, key)] as const));
}

function resolveClasses(
  org: OrganisationSource,
  template: TemplateSource,
): Readonly<Record<string, CallerClass>> {
  return mapRecord(template.classes, (base, name) => {
    const override = org.classes[name] ?? {};
    return {
      name,
      worth: override.worth ?? base.worth,
      deadlineMs: override.deadlineMs ?? base.deadlineMs,
      maxInFlight: override.maxInFlight ?? base.maxInFlight,
    };
  });
}

function resolveOrganisation(doc: ResolvedDocument, id: string): Organisation[] {
  const org = doc.organisations[id];
  const template = org && doc.templates[org.template];
  if (!template) return [];
  const resolved: Organisation = {
    id: brandAs<OrganisationId>(id),
    template: org.template,
    classes: resolveClasses(org, template),
    share: org.share,
    replicas: mapRecord(org.replicas, (replicas) => replicas),
    services: org.services.map((service) => brandAs<ServiceId>(service)),
    weights: template.weights,
  };
  return [resolved];
}

function sumReplicas(doc: ResolvedDocument, model: string): number {
  let sum = 0;
  for (const org of Object.values(doc.organisations)) sum += org.replicas[model] ?? 0;
  return Math.ceil(Math.round(sum * REPLICA_PARTS) / REPLICA_PARTS);
}

function resolveModels(doc: ResolvedDocument): ModelSpec[] {
  return Object.values(doc.templates).flatMap((template) =>
    Object.entries(template.models).map(([id, model]) => ({
      id: brandAs<ModelId>(id),
      membersPerReplica: model.membersPerReplica,
      replicas: sumReplicas(doc, id),
      maxBatch: model.maxBatch,
      weights: template.weights,
      policies: mapRecord(model.policies, (policy) => policy),
    })),
  );
}

function resolveKey(key: ResolvedDocument['keys'][number]): KeyGrant {
  return {
    role: key.role,
    ...(key.organisation === undefined
      ? {}
      : { organisation: brandAs<OrganisationId>(key.organisation) }),
    ...(key.class === undefined ? {} : { class: key.class }),
  };
}

function resolveService(source: ResolvedDocument['services'][string], id: string): ServiceSpec {
  return { id: brandAs<ServiceId>(id), ...source };
}

/** The configuration that a validated document describes, as this version. */
export function resolve(doc: ResolvedDocument, version: ConfigVersion): Config {
  const organisations = Object.keys(doc.organisations).flatMap((id) =>
    resolveOrganisation(doc, id),
  );
  return {
    version,
    organisations: toRecord(organisations.map((org) => [org.id, org] as const)),
    models: toRecord(resolveModels(doc).map((model) => [model.id, model] as const)),
    services: mapRecord(doc.services, resolveService),
    keys: toRecord(doc.keys.map((key) => [key.hash, resolveKey(key)] as const)),
  };
}

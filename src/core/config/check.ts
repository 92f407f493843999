/** Checks a configuration document and names every wrong field by its path. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { documentSchema } from './document';
import type { KeySource, OrganisationSource, ResolvedDocument, TemplateSource } from './document';

/** One thing wrong with a document. */
export interface FieldError {
  /** As `organisations.rennes.replicas.stock-query` or `keys[3].hash`. */
  readonly path: string;
  readonly message: string;
}

type PathPart = string | number;

interface SchemaIssue {
  readonly code?: string;
  readonly message: string;
  readonly path: readonly PropertyKey[];
  readonly keys?: readonly string[];
}

function joinPath(parts: readonly PropertyKey[]): string {
  let path = '';
  for (const part of parts) {
    if (typeof part === 'number') path += `[${part}]`;
    else path += path === '' ? String(part) : `.${String(part)}`;
  }
  return path;
}

function fault(path: readonly PathPart[], message: string): FieldError {
  return { path: joinPath(path), message };
}

/** An entry of a record that came from outside: never one of `Object.prototype`. */
function entryOf<T>(record: Readonly<Record<string, T>>, key: string): T | undefined {
  return Object.hasOwn(record, key) ? record[key] : undefined;
}

function faultsOfIssue(issue: SchemaIssue): FieldError[] {
  if (issue.code !== 'unrecognized_keys') {
    return [{ path: joinPath(issue.path), message: issue.message }];
  }
  return (issue.keys ?? []).map((key) => ({
    path: joinPath([...issue.path, key]),
    message: 'unknown field',
  }));
}

function checkModels(doc: ResolvedDocument): FieldError[] {
  const owners = new Map<string, string>();
  const faults: FieldError[] = [];
  for (const [templateName, template] of Object.entries(doc.templates)) {
    for (const model of Object.keys(template.models)) {
      const owner = owners.get(model);
      owners.set(model, owner ?? templateName);
      if (owner === undefined) continue;
      const path = ['templates', templateName, 'models', model];
      faults.push(fault(path, `model is already defined by template ${owner}`));
    }
  }
  return faults;
}

function checkServiceNames(
  names: readonly string[],
  path: readonly PathPart[],
  allowed: (service: string) => string | undefined,
): FieldError[] {
  const seen = new Set<string>();
  const faults: FieldError[] = [];
  names.forEach((service, i) => {
    const message = seen.has(service) ? `service ${service} is listed twice` : allowed(service);
    seen.add(service);
    if (message !== undefined) faults.push(fault([...path, i], message));
  });
  return faults;
}

function checkTemplateServices(doc: ResolvedDocument): FieldError[] {
  return Object.entries(doc.templates).flatMap(([name, template]) =>
    checkServiceNames(template.services, ['templates', name, 'services'], (service) =>
      entryOf(doc.services, service) ? undefined : `unknown service ${service}`,
    ),
  );
}

function checkReplicas(
  org: OrganisationSource,
  template: TemplateSource,
  path: readonly PathPart[],
): FieldError[] {
  const most = template.limits.replicas ?? Infinity;
  return Object.entries(org.replicas).flatMap(([model, replicas]) => {
    const at = [...path, 'replicas', model];
    if (!entryOf(template.models, model)) {
      return [fault(at, `template ${org.template} has no model ${model}`)];
    }
    return replicas > most ? [fault(at, `template ${org.template} allows at most ${most}`)] : [];
  });
}

function checkOverrides(
  org: OrganisationSource,
  template: TemplateSource,
  path: readonly PathPart[],
): FieldError[] {
  const { limits } = template;
  return Object.entries(org.classes).flatMap(([name, override]) => {
    const at = [...path, 'classes', name];
    if (!entryOf(template.classes, name)) {
      return [fault(at, `template ${org.template} has no class ${name}`)];
    }
    const faults: FieldError[] = [];
    if ((override.worth ?? 0) > (limits.worth ?? Infinity)) {
      faults.push(fault([...at, 'worth'], `template allows at most ${limits.worth ?? ''}`));
    }
    if ((override.maxInFlight ?? 0) > (limits.maxInFlight ?? Infinity)) {
      const most = limits.maxInFlight ?? '';
      faults.push(fault([...at, 'maxInFlight'], `template allows at most ${most}`));
    }
    return faults;
  });
}

function checkOrganisation(
  doc: ResolvedDocument,
  id: string,
  org: OrganisationSource,
): FieldError[] {
  const path = ['organisations', id];
  const template = entryOf(doc.templates, org.template);
  if (!template) return [fault([...path, 'template'], `unknown template ${org.template}`)];
  const faults = [
    ...checkReplicas(org, template, path),
    ...checkOverrides(org, template, path),
    ...checkServiceNames(org.services, [...path, 'services'], (service) =>
      template.services.includes(service)
        ? undefined
        : `template ${org.template} does not allow service ${service}`,
    ),
  ];
  if (org.share > (template.limits.share ?? Infinity)) {
    faults.push(
      fault([...path, 'share'], `template allows at most ${template.limits.share ?? ''}`),
    );
  }
  return faults;
}

function checkCallerKey(doc: ResolvedDocument, key: KeySource, path: PathPart[]): FieldError[] {
  if (key.organisation === undefined) {
    return [fault([...path, 'organisation'], 'a caller key needs an organisation')];
  }
  if (key.class === undefined) return [fault([...path, 'class'], 'a caller key needs a class')];
  const org = entryOf(doc.organisations, key.organisation);
  const template = org && entryOf(doc.templates, org.template);
  if (!template || entryOf(template.classes, key.class)) return [];
  return [fault([...path, 'class'], `organisation ${key.organisation} has no class ${key.class}`)];
}

function checkKey(doc: ResolvedDocument, key: KeySource, path: PathPart[]): FieldError[] {
  const faults: FieldError[] = [];
  if (key.organisation !== undefined && !entryOf(doc.organisations, key.organisation)) {
    faults.push(fault([...path, 'organisation'], `unknown organisation ${key.organisation}`));
  }
  if (key.role === 'caller') return [...faults, ...checkCallerKey(doc, key, path)];
  if (key.class === undefined) return faults;
  return [...faults, fault([...path, 'class'], 'an operator key has no class')];
}

function checkKeys(doc: ResolvedDocument): FieldError[] {
  const seen = new Map<string, number>();
  return doc.keys.flatMap((key, i) => {
    const first = seen.get(key.hash);
    seen.set(key.hash, first ?? i);
    const faults = checkKey(doc, key, ['keys', i]);
    if (first === undefined) return faults;
    return [...faults, fault(['keys', i, 'hash'], `the same key as keys[${first}]`)];
  });
}

function checkReferences(doc: ResolvedDocument): FieldError[] {
  return [
    ...checkModels(doc),
    ...checkTemplateServices(doc),
    ...Object.entries(doc.organisations).flatMap(([id, org]) => checkOrganisation(doc, id, org)),
    ...checkKeys(doc),
  ];
}

/** The document with defaults filled in, or everything that is wrong with it. */
export function checkDocument(json: unknown): Result<ResolvedDocument, readonly FieldError[]> {
  const parsed = documentSchema.safeParse(json);
  if (!parsed.success) return err(parsed.error.issues.flatMap(faultsOfIssue));
  const faults = checkReferences(parsed.data);
  return faults.length > 0 ? err(faults) : ok(parsed.data);
}

/** One line for an error message. */
export function formatFieldErrors(faults: readonly FieldError[]): string {
  return faults.map(({ path, message }) => `${path || '(document)'}: ${message}`).join('; ');
}

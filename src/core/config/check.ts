/** Validates a configuration document and reports every invalid field by its path. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { documentSchema } from './document';
import type { KeySource, OrganisationSource, ResolvedDocument, TemplateSource } from './document';

/** One invalid field of a document. */
export interface FieldError {
  /** For example `organisations.rennes.replicas.stock-query` or `keys[3].hash`. */
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

function fieldError(path: readonly PathPart[], message: string): FieldError {
  return { path: joinPath(path), message };
}

/** An own entry of an untrusted record, never a property of `Object.prototype`. */
function entryOf<T>(record: Readonly<Record<string, T>>, key: string): T | undefined {
  return Object.hasOwn(record, key) ? record[key] : undefined;
}

function errorsOfIssue(issue: SchemaIssue): FieldError[] {
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
  const errors: FieldError[] = [];
  for (const [templateName, template] of Object.entries(doc.templates)) {
    for (const model of Object.keys(template.models)) {
      const owner = owners.get(model);
      owners.set(model, owner ?? templateName);
      if (owner === undefined) continue;
      const path = ['templates', templateName, 'models', model];
      errors.push(fieldError(path, `model is already defined by template ${owner}`));
    }
  }
  return errors;
}

function checkServiceNames(
  names: readonly string[],
  path: readonly PathPart[],
  allowed: (service: string) => string | undefined,
): FieldError[] {
  const seen = new Set<string>();
  const errors: FieldError[] = [];
  names.forEach((service, i) => {
    const message = seen.has(service) ? `service ${service} is listed twice` : allowed(service);
    seen.add(service);
    if (message !== undefined) errors.push(fieldError([...path, i], message));
  });
  return errors;
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
  const max = template.limits.replicas ?? Infinity;
  return Object.entries(org.replicas).flatMap(([model, replicas]) => {
    const at = [...path, 'replicas', model];
    if (!entryOf(template.models, model)) {
      return [fieldError(at, `template ${org.template} has no model ${model}`)];
    }
    return replicas > max ? [fieldError(at, `template ${org.template} allows at most ${max}`)] : [];
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
      return [fieldError(at, `template ${org.template} has no class ${name}`)];
    }
    const errors: FieldError[] = [];
    if ((override.worth ?? 0) > (limits.worth ?? Infinity)) {
      errors.push(
        fieldError(
          [...at, 'worth'],
          `template ${org.template} allows at most ${limits.worth ?? ''}`,
        ),
      );
    }
    if ((override.maxInFlight ?? 0) > (limits.maxInFlight ?? Infinity)) {
      const max = limits.maxInFlight ?? '';
      errors.push(
        fieldError([...at, 'maxInFlight'], `template ${org.template} allows at most ${max}`),
      );
    }
    return errors;
  });
}

function checkOrganisation(
  doc: ResolvedDocument,
  id: string,
  org: OrganisationSource,
): FieldError[] {
  const path = ['organisations', id];
  const template = entryOf(doc.templates, org.template);
  if (!template) return [fieldError([...path, 'template'], `unknown template ${org.template}`)];
  const errors = [
    ...checkReplicas(org, template, path),
    ...checkOverrides(org, template, path),
    ...checkServiceNames(org.services, [...path, 'services'], (service) =>
      template.services.includes(service)
        ? undefined
        : `template ${org.template} does not allow service ${service}`,
    ),
  ];
  if (org.share > (template.limits.share ?? Infinity)) {
    errors.push(
      fieldError(
        [...path, 'share'],
        `template ${org.template} allows at most ${template.limits.share ?? ''}`,
      ),
    );
  }
  return errors;
}

function checkCallerKey(doc: ResolvedDocument, key: KeySource, path: PathPart[]): FieldError[] {
  if (key.organisation === undefined) {
    return [fieldError([...path, 'organisation'], 'a caller key needs an organisation')];
  }
  if (key.class === undefined)
    return [fieldError([...path, 'class'], 'a caller key needs a class')];
  const org = entryOf(doc.organisations, key.organisation);
  const template = org && entryOf(doc.templates, org.template);
  if (!template || entryOf(template.classes, key.class)) return [];
  return [
    fieldError([...path, 'class'], `organisation ${key.organisation} has no class ${key.class}`),
  ];
}

function checkKey(doc: ResolvedDocument, key: KeySource, path: PathPart[]): FieldError[] {
  const errors: FieldError[] = [];
  if (key.organisation !== undefined && !entryOf(doc.organisations, key.organisation)) {
    errors.push(fieldError([...path, 'organisation'], `unknown organisation ${key.organisation}`));
  }
  if (key.role === 'caller') return [...errors, ...checkCallerKey(doc, key, path)];
  if (key.class === undefined) return errors;
  return [...errors, fieldError([...path, 'class'], 'an operator key has no class')];
}

function checkKeys(doc: ResolvedDocument): FieldError[] {
  const seen = new Map<string, number>();
  return doc.keys.flatMap((key, i) => {
    const first = seen.get(key.hash);
    seen.set(key.hash, first ?? i);
    const errors = checkKey(doc, key, ['keys', i]);
    if (first === undefined) return errors;
    return [...errors, fieldError(['keys', i, 'hash'], `duplicate of keys[${first}]`)];
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

/** The document with defaults filled in, or all of its errors. */
export function checkDocument(json: unknown): Result<ResolvedDocument, readonly FieldError[]> {
  const parsed = documentSchema.safeParse(json);
  if (!parsed.success) return err(parsed.error.issues.flatMap(errorsOfIssue));
  const errors = checkReferences(parsed.data);
  return errors.length > 0 ? err(errors) : ok(parsed.data);
}

/** Joins the errors into one line for an error message. */
export function formatFieldErrors(errors: readonly FieldError[]): string {
  return errors.map(({ path, message }) => `${path || '(document)'}: ${message}`).join('; ');
}

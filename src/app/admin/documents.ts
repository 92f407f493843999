/** Routes that submit, amend and read the configuration. */

import { err, errAsync, ok, okAsync } from 'neverthrow';
import type { Result, ResultAsync } from 'neverthrow';

import { checkDocument, formatFieldErrors } from '../../core/config/check';
import { scopeDocument } from '../../core/config/scope';
import { brandAs } from '../../core/ids';
import type { ConfigVersion } from '../../core/ids';
import type { Json } from '../../core/json';
import { fail } from '../../utils/errors';
import type { StepError } from '../../utils/errors';
import { isRecord } from '../../utils/is';
import type { AcceptedConfig, ConfigChange } from '../parts';
import { requireOrganisation } from './auth';
import type { Operator } from './auth';
import type { AdminDeps } from './deps';
import { etagOf, readChangeId, readDocument, readIfMatch, readObject, toRefusal } from './exchange';
import type { RouteResponse, RouteResult, Refusal } from './exchange';
import { mergePatch } from './merge-patch';
import type { Route } from './route';

export type JsonRecord = Readonly<Record<string, Json>>;

/** Number of times that a change is retried after a conflict with another change. */
const MAX_CONFLICT_RETRIES = 5;

/** The value if it is an object, otherwise an empty one. */
export function asRecord(value: Json | undefined): JsonRecord {
  return isRecord(value) ? value : {};
}

/** The part of a document that the operator may see. */
function visibleDocument(operator: Operator, document: Json): Json {
  const { organisation } = operator;
  return organisation === undefined ? document : scopeDocument(document, organisation);
}

function validateDocument(document: Json): Result<Json, Refusal> {
  const checked = checkDocument(document);
  if (checked.isOk()) return ok(document);
  const fields = checked.error;
  const error = fail('bad-request', formatFieldErrors(fields), { step: 'check-config' });
  return err({ error, fields });
}

function acceptedResponse({ version }: AcceptedConfig, changeId: string): RouteResponse {
  return { status: 200, body: { version, changeId }, headers: etagOf(version) };
}

function submitLogged(deps: AdminDeps, change: ConfigChange): RouteResult {
  return deps.config
    .submit(change)
    .andTee(({ version }) => {
      deps.logger.info('configuration accepted', { step: 'config-submit', version });
    })
    .map((result) => acceptedResponse(result, change.changeId))
    .mapErr(toRefusal);
}

/** `PUT /admin/v1/config`. */
export const submitConfig: Route = ({ deps, req, operator, maxBodyBytes }) => {
  const parsed = readChangeId(req).andThen((changeId) =>
    readIfMatch(req).map((ifVersion) => ({ changeId, ifVersion })),
  );
  if (parsed.isErr()) return errAsync(parsed.error);
  const { changeId, ifVersion } = parsed.value;
  const { organisation } = operator;
  return readDocument(req, maxBodyBytes)
    .andThen((document) => (organisation === undefined ? validateDocument(document) : ok(document)))
    .andThen((document) =>
      submitLogged(deps, {
        changeId,
        document,
        ...(ifVersion === undefined ? {} : { ifVersion }),
        ...(organisation === undefined ? {} : { organisation }),
      }),
    );
};

function parseVersion(text: string | null): Result<ConfigVersion | undefined, StepError> {
  if (text === null) return ok(undefined);
  const version = Number(text);
  if (Number.isSafeInteger(version) && version > 0) return ok(brandAs<ConfigVersion>(version));
  return err(fail('bad-request', 'version must be an integer above 0', { step: 'config-read' }));
}

/** `GET /admin/v1/config`, with `?version=` for an earlier version. */
export const readConfig: Route = ({ deps, url, operator }) => {
  const version = parseVersion(url.searchParams.get('version'));
  if (version.isErr()) return errAsync(toRefusal(version.error));
  return deps.config
    .read(version.value)
    .map((found) => ({
      status: 200,
      body: { version: found.version, document: visibleDocument(operator, found.document) },
      headers: etagOf(found.version),
    }))
    .mapErr(toRefusal);
};

/** `GET /admin/v1/versions`. */
export const listVersions: Route = ({ deps }) =>
  deps.config
    .versions()
    .map((versions) => ({ status: 200, body: { versions } }))
    .mapErr(toRefusal);

/** A change computed from the newest document. */
export interface Amendment {
  readonly changeId: string;
  /** The change is refused unless this version is the newest. */
  readonly ifVersion?: ConfigVersion;
  /** Limits the change to this organisation's parameters. */
  readonly organisation?: string;
  /** Returns the changed document, or why it is refused. */
  readonly change: (document: JsonRecord) => Result<Json, Refusal>;
}

/**
 * Reads the newest document, changes it and submits it. Without `ifVersion`, retries when another
 * change was accepted in between.
 */
export function amend(deps: AdminDeps, amendment: Amendment, retries = 0): RouteResult {
  const { changeId, ifVersion, organisation, change } = amendment;
  const read: ResultAsync<AcceptedConfig, Refusal> = deps.config.read().mapErr(toRefusal);
  return read
    .andThen(({ version, document }) =>
      change(asRecord(document))
        .andThen(validateDocument)
        .map((changed) => ({ version, changed })),
    )
    .andThen(({ version, changed }) =>
      submitLogged(deps, {
        changeId,
        ifVersion: ifVersion ?? version,
        document: changed,
        ...(organisation === undefined ? {} : { organisation }),
      }),
    )
    .orElse((refusal): RouteResult => {
      const canRetry = refusal.error.code === 'conflict' && ifVersion === undefined;
      return canRetry && retries < MAX_CONFLICT_RETRIES
        ? amend(deps, amendment, retries + 1)
        : errAsync(refusal);
    });
}

function unknownOrganisation(id: string): Refusal {
  return toRefusal(
    fail('not-found', `organisation ${id} does not exist`, { step: 'config-amend' }),
  );
}

/** `PATCH /admin/v1/organisations/{id}`: a merge patch of one organisation's parameters. */
export const amendOrganisation: Route = ({ deps, req, operator, name, maxBodyBytes }) => {
  const parsed = requireOrganisation(operator, name)
    .mapErr(toRefusal)
    .andThen(() => readChangeId(req))
    .andThen((changeId) => readIfMatch(req).map((ifVersion) => ({ changeId, ifVersion })));
  if (parsed.isErr()) return errAsync(parsed.error);
  const { changeId, ifVersion } = parsed.value;
  return readObject(req, maxBodyBytes).andThen((patch) =>
    amend(deps, {
      changeId,
      organisation: name,
      ...(ifVersion === undefined ? {} : { ifVersion }),
      change: (document) => {
        const organisations = asRecord(document.organisations);
        if (!Object.hasOwn(organisations, name)) return err(unknownOrganisation(name));
        const own = mergePatch(organisations[name], patch);
        return ok({ ...document, organisations: { ...organisations, [name]: own } });
      },
    }),
  );
};

/** `GET /admin/v1/organisations/{id}`: its own parameters, without those of its template. */
export const readOrganisation: Route = ({ deps, operator, name }) => {
  const allowed = requireOrganisation(operator, name);
  if (allowed.isErr()) return errAsync(toRefusal(allowed.error));
  return deps.config
    .read()
    .mapErr(toRefusal)
    .andThen(({ version, document }): RouteResult => {
      const organisations = asRecord(asRecord(document).organisations);
      if (!Object.hasOwn(organisations, name)) return errAsync(unknownOrganisation(name));
      const body = { version, parameters: organisations[name] };
      return okAsync({ status: 200, body, headers: etagOf(version) });
    });
};

/** Routes that list, add and remove keys. Only hashes are sent; operators keep the keys. */

import { err, errAsync, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import type { Json } from '../../core/json';
import { fail } from '../../utils/errors';
import { requireOrganisation, requirePlatform } from './auth';
import type { Operator } from './auth';
import { amend, asRecord } from './documents';
import type { JsonRecord } from './documents';
import { readChangeId, readObject, toRefusal } from './exchange';
import type { Refusal } from './exchange';
import type { Route } from './route';

function keysOf(document: JsonRecord): readonly JsonRecord[] {
  const { keys } = document;
  return Array.isArray(keys) ? (keys as readonly Json[]).map(asRecord) : [];
}

/**
 * Errors: `forbidden` unless the key belongs to the operator's own organisation, or the operator is
 * one of the platform.
 */
function requireOwnKey(operator: Operator, { organisation }: JsonRecord): Result<void, Refusal> {
  const allowed =
    typeof organisation === 'string'
      ? requireOrganisation(operator, organisation)
      : requirePlatform(operator);
  return allowed.mapErr(toRefusal);
}

/** `GET /admin/v1/keys`: the hashes of keys and what each grants. */
export const listKeys: Route = ({ deps, operator }) =>
  deps.config
    .read()
    .map(({ version, document }) => {
      const keys = keysOf(asRecord(document)).filter((key) => requireOwnKey(operator, key).isOk());
      return { status: 200, body: { version, keys } };
    })
    .mapErr(toRefusal);

/** `POST /admin/v1/keys` `{hash, organisation?, role, class?}`. */
export const addKey: Route = ({ deps, req, operator, maxBodyBytes }) => {
  const changeId = readChangeId(req);
  if (changeId.isErr()) return errAsync(changeId.error);
  return readObject(req, maxBodyBytes)
    .andThen((key) => requireOwnKey(operator, key).map(() => key))
    .andThen((key) =>
      amend(deps, {
        changeId: changeId.value,
        change: (document) => ok({ ...document, keys: [...keysOf(document), key] }),
      }),
    );
};

/** `DELETE /admin/v1/keys/{hash}`. */
export const removeKey: Route = ({ deps, req, operator, name }) => {
  const changeId = readChangeId(req);
  if (changeId.isErr()) return errAsync(changeId.error);
  return amend(deps, {
    changeId: changeId.value,
    change: (document) => {
      const keys = keysOf(document);
      const found = keys.find(({ hash }) => hash === name);
      // Another organisation's key is reported as unknown, so that its existence isn't revealed.
      if (found === undefined || requireOwnKey(operator, found).isErr()) {
        return err(toRefusal(fail('not-found', 'unknown key hash', { step: 'config-amend' })));
      }
      return ok({ ...document, keys: keys.filter((key) => key !== found) });
    },
  });
};

/** Authenticates operators by the hash of their key, and checks what they may access. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import type { Config } from '../../core/config/types';
import type { OrganisationId } from '../../core/ids';
import { hashKey } from '../../utils/common';
import { fail } from '../../utils/errors';
import type { StepError } from '../../utils/errors';

/** The authenticated sender of an administration request. */
export interface Operator {
  /** Organisation that the operator is limited to; absent for an operator of the platform. */
  readonly organisation?: OrganisationId;
}

const BEARER = /^Bearer +(\S+) *$/i;
const STEP = 'admin-auth';

/**
 * Finds the operator by the bearer key of an `Authorization` header. Errors: `unauthorized` (missing
 * or unknown key), `forbidden` (a caller's key).
 */
export function authenticate(
  config: Config,
  bootstrapKeyHash: string | undefined,
  authorization: string | undefined,
): Result<Operator, StepError> {
  const key = BEARER.exec(authorization ?? '')?.[1];
  if (key === undefined)
    return err(fail('unauthorized', 'no bearer key in the authorization header', { step: STEP }));
  const hash = hashKey(key);
  if (hash === bootstrapKeyHash) return ok({});
  const grant = Object.hasOwn(config.keys, hash) ? config.keys[hash] : undefined;
  if (grant === undefined) return err(fail('unauthorized', 'unknown operator key', { step: STEP }));
  if (grant.role !== 'operator') {
    return err(fail('forbidden', 'the key is not an operator key', { step: STEP }));
  }
  return ok(grant.organisation === undefined ? {} : { organisation: grant.organisation });
}

/** Errors: `forbidden` unless the operator is one of the platform. */
export function requirePlatform({ organisation }: Operator): Result<void, StepError> {
  if (organisation === undefined) return ok();
  return err(fail('forbidden', 'only operators of the platform may do this', { step: STEP }));
}

/** Errors: `forbidden` unless the operator is one of this organisation or of the platform. */
export function requireOrganisation(operator: Operator, id: string): Result<void, StepError> {
  if (operator.organisation === undefined || operator.organisation === id) return ok();
  return err(fail('forbidden', 'the operator belongs to another organisation', { step: STEP }));
}

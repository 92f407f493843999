/** Who an operator is: found by the hash of the key. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import type { Config } from '../../core/config/types';
import type { OrganisationId } from '../../core/ids';
import { hashKey } from '../../utils/common';
import { fail } from '../../utils/errors';
import type { StepError } from '../../utils/errors';

/** The sender of an administration request. */
export interface Operator {
  /** Absent for an operator of the whole platform. */
  readonly organisation?: OrganisationId;
}

const BEARER = /^Bearer +(\S+) *$/i;
const STEP = 'admin-auth';

/** Errors: `unauthorized` (no known key), `forbidden` (a caller's key). */
export function authenticate(
  config: Config,
  bootstrapKeyHash: string | undefined,
  authorization: string | undefined,
): Result<Operator, StepError> {
  const key = BEARER.exec(authorization ?? '')?.[1];
  if (key === undefined) return err(fail('unauthorized', 'no operator key given', { step: STEP }));
  const hash = hashKey(key);
  if (hash === bootstrapKeyHash) return ok({});
  const grant = Object.hasOwn(config.keys, hash) ? config.keys[hash] : undefined;
  if (grant === undefined) return err(fail('unauthorized', 'no such key', { step: STEP }));
  if (grant.role !== 'operator') {
    return err(fail('forbidden', 'not a key of an operator', { step: STEP }));
  }
  return ok(grant.organisation === undefined ? {} : { organisation: grant.organisation });
}

/** Errors: `forbidden` unless the operator is one of the whole platform. */
export function requirePlatform({ organisation }: Operator): Result<void, StepError> {
  if (organisation === undefined) return ok();
  return err(fail('forbidden', 'only for operators of the platform', { step: STEP }));
}

/** Errors: `forbidden` unless the organisation is the operator's own, or any is. */
export function requireOrganisation(operator: Operator, id: string): Result<void, StepError> {
  if (operator.organisation === undefined || operator.organisation === id) return ok();
  return err(fail('forbidden', 'not the operator’s own organisation', { step: STEP }));
}

/** Recognises a request that is sent again: by what stays the same under a new request id. */

import { joinFingerprint } from '../../../core/gateway/refused-requests';
import { organisationNameOf } from '../../../core/gateway/routes';
import type { Fingerprint } from '../../../core/ids';
import { hashParts } from '../../../utils/common';
import type { Exchange } from '../exchange';

const OWNER_DIGITS = 6;
const REQUEST_DIGITS = 20;

const known = new WeakMap<Exchange, Fingerprint>();

/**
 * Hash of organisation, target and body. Headers are left out, as request id, deadline and last event
 * differ each time.
 */
export function fingerprintOf(exchange: Exchange): Fingerprint {
  const found = known.get(exchange);
  if (found !== undefined) return found;
  const { req, caller, body } = exchange;
  const { method = '', url = '', headers } = req;
  const organisation = organisationNameOf(caller) ?? '';
  const request = hashParts(organisation, method, headers.host ?? '', url, body);
  const owner = hashParts(organisation).slice(0, OWNER_DIGITS);
  const fingerprint = joinFingerprint(owner, request.slice(0, REQUEST_DIGITS));
  known.set(exchange, fingerprint);
  return fingerprint;
}

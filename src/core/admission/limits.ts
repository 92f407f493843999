/** Limits on requests in flight, including queued ones, by class and by organisation. */

import type { AdmissionRequest, AdmissionState, RefusalReason } from './types';

function classKey(req: AdmissionRequest): string {
  return `${req.organisation}\0${req.class.name}`;
}

/** The limit that one more request would exceed, if any. */
export function exceededLimit(
  state: AdmissionState,
  req: AdmissionRequest,
): RefusalReason | undefined {
  const ofClass = state.inFlight.get(classKey(req)) ?? 0;
  if (ofClass >= req.class.maxInFlight) return 'class-limit';
  const ofOrganisation = state.inFlight.get(req.organisation) ?? 0;
  if (ofOrganisation >= state.opts.organisationLimit) return 'organisation-limit';
  return undefined;
}

/** Counts a request in or out. */
export function countInFlight(state: AdmissionState, req: AdmissionRequest, by: 1 | -1): void {
  for (const key of [classKey(req), req.organisation]) {
    const count = (state.inFlight.get(key) ?? 0) + by;
    if (count > 0) state.inFlight.set(key, count);
    else state.inFlight.delete(key);
  }
}

/** Names of the rows of a lease. */

import type { DomainId } from '../ids';
import { FIRST_ERA } from '../store-era';
import type { StoreEra } from '../store-era';

export interface LeaseKeys {
  readonly lease: string;
  readonly fence: string;
}

/** Begins the names of all rows of a lease, of every era. */
export function leasePrefix(domain: DomainId): string {
  return `lease/${domain}`;
}

/**
 * Each era has rows of its own. Versions are given out again after a return, so that a write of a lost era that
 * arrives late may pass its conditions: it then touches rows that nobody reads any more.
 */
export function leaseKeys(domain: DomainId, era: StoreEra): LeaseKeys {
  const lease = era === FIRST_ERA ? leasePrefix(domain) : `${leasePrefix(domain)}@${era}`;
  return { lease, fence: `${lease}#fence` };
}

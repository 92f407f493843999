/** Keys of the rows of a lease. */

import type { DomainId } from '../ids';
import { FIRST_ERA } from '../store-era';
import type { StoreEra } from '../store-era';

/** The keys of the two rows of a lease. */
export interface LeaseKeys {
  readonly lease: string;
  readonly fence: string;
}

/** Prefix of the keys of all rows of a lease, in every era. */
export function leasePrefix(domain: DomainId): string {
  return `lease/${domain}`;
}

/**
 * The keys of a lease in one era; each era has its own rows. A restored store reuses versions, so
 * a late write of an earlier era may meet its conditions: it then affects only rows that are no
 * longer read.
 */
export function leaseKeys(domain: DomainId, era: StoreEra): LeaseKeys {
  const lease = era === FIRST_ERA ? leasePrefix(domain) : `${leasePrefix(domain)}@${era}`;
  return { lease, fence: `${lease}#fence` };
}

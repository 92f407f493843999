/** Small configuration documents for tests. */

import { createHash } from 'node:crypto';

function hashOf(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

export const HASHES = {
  caller: hashOf('caller-rennes'),
  ownOperator: hashOf('operator-rennes'),
  operator: hashOf('operator'),
};

export const DOCUMENT = {
  templates: {
    depot: {
      weights: { downtime: 10, stranded: 1 },
      models: { query: { membersPerReplica: 4, maxBatch: 8, policies: { replace: 'weighed' } } },
      classes: { pharmacist: { worth: 10, deadlineMs: 5000, maxInFlight: 8 } },
      services: ['ledger'],
      limits: { share: 10 },
    },
  },
  organisations: {
    rennes: {
      template: 'depot',
      share: 3,
      replicas: { query: 1.2 },
      classes: { pharmacist: { worth: 12 } },
      services: ['ledger'],
    },
    brest: { template: 'depot', replicas: { query: 0.8 } },
  },
  services: {
    ledger: { backends: ['127.0.0.1:7301'], repeatable: [{ method: 'GET', path: '/' }] },
    billing: { backends: ['[::1]:7302'], honoursIdempotencyKey: true },
  },
  keys: [
    { hash: HASHES.caller, organisation: 'rennes', role: 'caller', class: 'pharmacist' },
    { hash: HASHES.ownOperator, organisation: 'rennes', role: 'operator' },
    { hash: HASHES.operator, role: 'operator' },
  ],
};

/** {@link DOCUMENT} with another share for one organisation. */
export function documentWith(share: number): typeof DOCUMENT {
  const { organisations } = DOCUMENT;
  return {
    ...DOCUMENT,
    organisations: { ...organisations, brest: { ...organisations.brest, share } as never },
  };
}

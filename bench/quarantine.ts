/** Compares quarantine with none and with a simple counter: groups lost per bad request, innocent requests refused. */

import { runQuarantine } from './quarantine-loop';
import { round } from './statistics';
import type { QuarantinePolicy, QuarantineResult } from './quarantine-loop';

const POLICIES: readonly QuarantinePolicy[] = ['none', 'counter', 'quarantine'];
const SEEDS = Array.from({ length: 10 }, (_, i) => i + 1);

function sum(results: readonly QuarantineResult[], field: keyof QuarantineResult): number {
  return results.reduce((total, result) => total + result[field], 0);
}

/** One row per policy, over all seeds. */
export function benchQuarantine(): readonly object[] {
  return POLICIES.map((policy) => {
    const results = SEEDS.map((seed) => runQuarantine(policy, seed));
    const bad = sum(results, 'badRequests');
    const innocents = sum(results, 'innocents');
    return {
      policy,
      seeds: SEEDS.length,
      badRequests: bad,
      groupsLostPerBadRequest: round(sum(results, 'groupsLostToBad') / bad),
      innocents,
      innocentsRefused: sum(results, 'innocentsRefused'),
      innocentsRefusedPerMillion: round((sum(results, 'innocentsRefused') / innocents) * 1e6),
      innocentRunsTornPerBadRequest: round(sum(results, 'innocentsTorn') / bad),
    };
  });
}

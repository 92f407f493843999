/** A faulty server: spoils a share of its answers for a time, after it has run the requests. */

import { performance } from 'node:perf_hooks';

/**
 * Returns a `fault` for a server stand-in: from `startAt` on, for `forMs`, every `every`-th answer of
 * the faulty servers is spoiled by `spoil`, which gets the run and writes to its connection.
 */
export function createGarble({ isFaulty, startAt, forMs, every, spoil }) {
  const answers = new Map();
  let total = 0;
  let spoiled = 0;
  return {
    fault: (run) => {
      const now = performance.now();
      if (!isFaulty(run.server) || now < startAt() || now >= startAt() + forMs) return false;
      answers.set(run.server, (answers.get(run.server) ?? 0) + 1);
      total += 1;
      if (total % every !== Math.ceil(every / 2)) return false;
      spoiled += 1;
      spoil(run);
      return true;
    },
    spoiled: () => spoiled,
    answers: () => [...answers].map(([server, count]) => `${server}: ${count}`).join(', '),
  };
}

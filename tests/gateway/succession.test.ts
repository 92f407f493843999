import { describe, expect, it } from 'vitest';

import { rankSuccessors, leaseReadDelayMs } from '../../src/core/gateway/succession';
import { brandAs } from '../../src/core/ids';
import type { DaemonId } from '../../src/core/ids';

const daemon = (n: number): DaemonId => brandAs<DaemonId>(`d${n}`);

describe('the lease of the leader', () => {
  it('goes to one of the daemons with the most cores', () => {
    const cores = new Map(
      Array.from({ length: 195 }, (_, n) => [daemon(n), n % 13 === 0 ? 1.35 : 0.324] as const),
    );
    const first = rankSuccessors('groups', cores).slice(0, 15);
    expect(first.every((id) => cores.get(id) === 1.35)).toBe(true);
  });

  it('goes to the same daemon in whatever order the daemons are listed', () => {
    const pairs = Array.from({ length: 20 }, (_, n) => [daemon(n), 1] as const);
    const ranked = rankSuccessors('groups', new Map(pairs));
    expect(rankSuccessors('groups', new Map(pairs.toReversed()))).toEqual(ranked);
  });

  it('is read by few daemons at first while there is no leader, and by the others with increasing delay', () => {
    const readers = (afterMs: number): number =>
      Array.from({ length: 195 }, (_, rank) => leaseReadDelayMs(rank, 300)).filter(
        (delay) => delay <= afterMs,
      ).length;
    expect(readers(0)).toBeLessThanOrEqual(10);
    expect(readers(3_000)).toBeLessThanOrEqual(20);
    expect(readers(60_000)).toBe(195);
  });
});

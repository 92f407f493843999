import { describe, expect, it } from 'vitest';

import { createStrikeSharing } from '../../src/app/gateway/quarantine/strike-sharing';
import type { StrikeReport } from '../../src/app/gateway/quarantine/strike-sharing';
import { brandAs, later } from '../../src/core/ids';
import type { DomainId, EpochTime, Fingerprint, GroupId } from '../../src/core/ids';
import type { Strike } from '../../src/core/retry/quarantine-types';
import { at } from './support';

const INTERVAL_MS = 200;
const REPORT_MS = 3_000;
const STRIKES = 150;
const MAX_PARTS = 256;

function strikeOf(n: number, parts = 0): Strike {
  return {
    fingerprint: brandAs<Fingerprint>(`request${n}`),
    parts: Array.from({ length: parts }, (_, k) => brandAs<Fingerprint>(`part${n}/${k}`)),
    group: brandAs<GroupId>('group'),
    domain: brandAs<DomainId>('domain'),
    suspect: false,
    ageMs: 100,
    at: brandAs<EpochTime>(0),
    until: brandAs<EpochTime>(1_000_000),
  };
}

/** Adds the strikes at once, and collects the reports of the next two seconds. */
function reportsOf(
  strikes: readonly Strike[],
  isOwn: boolean,
  kind: 'report' | 'reportOfAll',
): readonly StrikeReport[] {
  let now = at(0);
  const sharing = createStrikeSharing(() => now);
  for (const strike of strikes) sharing.addStrike(strike, isOwn);
  return Array.from({ length: 10 }, () => {
    now = later(now, INTERVAL_MS);
    return sharing[kind](now);
  }).filter((report) => report !== undefined);
}

function requestsIn(reports: readonly StrikeReport[]): number {
  return new Set(reports.flatMap(({ strikes }) => strikes.map(([fingerprint]) => fingerprint)))
    .size;
}

function partsIn({ strikes }: StrikeReport): number {
  return strikes.reduce((sum, strike) => sum + (strike[7]?.length ?? 0), 0);
}

describe.each([
  { who: 'a daemon', isOwn: true, kind: 'report' as const },
  { who: 'a leader', isOwn: false, kind: 'reportOfAll' as const },
])('the strikes that $who reports', ({ isOwn, kind }) => {
  // Guards against strikes that nobody hears of, since many requests were lost at once.
  it('all get through, however many there are', () => {
    const strikes = Array.from({ length: STRIKES }, (_, n) => strikeOf(n, 2));
    expect(requestsIn(reportsOf(strikes, isOwn, kind))).toBe(STRIKES);
  });

  // Guards against a caller who names many parts in each prompt, and thereby fills the messages of all daemons.
  it('name a bounded number of parts in one report', () => {
    const strikes = Array.from({ length: 20 }, (_, n) => strikeOf(n, 32));
    const reports = reportsOf(strikes, isOwn, kind);
    expect(Math.max(...reports.map(partsIn))).toBeLessThanOrEqual(MAX_PARTS);
    expect(requestsIn(reports)).toBe(20);
  });
});

// Guards against a complete answer that peers never hear of, since it took longer than reports are repeated.
it('a complete answer is reported for seconds, however long ago it began', () => {
  let now = at(10_000);
  const sharing = createStrikeSharing(() => now);
  const part = brandAs<Fingerprint>('part-model/a');
  expect(sharing.addClear(part, at(2_000), true)).toBe(true);
  now = later(now, REPORT_MS - 1);
  expect(sharing.report(now)?.cleared).toEqual([[part, 8_000 + REPORT_MS - 1]]);
});

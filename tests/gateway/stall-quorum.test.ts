import { describe, expect, it } from 'vitest';

import { isStallConfirmed, noteStallReport, quorumOf } from '../../src/core/gateway/stall-quorum';
import type { StallReports } from '../../src/core/gateway/stall-quorum';
import { brandAs } from '../../src/core/ids';
import type { DaemonId, GroupId } from '../../src/core/ids';
import { at } from './support';

const GROUP = brandAs<GroupId>('g1');

/** A group with so many requests of other daemons, none of which is known to have had an event. */
const activityOf = (running: number) => ({ running, eventAt: undefined });

function reportsOf(...reports: readonly (readonly [daemon: string, ms: number])[]): StallReports {
  return reports.reduce<StallReports>(
    (reports, [daemon, ms]) => noteStallReport(reports, GROUP, brandAs<DaemonId>(daemon), at(ms)),
    new Map(),
  );
}

describe('a stall reported by one daemon', () => {
  it('is confirmed if nobody else has streams in the group', () => {
    expect(isStallConfirmed(reportsOf(['a', 0]), GROUP, activityOf(0), at(0))).toBe(true);
  });

  it('is not confirmed if peers have streams there and report nothing', () => {
    expect(isStallConfirmed(reportsOf(['a', 0]), GROUP, activityOf(5), at(100))).toBe(false);
  });

  it('is confirmed if the daemon reports it again after its streams were moved', () => {
    expect(isStallConfirmed(reportsOf(['a', 0], ['a', 400]), GROUP, activityOf(30), at(400))).toBe(
      false,
    );
    expect(
      isStallConfirmed(reportsOf(['a', 0], ['a', 1_600]), GROUP, activityOf(30), at(1_600)),
    ).toBe(true);
  });
});

describe('a stall of a group that recently sent an event to any daemon', () => {
  const three = reportsOf(['a', 0], ['b', 50], ['c', 100]);

  it('is not confirmed, however many streams wait there for their first event', () => {
    expect(isStallConfirmed(three, GROUP, { running: 30, eventAt: at(-100) }, at(200))).toBe(false);
  });

  it('is confirmed once its last event is old enough', () => {
    expect(isStallConfirmed(three, GROUP, { running: 30, eventAt: at(-300) }, at(200))).toBe(true);
  });
});

describe('a stall reported by several daemons', () => {
  it('is confirmed by a quorum that grows with the requests in the group', () => {
    expect([0, 1, 2, 11, 12].map(quorumOf)).toEqual([1, 1, 2, 2, 3]);
    const two = reportsOf(['a', 0], ['b', 200]);
    expect(isStallConfirmed(two, GROUP, activityOf(11), at(200))).toBe(true);
    expect(isStallConfirmed(two, GROUP, activityOf(30), at(200))).toBe(false);
  });

  it('is not confirmed if they reported it at different times', () => {
    expect(isStallConfirmed(reportsOf(['a', 0], ['b', 900]), GROUP, activityOf(5), at(900))).toBe(
      false,
    );
  });

  it('is kept apart from that of another group, and expires', () => {
    const other = noteStallReport(
      reportsOf(['a', 0]),
      brandAs<GroupId>('g2'),
      brandAs<DaemonId>('b'),
      at(10),
    );
    expect(isStallConfirmed(other, GROUP, activityOf(5), at(10))).toBe(false);
    const later = noteStallReport(other, brandAs<GroupId>('g2'), brandAs<DaemonId>('b'), at(9_000));
    expect([...later.keys()]).toEqual(['g2']);
  });
});

describe('eighty daemons with one or two streams in each of eighteen groups', () => {
  it('confirm no stall by single false reports, and a real one within 300 ms', () => {
    let reports: StallReports = new Map();
    let confirmed = 0;
    // One false report, by varying daemons on varying groups, every 150 ms for 30 s.
    for (let n = 0; n < 200; n++) {
      const group = brandAs<GroupId>(`g${(n * 7) % 18}`);
      const now = at(n * 150);
      reports = noteStallReport(reports, group, brandAs<DaemonId>(`d${(n * 31) % 80}`), now);
      if (isStallConfirmed(reports, group, activityOf(20), now)) confirmed += 1;
    }
    expect(confirmed).toBe(0);
    const since = 30_000;
    for (let n = 0; n < 15; n++) {
      const now = at(since + n * 20);
      reports = noteStallReport(reports, GROUP, brandAs<DaemonId>(`e${n}`), now);
    }
    expect(isStallConfirmed(reports, GROUP, activityOf(20), at(since + 300))).toBe(true);
  });
});

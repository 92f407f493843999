import { describe, expect, it } from 'vitest';

import { isStallConfirmed, noteStallReport, quorumOf } from '../../src/core/gateway/stall-quorum';
import type { StallReports } from '../../src/core/gateway/stall-quorum';
import { brandAs } from '../../src/core/ids';
import type { DaemonId, GroupId } from '../../src/core/ids';
import { at } from './support';

const GROUP = brandAs<GroupId>('g1');

/** Requests of others in the group, none of which is known to have had an event. */
const others = (running: number) => ({ running, eventAt: undefined });

function reportsOf(...reports: readonly (readonly [daemon: string, ms: number])[]): StallReports {
  return reports.reduce<StallReports>(
    (seen, [daemon, ms]) => noteStallReport(seen, GROUP, brandAs<DaemonId>(daemon), at(ms)),
    new Map(),
  );
}

describe('a group that one daemon saw stand still', () => {
  it('does so where nobody else has streams in it', () => {
    expect(isStallConfirmed(reportsOf(['a', 0]), GROUP, others(0), at(0))).toBe(true);
  });

  it('does not where others have, and say nothing', () => {
    expect(isStallConfirmed(reportsOf(['a', 0]), GROUP, others(5), at(100))).toBe(false);
  });

  it('does where the daemon finds it so again after its streams were moved', () => {
    expect(isStallConfirmed(reportsOf(['a', 0], ['a', 400]), GROUP, others(30), at(400))).toBe(
      false,
    );
    expect(isStallConfirmed(reportsOf(['a', 0], ['a', 1_600]), GROUP, others(30), at(1_600))).toBe(
      true,
    );
  });
});

describe('a group that gave an event to any daemon of late', () => {
  const three = reportsOf(['a', 0], ['b', 50], ['c', 100]);

  it('does not stand still, however many wait there for their first', () => {
    expect(isStallConfirmed(three, GROUP, { running: 30, eventAt: at(-100) }, at(200))).toBe(false);
  });

  it('does once its last event is as long ago as their silence', () => {
    expect(isStallConfirmed(three, GROUP, { running: 30, eventAt: at(-300) }, at(200))).toBe(true);
  });
});

describe('a group that several daemons saw stand still', () => {
  it('does so once they are enough for the requests in it', () => {
    expect([0, 1, 2, 11, 12].map(quorumOf)).toEqual([1, 1, 2, 2, 3]);
    const two = reportsOf(['a', 0], ['b', 200]);
    expect(isStallConfirmed(two, GROUP, others(11), at(200))).toBe(true);
    expect(isStallConfirmed(two, GROUP, others(30), at(200))).toBe(false);
  });

  it('does not where they saw it at different times', () => {
    expect(isStallConfirmed(reportsOf(['a', 0], ['b', 900]), GROUP, others(5), at(900))).toBe(
      false,
    );
  });

  it('is not mixed up with another one, and is forgotten in time', () => {
    const other = noteStallReport(
      reportsOf(['a', 0]),
      brandAs<GroupId>('g2'),
      brandAs<DaemonId>('b'),
      at(10),
    );
    expect(isStallConfirmed(other, GROUP, others(5), at(10))).toBe(false);
    const later = noteStallReport(other, brandAs<GroupId>('g2'), brandAs<DaemonId>('b'), at(9_000));
    expect([...later.keys()]).toEqual(['g2']);
  });
});

describe('eighty daemons with a stream or two in each of eighteen groups', () => {
  it('take no group for lost by single false reports, and one that is lost within 300 ms', () => {
    let witnesses: StallReports = new Map();
    let confirmed = 0;
    // A false report of some daemon on some group every 150 ms, for 30 s.
    for (let n = 0; n < 200; n++) {
      const group = brandAs<GroupId>(`g${(n * 7) % 18}`);
      const now = at(n * 150);
      witnesses = noteStallReport(witnesses, group, brandAs<DaemonId>(`d${(n * 31) % 80}`), now);
      if (isStallConfirmed(witnesses, group, others(20), now)) confirmed += 1;
    }
    expect(confirmed).toBe(0);
    const since = 30_000;
    for (let n = 0; n < 15; n++) {
      const now = at(since + n * 20);
      witnesses = noteStallReport(witnesses, GROUP, brandAs<DaemonId>(`e${n}`), now);
    }
    expect(isStallConfirmed(witnesses, GROUP, others(20), at(since + 300))).toBe(true);
  });
});

import { Subject } from 'rxjs';
import { describe, expect, it } from 'vitest';

import { createStallReporting } from '../../src/app/gateway/stall-reporting';
import type { StallReportingDeps } from '../../src/app/gateway/stall-reporting';
import { brandAs } from '../../src/core/ids';
import type { DaemonId, GroupId } from '../../src/core/ids';
import { instance, makeContext, HEALTHY_LINKS } from './support';

const STALL = { group: brandAs<GroupId>('g'), head: instance('h') };
const REPORTER = brandAs<DaemonId>('reporter');

/** Names of the calls that a finding causes at the planner. */
function callsFor(finding: 'unreachable' | 'confirmed'): readonly string[] {
  const calls: string[] = [];
  const reporting = createStallReporting({
    ctx: makeContext(),
    groupRegistry: {
      ...{ stalls: new Subject(), unreachable: new Subject() },
      ...{ suspect: () => true, evacuate: () => undefined },
    },
    fleet: { isLarge: () => false },
    planner: {
      lost: new Subject(),
      noteStalled: () => calls.push('noteStalled'),
      inspect: () => calls.push('inspect'),
    },
    leadership: { heldFencing: () => undefined },
    serverLinks: HEALTHY_LINKS,
  } as unknown as StallReportingDeps);
  reporting.receive(finding, STALL, REPORTER);
  return calls;
}

describe('a stall that a daemon sees', () => {
  // Guards against reports of all groups from a daemon that is cut off and has no peer left.
  it('is not reported while the head is blocked, also without a peer that forwards', async () => {
    const sent: string[] = [];
    const stalls = new Subject();
    createStallReporting({
      ctx: makeContext(),
      groupRegistry: {
        ...{ stalls, unreachable: new Subject(), find: () => ({ head: { address: 'h:1' } }) },
      },
      fleet: {
        ...{ isLarge: () => false, cutOff: () => new Set() },
        broadcast: ({ kind }: { kind: string }) => sent.push(kind),
      },
      planner: { lost: new Subject() },
      leadership: { heldFencing: () => undefined },
      serverLinks: { ...HEALTHY_LINKS, hasReceivedRecently: () => false, isBlocked: () => true },
    } as unknown as StallReportingDeps);
    stalls.next(STALL);
    await Promise.resolve();
    await Promise.resolve();
    expect(sent).toEqual([]);
  });
});

describe('a finding about a group', () => {
  // Guards against ending a group because one daemon has lost its own link to the head.
  it('does not count as a stall if a daemon could not reach the head', () => {
    expect(callsFor('unreachable')).toEqual(['inspect']);
  });

  it('counts as a stall once enough daemons saw its streams silent', () => {
    expect(callsFor('confirmed')).toEqual(['noteStalled', 'inspect']);
  });
});

/** Which requests get a strike when a group is lost, and where suspects may run. */

import { describe, expect, it } from 'vitest';

import type { AttemptId, EpochTime, Fingerprint, GroupId, MonoTime } from '../src/core/ids';
import { allowedGroups } from '../src/core/retry/isolate';
import {
  clearStrikes,
  createQuarantine,
  onGroupLost,
  onPeerStrike,
  onRunStart,
  onRunInterrupted,
  decideDueStrikes,
  suspicionOf,
} from '../src/core/retry/quarantine';
import type {
  QuarantineContext,
  QuarantineState,
  Strike,
} from '../src/core/retry/quarantine-types';
import { testGroup } from './support/requests-fixture';

const BAD = 'bad' as Fingerprint;
const OTHER = 'other' as Fingerprint;

const at = (ms: number): QuarantineContext => ({ now: ms as MonoTime, epoch: ms as EpochTime });

const group = (id: string) => testGroup(id, 'x', { domain: id.split('-')[0] as never });

/** Runs requests on a group that is then lost; returns the new strikes. */
function loseGroup(
  state: QuarantineState,
  id: string,
  fingerprints: readonly Fingerprint[],
  ms: number,
  ageMs = 50,
): readonly Strike[] {
  const { domain } = group(id);
  const attempts = fingerprints.map((fingerprint, i) => {
    const attempt = `${id}-${ms}-${i}` as AttemptId;
    const suspect = suspicionOf(state, fingerprint, at(ms)) === 'suspect';
    onRunStart(state, {
      attempt,
      fingerprint,
      group: id as GroupId,
      domain,
      suspect,
      startedAt: (ms - ageMs) as MonoTime,
    });
    return attempt;
  });
  const strikes = attempts.flatMap((attempt) => onRunInterrupted(state, attempt, at(ms)));
  const loss = { group: id as GroupId, domain, isDomainDown: false };
  return [...strikes, ...onGroupLost(state, loss, at(ms + 10))];
}

describe('quarantine', () => {
  it('refuses a request after the loss of two groups in different domains', () => {
    const state = createQuarantine();
    loseGroup(state, 'd1-a', [BAD], 0);
    expect(suspicionOf(state, BAD, at(100))).toBe('suspect');
    loseGroup(state, 'd2-a', [BAD], 500);
    expect(suspicionOf(state, BAD, at(600))).toBe('quarantined');
    expect(suspicionOf(state, OTHER, at(600))).toBe('clear');
  });

  it('gives no strike when groups of one domain are lost together', () => {
    const state = createQuarantine();
    loseGroup(state, 'd1-a', [BAD, OTHER], 0);
    loseGroup(state, 'd1-b', [BAD], 300);
    decideDueStrikes(state, at(5_000));
    expect(suspicionOf(state, BAD, at(9_000))).toBe('clear');
  });

  // Guards against a request that ends three groups within a second and counts as a victim of a wider fault.
  it('holds a request responsible for all groups that it lost at short intervals', () => {
    const state = createQuarantine();
    loseGroup(state, 'd1-a', [BAD, OTHER], 0);
    loseGroup(state, 'd2-a', [BAD], 250);
    loseGroup(state, 'd3-a', [BAD], 500);
    decideDueStrikes(state, at(5_000));
    expect(suspicionOf(state, BAD, at(5_000))).toBe('quarantined');
    expect(suspicionOf(state, OTHER, at(5_000))).toBe('clear');
  });

  // Guards against fatal requests that rule each other out, as each sees the groups that the others end.
  it('holds several requests responsible that end groups at the same time', () => {
    const state = createQuarantine();
    const others = ['other-bad', 'third-bad'] as Fingerprint[];
    loseGroup(state, 'd1-a', [BAD, OTHER], 0);
    others.forEach((fingerprint, i) => loseGroup(state, `d${i + 2}-a`, [fingerprint], 50));
    loseGroup(state, 'd4-a', [BAD], 250);
    others.forEach((fingerprint, i) => loseGroup(state, `d${i + 5}-a`, [fingerprint], 300));
    decideDueStrikes(state, at(5_000));
    for (const fingerprint of [BAD, ...others]) {
      expect(suspicionOf(state, fingerprint, at(5_000))).toBe('quarantined');
    }
    expect(suspicionOf(state, OTHER, at(5_000))).not.toBe('quarantined');
  });

  // Guards against a fatal request that is let off because many groups fail in the same second.
  it('holds a request responsible that lost two groups while others failed', () => {
    const state = createQuarantine();
    for (const id of ['d1-a', 'd2-a', 'd3-a']) loseGroup(state, id, [OTHER], 0, 500);
    loseGroup(state, 'd4-a', [BAD], 100);
    loseGroup(state, 'd5-a', [BAD], 300);
    decideDueStrikes(state, at(5_000));
    expect(suspicionOf(state, BAD, at(5_000))).toBe('quarantined');
    expect(suspicionOf(state, OTHER, at(5_000))).toBe('clear');
  });

  it('gives no strike to requests that ran beside a suspect', () => {
    const state = createQuarantine();
    loseGroup(state, 'd1-a', [BAD], 0);
    decideDueStrikes(state, at(2_000));
    loseGroup(state, 'd2-a', [BAD, OTHER], 10_000);
    decideDueStrikes(state, at(12_000));
    expect(suspicionOf(state, BAD, at(20_000))).toBe('quarantined');
    expect(suspicionOf(state, OTHER, at(20_000))).toBe('clear');
  });

  it('gives no strike for a broken connection alone, or for a loss long after it', () => {
    const state = createQuarantine();
    const run = {
      attempt: 'a' as AttemptId,
      fingerprint: BAD,
      suspect: false,
      startedAt: at(0).now,
    };
    onRunStart(state, { ...run, group: 'd1-a' as GroupId, domain: group('d1-a').domain });
    expect(onRunInterrupted(state, run.attempt, at(0))).toEqual([]);
    const loss = { group: 'd1-a' as GroupId, domain: group('d1-a').domain, isDomainDown: false };
    expect(onGroupLost(state, loss, at(60_000))).toEqual([]);
    expect(suspicionOf(state, BAD, at(60_000))).toBe('clear');
  });

  it('needs one more strike when the request had run for a different time at each loss', () => {
    const state = createQuarantine();
    loseGroup(state, 'd1-a', [OTHER], 10_000, 9_000);
    decideDueStrikes(state, at(12_000));
    loseGroup(state, 'd2-a', [OTHER], 20_000, 100);
    decideDueStrikes(state, at(22_000));
    expect(suspicionOf(state, OTHER, at(30_000))).toBe('suspect');
    loseGroup(state, 'd3-a', [OTHER], 40_000, 4_000);
    expect(suspicionOf(state, OTHER, at(40_100))).toBe('quarantined');
  });

  it('counts strikes of peers until they expire, and clears a request with a complete answer', () => {
    const state = createQuarantine({ retentionMs: 60_000 });
    const peers = createQuarantine({ retentionMs: 60_000 });
    for (const [id, ms] of [
      ['d1-a', 0],
      ['d2-a', 500],
    ] as const) {
      loseGroup(peers, id, [BAD], ms).forEach((strike) => {
        onPeerStrike(state, strike, at(ms + 100));
      });
    }
    expect(suspicionOf(state, BAD, at(700))).toBe('quarantined');
    decideDueStrikes(state, at(5_000));
    expect(suspicionOf(state, BAD, at(5_000))).toBe('quarantined');
    expect(suspicionOf(state, BAD, at(70_000))).toBe('clear');
    clearStrikes(state, BAD);
    expect(suspicionOf(state, BAD, at(5_000))).toBe('clear');
  });

  it('sends joint suspects to other domains, each to its own group', () => {
    const state = createQuarantine();
    const suspects = Array.from({ length: 4 }, (_, i) => `s${i}` as Fingerprint);
    loseGroup(state, 'd1-a', suspects, 0);
    const groups = ['d1-b', 'd2-a', 'd2-b', 'd3-a', 'd3-b'].map(group);
    const open = suspects.map((each) => allowedGroups(state, each, groups, at(100)));
    expect(open.every((each) => each.length === 1)).toBe(true);
    const ids = open.map((each) => each[0]?.id);
    expect(new Set(ids).size).toBe(4);
    expect(ids).not.toContain('d1-b');
  });
});

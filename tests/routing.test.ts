/** Routing: candidates, load estimates, prefix affinity and ejection of stragglers. */

import { describe, expect, test } from 'vitest';

import { brandAs } from '../src/core/ids';
import type { AttemptId, GroupId, MonoTime, OrganisationId } from '../src/core/ids';
import type { Random } from '../src/core/random';
import { affinityKey, hitProbability } from '../src/core/routing/cache';
import {
  chooseGroup,
  createRouting,
  onCacheEvents,
  onEnd,
  onFirstToken,
  onLoadReport,
  onSent,
} from '../src/core/routing/routing';
import type { RoutingState } from '../src/core/routing/types';
import { at, routableGroup, seeded } from './fuzz/admission-fixtures';

const ORGANISATION = brandAs<OrganisationId>('a');
const GROUPS = ['g1', 'g2', 'g3', 'g4'].map((id) => routableGroup(id));

interface ChooseOptions {
  readonly groups?: typeof GROUPS;
  readonly exclude?: readonly string[];
  readonly keys?: readonly string[];
  readonly organisation?: string;
  readonly now?: number;
  readonly random?: Random;
}

function choose(state: RoutingState, opts: ChooseOptions = {}): string | undefined {
  const req = {
    groups: opts.groups ?? GROUPS,
    exclude: new Set((opts.exclude ?? []).map((id) => brandAs<GroupId>(id))),
    prefixKeys: opts.keys ?? [],
    organisation: brandAs<OrganisationId>(opts.organisation ?? ORGANISATION),
  };
  return chooseGroup(state, req, at(opts.now ?? 0, opts.random)).group?.id;
}

function send(state: RoutingState, attempt: string, group: string, now = 0, streams = true): void {
  const ids = { attempt: brandAs<AttemptId>(attempt), group: brandAs<GroupId>(group) };
  onSent(state, { ...ids, streams }, at(now));
}

function answer(state: RoutingState, attempt: string, now: number): void {
  const event = { attempt: brandAs<AttemptId>(attempt) };
  onFirstToken(state, event, at(now));
  onEnd(state, event, at(now));
}

/** Share of `n` choices that each group gets. */
function choiceShares(state: RoutingState, opts: ChooseOptions, n = 1_000): Map<string, number> {
  const random = seeded(7);
  const counts = new Map<string, number>();
  for (let i = 0; i < n; i++) {
    const id = choose(state, { ...opts, random }) ?? 'none';
    counts.set(id, (counts.get(id) ?? 0) + 1 / n);
  }
  return counts;
}

describe('candidates', () => {
  test('excludes groups that were tried or are no longer routable', () => {
    const state = createRouting();
    const stale = routableGroup('g2', { routableUntil: brandAs<MonoTime>(5) });
    const groups = [routableGroup('g1'), stale];
    expect(choose(state, { groups, exclude: ['g1'], now: 4 })).toBe('g2');
    expect(choose(state, { groups, exclude: ['g1'], now: 5 })).toBeUndefined();
  });

  test.each(['round-robin', 'random', 'least-in-flight', 'two-choices', 'affinity'] as const)(
    '%s chooses the only candidate left',
    (policy) => {
      const state = createRouting({ policy });
      const exclude = ['g1', 'g2', 'g3'];
      expect(choose(state, { exclude, keys: ['k'] })).toBe('g4');
    },
  );
});

describe('load', () => {
  test('two-choices never takes the more loaded of the two groups', () => {
    const state = createRouting({ policy: 'two-choices' });
    choose(state);
    for (let i = 0; i < 4; i++) send(state, `x${i}`, 'g1');
    expect(choiceShares(state, {}).get('g1') ?? 0).toBe(0);
  });

  test('a report adds the requests of other daemons and does not count own ones twice', () => {
    const state = createRouting({ policy: 'two-choices', reportLagMs: 100 });
    choose(state);
    for (let i = 0; i < 4; i++) send(state, `x${i}`, 'g1', 0);
    onLoadReport(state, { group: brandAs<GroupId>('g1'), inFlight: 6, queued: 1 }, at(200));
    const load = state.groups.get(brandAs<GroupId>('g1'))?.load;
    expect(load).toMatchObject({ inFlight: 4, peerLoad: 3 });
  });

  test('a report older than own sends does not hide them', () => {
    const state = createRouting({ reportLagMs: 100 });
    choose(state);
    onLoadReport(state, { group: brandAs<GroupId>('g1'), inFlight: 0, queued: 0 }, at(10));
    for (let i = 0; i < 4; i++) send(state, `x${i}`, 'g1', 50);
    onLoadReport(state, { group: brandAs<GroupId>('g1'), inFlight: 2, queued: 0 }, at(60));
    const load = state.groups.get(brandAs<GroupId>('g1'))?.load;
    expect(load).toMatchObject({ inFlight: 4, peerLoad: 2 });
  });

  test('an attempt that ends twice is subtracted once', () => {
    const state = createRouting();
    choose(state);
    send(state, 'x', 'g1');
    send(state, 'y', 'g1');
    answer(state, 'x', 5);
    answer(state, 'x', 6);
    expect(state.groups.get(brandAs<GroupId>('g1'))?.load.inFlight).toBe(1);
  });
});

describe('affinity', () => {
  test('requests with the same prefix go to at most two groups', () => {
    const state = createRouting();
    expect(choiceShares(state, { keys: ['k'] }).size).toBeLessThanOrEqual(2);
  });

  test('the same prefix of another organisation has its own affinity', () => {
    const state = createRouting();
    const homes = Array.from({ length: 20 }, (_, i) =>
      [...choiceShares(state, { keys: ['k'], organisation: `o${i}` }, 50).keys()].toSorted().join(),
    );
    expect(new Set(homes).size).toBeGreaterThan(1);
  });

  test('a group beyond the load bound is skipped', () => {
    const state = createRouting({ loadBound: 1.25 });
    const [home = ''] = choiceShares(state, { keys: ['k'] }).keys();
    for (let i = 0; i < 8; i++) send(state, `x${i}`, home);
    expect(choiceShares(state, { keys: ['k'] }).get(home) ?? 0).toBe(0);
  });

  test('cache events decide between equally loaded groups, and an eviction reverts that', () => {
    const state = createRouting();
    const [one = '', other = ''] = [...choiceShares(state, { keys: ['k'] }).keys()];
    const prefix = affinityKey(ORGANISATION, 'k');
    const stored = { seq: 1, kind: 'stored', prefix } as const;
    onCacheEvents(state, { group: brandAs<GroupId>(one), events: [stored] }, at(0));
    expect(choiceShares(state, { keys: ['k'] }).get(one)).toBeCloseTo(1);
    const evicted = { seq: 2, kind: 'evicted', prefix } as const;
    onCacheEvents(state, { group: brandAs<GroupId>(one), events: [evicted] }, at(0));
    expect(choiceShares(state, { keys: ['k'] }).get(other)).toBeGreaterThan(0.3);
  });

  test('a gap in the events halves the hit probability', () => {
    const state = createRouting();
    choose(state);
    const prefix = affinityKey(ORGANISATION, 'k');
    const group = brandAs<GroupId>('g1');
    onCacheEvents(state, { group, events: [{ seq: 1, kind: 'stored', prefix }] }, at(0));
    const current = () => {
      const known = state.groups.get(group);
      return known === undefined ? 0 : hitProbability(state, prefix, known, brandAs<MonoTime>(0));
    };
    const before = current();
    onCacheEvents(state, { group, events: [{ seq: 2, kind: 'stored', prefix: 'p' }] }, at(0));
    expect(current()).toBe(before);
    onCacheEvents(state, { group, events: [{ seq: 4, kind: 'stored', prefix: 'q' }] }, at(0));
    expect(current()).toBeCloseTo(before / 2);
  });
});

describe('stragglers', () => {
  const OPTIONS = { policy: 'two-choices', firstTokenGapMs: 500 } as const;

  /** One answer from each group; those of `slow` groups take ten times as long. */
  function round(state: RoutingState, slow: readonly string[], start: number): void {
    for (const { id } of GROUPS) send(state, `${id}-${start}`, id, start);
    for (const { id } of GROUPS) {
      answer(state, `${id}-${start}`, start + (slow.includes(id) ? 1_000 : 100));
    }
    choose(state, { now: start + 1_000 });
  }

  function afterRounds(slow: readonly string[]): RoutingState {
    const state = createRouting(OPTIONS);
    choose(state);
    for (let i = 0; i < 10; i++) round(state, slow, i * 1_000);
    return state;
  }

  function ejected(state: RoutingState): string[] {
    return [...state.groups.values()].filter((g) => g.ejectedUntil !== undefined).map((g) => g.id);
  }

  test('a straggler is ejected, gradually readmitted and then back at its full share', () => {
    const state = afterRounds(['g2']);
    expect(ejected(state)).toEqual(['g2']);
    const until = state.groups.get(brandAs<GroupId>('g2'))?.ejectedUntil ?? 0;
    const shareAt = (now: number) => choiceShares(state, { now }).get('g2') ?? 0;
    expect(shareAt(until - 1)).toBe(0);
    const early = shareAt(until + 1);
    expect(early).toBeGreaterThan(0);
    expect(early).toBeLessThan(0.1);
    expect(shareAt(until + 60_000)).toBeGreaterThan(0.2);
    expect(ejected(state)).toEqual([]);
  });

  test('a group that is slower, but no outlier, counts as more loaded than it is', () => {
    const state = createRouting(OPTIONS);
    choose(state);
    for (let i = 0; i < 5; i++) {
      for (const { id } of GROUPS) {
        const attempt = brandAs<AttemptId>(`${id}-${i}`);
        send(state, attempt, id, i * 1_000);
        onFirstToken(state, { attempt }, at(i * 1_000 + 10));
        const endsAt = i * 1_000 + 10 + (id === 'g2' ? 360 : 200);
        onEnd(state, { attempt, tokens: 21 }, at(endsAt));
      }
      choose(state, { now: i * 1_000 + 900 });
    }
    expect(ejected(state)).toEqual([]);
    expect(choiceShares(state, { now: 5_000 }).get('g2') ?? 0).toBe(0);
  });

  test('at most the allowed share of groups is ejected, however many are slow', () => {
    expect(ejected(afterRounds(['g3', 'g4']))).toHaveLength(1);
  });

  test('ejected groups count towards the allowed share even when they are not offered', () => {
    const state = afterRounds(['g2']);
    const offered = GROUPS.filter(({ id }) => id !== 'g2');
    for (let i = 0; i < 10; i++) {
      const start = 10_000 + i * 500;
      for (const { id } of offered) send(state, `${id}-${start}`, id, start);
      for (const { id } of offered) {
        answer(state, `${id}-${start}`, start + (id === 'g3' ? 2_000 : 100));
      }
      choose(state, { groups: offered, now: start + 400 });
    }
    expect(ejected(state)).toEqual(['g2']);
  });

  test('an ejected group is used when no other is left', () => {
    const state = afterRounds(['g2']);
    expect(choose(state, { exclude: ['g1', 'g3', 'g4'], now: 9_500 })).toBe('g2');
  });

  test('a slow answer that is not streamed does not count as a late first token', () => {
    const state = createRouting(OPTIONS);
    choose(state);
    for (let i = 0; i < 10; i++) round(state, [], i * 1_000);
    for (let i = 0; i < 20; i++) {
      const start = 10_000 + i * 3_000;
      send(state, `whole-${i}`, 'g3', start, false);
      choose(state, { now: start + 2_500 });
      answer(state, `whole-${i}`, start + 2_900);
    }
    expect(ejected(state)).toEqual([]);
  });

  test('a group that answers nothing is detected by the wait of its oldest request', () => {
    const state = createRouting(OPTIONS);
    choose(state);
    for (let i = 0; i < 10; i++) round(state, [], i * 1_000);
    send(state, 'hangs', 'g3', 10_000);
    choose(state, { now: 12_000 });
    expect(ejected(state)).toEqual(['g3']);
  });
});

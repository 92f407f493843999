import { describe, expect, it } from 'vitest';

import {
  findSilent,
  judgeLook,
  mayFindSilent,
  noteLook,
} from '../../src/core/gateway/loss-evidence';
import type { Answer, Look, ReferenceAnswer, Silences } from '../../src/core/gateway/loss-evidence';
import { at, instance } from './support';

const answered = (ms: number): Answer => ({ kind: 'answered', ms });
const SILENT: Answer = { kind: 'silent', ms: 300 };
const far = (answer: Answer): ReferenceAnswer => ({ ...answer, isFar: true });
const near = (answer: Answer): ReferenceAnswer => ({ ...answer, isFar: false });

function lookOf(
  members: readonly Answer[],
  references: readonly ReferenceAnswer[],
  ranMs = 250,
): Look {
  const byId = members.map((answer, n) => [instance(`s${n}`), answer] as const);
  return { members: new Map(byId), references, ranMs, minMs: 250 };
}

const three = (answer: Answer) => [answer, answer, answer];
const HEALTHY = three(answered(1)).flatMap((answer) => [far(answer), near(answer)]);
const ONE_SILENT = [answered(1), answered(1), answered(1), SILENT];

describe('a look', () => {
  it.each([
    ['all members answer', [answered(1), answered(400)], HEALTHY, 1, 'answered'],
    ['one is silent among others that answer', ONE_SILENT, HEALTHY, 250, 'silent'],
    ['too little time has passed', ONE_SILENT, HEALTHY, 249, 'open'],
    ['answers of others take long', [...ONE_SILENT, answered(501)], HEALTHY, 600, 'inconclusive'],
    ['the slowest takes a while', [...ONE_SILENT, answered(100)], HEALTHY, 399, 'open'],
    ['the slowest took a while before', [...ONE_SILENT, answered(100)], HEALTHY, 400, 'silent'],
    ['one elsewhere pauses', ONE_SILENT, [far(answered(300)), ...HEALTHY.slice(1)], 250, 'silent'],
    [
      'half of those elsewhere pause',
      ONE_SILENT,
      [...three(answered(300)).map(far), ...three(answered(1)).map(near)],
      250,
      'silent',
    ],
    [
      'most elsewhere take long',
      ONE_SILENT,
      [...three(answered(300)).map(far), near(answered(300)), ...three(answered(1)).map(near)],
      999,
      'open',
    ],
    [
      'a group is silent and two elsewhere pause',
      [SILENT, SILENT],
      [far(answered(300)), near(answered(300)), ...HEALTHY.slice(2)],
      999,
      'open',
    ],
    ['nothing answers', [SILENT], three(SILENT).map(far), 999, 'open'],
    ['nothing answers for a second', [SILENT], three(SILENT).map(far), 1_000, 'inconclusive'],
    ['nothing else is there', [SILENT, SILENT], [], 1_000, 'inconclusive'],
  ] as const)('while %s is judged as it should', (_, members, references, ranMs, result) => {
    expect(judgeLook(lookOf(members, references, ranMs))).toBe(result);
  });

  // Guards against a loss that is hidden by a zone that is dark or cut off, and against one found on a bad link.
  it.each([
    ['one of six elsewhere', [far(SILENT), ...HEALTHY.slice(1)], 'silent'],
    [
      'half of those elsewhere',
      [far(SILENT), near(SILENT), ...HEALTHY.slice(3), near(SILENT)],
      'silent',
    ],
    [
      'four of six elsewhere',
      [far(SILENT), far(SILENT), near(SILENT), near(SILENT), ...HEALTHY.slice(4)],
      'inconclusive',
    ],
    ['all in the zone', [...three(SILENT).map(near), ...three(answered(1)).map(far)], 'silent'],
    ['all in other zones', [...three(SILENT).map(far), ...three(answered(1)).map(near)], 'silent'],
    ['all elsewhere', three(SILENT).flatMap((a) => [near(a), far(a)]), 'inconclusive'],
  ] as const)('in which a member and %s are silent', (_, references, result) => {
    expect(judgeLook(lookOf(ONE_SILENT, references, 1_000))).toBe(result);
  });
});

describe('a look at a silent group', () => {
  // Guards against the end of sound groups: none of its members shows that the link to them is sound.
  it.each([
    ['one of six elsewhere is silent', [far(SILENT), ...HEALTHY.slice(1)], 'silent'],
    ['two of six elsewhere are', [far(SILENT), near(SILENT), ...HEALTHY.slice(2)], 'inconclusive'],
  ] as const)('in which %s is judged as it should', (_, references, result) => {
    expect(judgeLook(lookOf([SILENT, SILENT, SILENT], references, 1_000))).toBe(result);
  });
});

describe('silent members', () => {
  const after = (looks: readonly Look[]): readonly string[] => {
    let silences: Silences = new Map();
    for (const look of looks) silences = noteLook(silences, look, judgeLook(look));
    const last = looks.at(-1);
    return last ? findSilent(silences, last) : [];
  };
  const one = lookOf(ONE_SILENT, HEALTHY);
  const all = lookOf(three(SILENT), HEALTHY, 500);
  const none = lookOf(three(answered(1)), HEALTHY);
  const unclear = lookOf(ONE_SILENT, three(SILENT).map(far), 1_000);

  it('are lost after two looks if few, after two seconds if all', () => {
    expect([after([one]), after([one, one])]).toEqual([[], ['s3']]);
    expect([after([all, all, all]), after([all, all, all, all])]).toEqual([[], ['s0', 's1', 's2']]);
  });

  it('are not lost by looks that found nothing, or before an answer', () => {
    expect(after([unclear, unclear, unclear])).toEqual([]);
    expect(after([one, unclear, one])).toEqual(['s3']);
    const allAnswer = lookOf(
      ONE_SILENT.map(() => answered(1)),
      HEALTHY,
    );
    expect(after([one, allAnswer, one])).toEqual([]);
    expect(after([all, all, all, none, all])).toEqual([]);
  });

  // Guards against members that are taken for lost because one of the group came back before them.
  it('of a silent group are not lost once the first of it answers', () => {
    const first = lookOf([answered(1), SILENT, SILENT, SILENT], HEALTHY, 300);
    const silent = lookOf([SILENT, SILENT, SILENT, SILENT], HEALTHY, 500);
    expect(after([silent, silent, first])).toEqual([]);
  });
});

describe('groups found lost by silence', () => {
  // Guards against an observer that ends group after group for a fault of its own.
  it('are two a second, unless all servers asked elsewhere answered', () => {
    const doubtful = lookOf(ONE_SILENT, [far(SILENT), ...HEALTHY.slice(1)]);
    const alone = lookOf(ONE_SILENT, []);
    const recent = [at(100), at(200)];
    for (const look of [doubtful, alone]) {
      expect(mayFindSilent(recent.slice(1), look, at(900))).toBe(true);
      expect(mayFindSilent(recent, look, at(900))).toBe(false);
      expect(mayFindSilent(recent, look, at(1_100))).toBe(true);
    }
    expect(mayFindSilent(recent, lookOf(ONE_SILENT, HEALTHY), at(900))).toBe(true);
  });
});

import { describe, expect, it } from 'vitest';

import { dialect } from '../../platform/ingress';
import { HEADERS } from '../../platform/names';
import { createRateLimits } from '../../src/app/gateway/rate-limits';
import {
  pruneLimits,
  noteAnswer,
  mergeLimitUpdates,
  listLimitUpdates,
} from '../../src/core/gateway/limits/known';
import type { KnownLimits, LimitUpdate } from '../../src/core/gateway/limits/known';
import {
  countSenders,
  listUnresponsive,
  sendersOf,
  shareOf,
} from '../../src/core/gateway/limits/share';
import { brandAs } from '../../src/core/ids';
import type { DaemonId, EpochTime } from '../../src/core/ids';
import { at, instance, makeContext } from './support';

const SERVER = instance('s1');
const NONE: KnownLimits = new Map();

function knownLimit(perSecond: number, ms: number): KnownLimits {
  return noteAnswer(NONE, SERVER, { perSecond, sentAt: at(ms - 10) }, at(ms));
}

function daemonIds(count: number): DaemonId[] {
  return Array.from({ length: count }, (_, n) => brandAs<DaemonId>(`d${n}`));
}

describe('known limits', () => {
  it('hold until an answer to a later request names none', () => {
    const known = knownLimit(2, 100);
    const early = noteAnswer(known, SERVER, { sentAt: at(90) }, at(2_000));
    expect(early.get(SERVER)?.perSecond).toBe(2);
    const later = noteAnswer(known, SERVER, { sentAt: at(1_900) }, at(2_000));
    expect(later.get(SERVER)?.perSecond).toBeUndefined();
  });

  it('hold throughout if only some answers name them', () => {
    const known = noteAnswer(knownLimit(2, 100), SERVER, { sentAt: at(120) }, at(200));
    expect(known.get(SERVER)?.perSecond).toBe(2);
  });

  it("rise by a peer's report only if its request was sent after the lower limit was received", () => {
    const known = knownLimit(2, 1_000);
    const limitBy = (perSecond: number | null, sentAgeMs: number, receivedAgeMs: number) =>
      mergeLimitUpdates(known, [[SERVER, perSecond, sentAgeMs, receivedAgeMs]], at(1_200)).get(
        SERVER,
      )?.perSecond;
    expect(limitBy(5, 300, 100)).toBe(2);
    expect(limitBy(5, 150, 100)).toBe(5);
    expect(limitBy(null, 300, 0)).toBe(2);
    expect(limitBy(null, 150, 0)).toBeUndefined();
  });

  it('fall at once unless the report is certainly older', () => {
    const known = knownLimit(2, 1_000);
    expect(
      mergeLimitUpdates(known, [[SERVER, 1, 700, 100]], at(1_200)).get(SERVER)?.perSecond,
    ).toBe(1);
    expect(
      mergeLimitUpdates(known, [[SERVER, 1, 700, 600]], at(1_200)).get(SERVER)?.perSecond,
    ).toBe(2);
  });

  // Guards against a process that, after a suspension, reads an old answer, treats it as the latest
  // and publishes it.
  it('do not rise by an answer that was read long after it arrived', () => {
    const low = knownLimit(1, 3_000);
    const asleep = noteAnswer(
      knownLimit(60, 1_000),
      SERVER,
      { perSecond: 60, sentAt: at(1_900) },
      at(5_000),
    );
    expect(
      mergeLimitUpdates(low, listLimitUpdates(asleep, at(5_000)), at(5_000)).get(SERVER)?.perSecond,
    ).toBe(1);
    expect(
      mergeLimitUpdates(asleep, listLimitUpdates(low, at(5_000)), at(5_000)).get(SERVER)?.perSecond,
    ).toBe(1);
  });

  it('are sent to peers if servers named them here; those from peers only when collected for all', () => {
    const known = mergeLimitUpdates(NONE, [[SERVER, 5, 100, 50]], at(1_000));
    expect(listLimitUpdates(known, at(1_100))).toEqual([]);
    expect(listLimitUpdates(known, at(1_100), { ofAll: true })).toEqual([[SERVER, 5, 200, 150]]);
    expect(listLimitUpdates(knownLimit(2, 1_000), at(1_100))).toEqual([[SERVER, 2, 110, 100]]);
  });

  it('are dropped for removed servers and kept for others however old they are', () => {
    const known = knownLimit(2, 0);
    expect(pruneLimits(known, () => false, at(60_000)).size).toBe(1);
    expect(pruneLimits(known, () => true, at(60_000)).size).toBe(0);
  });
});

describe('the share of a limit', () => {
  it.each([1, 7, 70, 195, 670])('of all daemons together is the limit (%i daemons)', (count) => {
    const daemons = daemonIds(count);
    for (const limitPerS of [0.5, 1.6, 5, 40]) {
      const shares = daemons.map((self) => shareOf({ server: SERVER, limitPerS, self, daemons }));
      const perSecond = shares.reduce((sum, share) => sum + share.perSecond, 0);
      const senders = shares.filter((share) => share.perSecond > 0).length;
      expect(perSecond).toBeCloseTo(limitPerS);
      expect(senders).toBe(countSenders(limitPerS, count));
    }
  });

  it('of a server that accepts nothing still allows occasional probe requests', () => {
    const [self = brandAs<DaemonId>('d0')] = daemonIds(1);
    const { perSecond } = shareOf({ server: SERVER, limitPerS: 0, self, daemons: [self] });
    expect(perSecond).toBeGreaterThan(0);
    expect(perSecond).toBeLessThanOrEqual(0.2);
  });

  it('excludes unresponsive daemons only if a majority responds', () => {
    const daemons = daemonIds(7);
    expect(listUnresponsive(daemons, new Set(daemons.slice(0, 4)))).toEqual(daemons.slice(4));
    expect(listUnresponsive(daemons, new Set(daemons.slice(0, 3)))).toEqual([]);
  });
});

describe('the tokens of a daemon', () => {
  function setUp(daemons: () => readonly DaemonId[] = () => [brandAs<DaemonId>('d0')]) {
    let ms = 0;
    const clock = { now: () => at(ms), epoch: () => brandAs<EpochTime>(ms) };
    const ctx = makeContext({ clock, settings: { id: brandAs<DaemonId>('d0') } });
    const rateLimits = createRateLimits(ctx, {
      daemons,
      isRemoved: () => false,
      publish: () => undefined,
    });
    return { limits: rateLimits, wait: (more: number) => (ms += more) };
  }

  it('are unlimited until a server names a limit, and again once it names none', () => {
    const { limits: rateLimits, wait } = setUp();
    expect(rateLimits.tokens(SERVER)).toBe(Infinity);
    rateLimits.noteAnswer(SERVER, { perSecond: 2, sentAt: at(0) });
    expect(rateLimits.tokens(SERVER)).toBe(0);
    expect(rateLimits.msUntilToken(SERVER)).toBe(500);
    wait(500);
    expect(rateLimits.tokens(SERVER)).toBe(1);
    rateLimits.takeToken(SERVER);
    expect(rateLimits.tokens(SERVER)).toBe(0);
    wait(1_000);
    rateLimits.noteAnswer(SERVER, { sentAt: at(1_200) });
    expect(rateLimits.tokens(SERVER)).toBe(Infinity);
  });

  it('wake waiting requests once each', () => {
    const { limits: rateLimits, wait } = setUp();
    rateLimits.noteAnswer(SERVER, { perSecond: 2, sentAt: at(0) });
    expect(rateLimits.tick()).toBe(false);
    wait(600);
    expect(rateLimits.tick()).toBe(true);
    expect(rateLimits.tick()).toBe(false);
  });

  it('are zero for a daemon that is no sender of the server, and Retry-After follows the limit', () => {
    const others = daemonIds(200).filter((self) => {
      const facts = { server: SERVER, limitPerS: 2, self, daemons: daemonIds(200) };
      return shareOf(facts).perSecond === 0;
    });
    expect(others).toContain('d0');
    const { limits: rateLimits, wait } = setUp(() => daemonIds(200));
    rateLimits.noteAnswer(SERVER, { perSecond: 2, sentAt: at(0) });
    rateLimits.tick();
    wait(60_000);
    rateLimits.tick();
    expect(rateLimits.tokens(SERVER)).toBe(0);
    expect(rateLimits.msUntilToken(SERVER)).toBe(Infinity);
    expect(rateLimits.msUntilAccepted(SERVER)).toBe(500);
  });
});

describe('a change of a limit', () => {
  // Guards against senders that exceed a lowered limit for as long as there is no leader.
  it('is sent at once to the daemons that send to the server, before and after it', () => {
    const clock = { now: () => at(100), epoch: () => brandAs<EpochTime>(100) };
    const all = daemonIds(200);
    const ctx = makeContext({ clock, settings: { id: brandAs<DaemonId>('d0') } });
    const sent: [readonly DaemonId[], readonly LimitUpdate[]][] = [];
    const rateLimits = createRateLimits(ctx, {
      daemons: () => all,
      isRemoved: () => false,
      publish: (daemons, told) => sent.push([daemons, told]),
    });
    rateLimits.noteAnswer(SERVER, { perSecond: 8, sentAt: at(50) });
    rateLimits.noteAnswer(SERVER, { perSecond: 8, sentAt: at(60) });
    rateLimits.noteAnswer(SERVER, { perSecond: 0, sentAt: at(70) });
    const senders = sendersOf(SERVER, 8, all).filter((id) => id !== 'd0');
    expect(sent).toEqual([
      [senders, [[SERVER, 8, 50, 0]]],
      [senders, [[SERVER, 0, 30, 0]]],
    ]);
  });
});

describe('a limit on the wire', () => {
  it.each([
    ['1.6', 1.6],
    ['0', 0],
    [' 12 ', 12],
    ['3, 1.5', 1.5],
    ['3, x', 3],
  ])('%j is parsed', (text, perSecond) => {
    expect(dialect.parseResponse(200, { [HEADERS.limit]: text })).toMatchObject({
      limitPerS: perSecond,
      unreadable: [],
    });
  });

  it.each(['', '-1', 'NaN', '1e400', 'Infinity', '1 2', '0x10'])(
    '%j is rejected as unreadable',
    (text) => {
      const facts = dialect.parseResponse(200, { [HEADERS.limit]: text });
      expect(facts.limitPerS).toBeUndefined();
      expect(facts.unreadable).toEqual([{ about: 'limit', header: `${HEADERS.limit}: ${text}` }]);
    },
  );
});

import { describe, expect, it } from 'vitest';

import { dialect } from '../../platform/ingress';
import { noteBackoff, backoffRemainingMs } from '../../src/core/gateway/server-backoff';
import type { Backoffs } from '../../src/core/gateway/server-backoff';
import { brandAs } from '../../src/core/ids';
import type { DaemonId, EpochTime } from '../../src/core/ids';
import { at, instance, makeThrottle, makeContext } from './support';

const SERVER = instance('s1');
const NONE: Backoffs = new Map();

describe('the backoff that a server asks for', () => {
  it('lasts until its end, or the later end of two', () => {
    const backoffs = noteBackoff(NONE, SERVER, 3_000, at(100));
    expect(backoffRemainingMs(backoffs, SERVER, at(100))).toBe(3_000);
    expect(backoffRemainingMs(backoffs, SERVER, at(3_100))).toBe(0);
    expect(backoffRemainingMs(noteBackoff(backoffs, SERVER, 500, at(200)), SERVER, at(200))).toBe(
      2_900,
    );
    expect(backoffRemainingMs(noteBackoff(backoffs, SERVER, 5_000, at(200)), SERVER, at(200))).toBe(
      5_000,
    );
  });

  it('applies to one process of the server, and is limited', () => {
    const backoffs = noteBackoff(NONE, SERVER, 999_999_999_000, at(0));
    expect(backoffRemainingMs(backoffs, instance('s1@2'), at(0))).toBe(0);
    expect(backoffRemainingMs(backoffs, SERVER, at(600_000))).toBe(0);
  });

  it('leaves no tokens, reports when it ends, and wakes waiting requests', () => {
    let ms = 0;
    const clock = { now: () => at(ms), epoch: () => brandAs<EpochTime>(ms) };
    const ctx = makeContext({ clock, settings: { id: brandAs<DaemonId>('d0') } });
    const allowances = makeThrottle(ctx);
    expect(allowances.tokens(SERVER)).toBe(Infinity);
    allowances.noteBackoff(SERVER, 2_000);
    expect(allowances.tokens(SERVER)).toBe(0);
    expect(allowances.msUntilAccepted(SERVER)).toBe(2_000);
    expect(allowances.tick()).toBe(false);
    ms = 2_000;
    expect(allowances.isBackingOff(SERVER)).toBe(false);
    expect(allowances.tick()).toBe(true);
    expect(allowances.tokens(SERVER)).toBe(Infinity);
  });
});

describe('the Retry-After header', () => {
  it.each([
    ['3', 3_000],
    ['0.25', 250],
    ['0', 0],
  ])('%j is parsed', (text, restMs) => {
    expect(dialect.parseResponse(503, { 'retry-after': text })).toMatchObject({
      restMs,
      unreadable: [],
    });
  });

  it('may be a date', () => {
    const text = new Date(Date.now() + 60_000).toUTCString();
    const { restMs = 0 } = dialect.parseResponse(503, { 'retry-after': text });
    expect(restMs).toBeGreaterThan(55_000);
    expect(restMs).toBeLessThanOrEqual(60_000);
  });

  it("may be a date by the server's clock", () => {
    const date = new Date(Date.now() - 3_600_000);
    const until = new Date(date.getTime() + 7_000).toUTCString();
    const headers = { date: date.toUTCString(), 'retry-after': until };
    expect(dialect.parseResponse(503, headers).restMs).toBe(7_000);
  });

  it.each(['', '-3', 'NaN', '1e400', 'soon', '3, 5'])('%j is reported as unreadable', (text) => {
    const facts = dialect.parseResponse(503, { 'retry-after': text });
    expect(facts.restMs).toBeUndefined();
    expect(facts.unreadable).toEqual([{ about: 'rest', header: `retry-after: ${text}` }]);
  });

  it('is ignored in a successful response', () => {
    expect(dialect.parseResponse(200, { 'retry-after': '3' }).restMs).toBeUndefined();
  });
});

import { describe, expect, it } from 'vitest';

import {
  createProgress,
  noteEnded,
  noteEvent,
  notePrefilled,
  noteSent,
  slowdownOf,
  stalledAt,
  sharedGroupStalledAt,
  expectedPauseMs,
} from '../../src/core/gateway/progress';
import { at, ENGINE } from './support';

const USUAL = 50;

describe('the slowdown of a group', () => {
  it('is detected within a second after one of its members has become slow', () => {
    let progress = noteEvent(createProgress(at(0)), at(0), USUAL);
    for (let now = 150; now <= 1_000; now += 150) progress = noteEvent(progress, at(now), 150);
    expect(slowdownOf(progress, USUAL, at(1_000))).toBeGreaterThan(2);
  });

  it('is unknown again after some time without events', () => {
    const progress = noteEvent(createProgress(at(0)), at(0), 4 * USUAL);
    expect(slowdownOf(progress, USUAL, at(2_000))).toBe(4);
    expect(slowdownOf(progress, USUAL, at(4_000))).toBeUndefined();
  });

  it('is never below 1', () => {
    expect(slowdownOf(noteEvent(createProgress(at(0)), at(0), 10), USUAL, at(1))).toBe(1);
  });
});

describe('the idle time of a group', () => {
  it('does not count while no request runs there', () => {
    const ended = noteEnded(noteSent(createProgress(at(0)), at(0), 100), 100);
    expect(stalledAt(ended, USUAL, 0)).toBeUndefined();
    expect(ended.pendingPrefill).toBe(0);
  });

  it('counts from the first send to a group without requests', () => {
    const progress = noteSent(createProgress(at(0)), at(10_000), 100);
    expect(stalledAt(progress, USUAL, 0)).toBe(10_500);
  });

  it('restarts with each event of any stream', () => {
    const progress = noteEvent(noteSent(createProgress(at(0)), at(0), 100), at(400), 40);
    expect(stalledAt(progress, USUAL, 0)).toBe(900);
  });

  it('may be longer if pauses have been long, as on slow servers', () => {
    let progress = noteSent(createProgress(at(0)), at(0), 100);
    for (let i = 1; i <= 60; i++) progress = noteEvent(progress, at(i * 200), 200);
    expect(stalledAt(progress, USUAL, 0)).toBeGreaterThan(12_000 + 1_100);
  });

  it('may be longer while prompts wait for prefill', () => {
    const sent = noteSent(createProgress(at(0)), at(0), 5_600);
    expect(sent.pendingPrefill).toBe(5_600);
    expect(stalledAt(sent, USUAL, sent.pendingPrefill / ENGINE.prefillTokensPerMs)).toBe(600);
    expect(notePrefilled(sent, 5_600).pendingPrefill).toBe(0);
  });

  it('may be longer while only first events are awaited and other daemons have streams there', () => {
    const sent = noteSent(createProgress(at(0)), at(0), 100);
    expect(sharedGroupStalledAt(sent, USUAL, 0, true)).toBe(1_200);
    const started = noteSent(noteEvent(notePrefilled(sent, 100), at(100), undefined), at(150), 200);
    expect(sharedGroupStalledAt(started, USUAL, 0, true)).toBe(600);
    const remaining = noteEnded(started, 0);
    expect(sharedGroupStalledAt(remaining, USUAL, 0, true)).toBe(1_300);
    expect(noteEnded(remaining, 200)).toMatchObject({ running: 0, started: 0, pendingPrefill: 0 });
  });

  it('is expected to grow with the load by the published performance model', () => {
    expect(expectedPauseMs(ENGINE, 1, 0)).toBeCloseTo(38.7);
    expect(expectedPauseMs(ENGINE, 1, 18)).toBeGreaterThan(53);
    expect(expectedPauseMs(ENGINE, 0.6, 0)).toBeCloseTo(23.22);
  });
});

import { describe, expect, it } from 'vitest';

import {
  createProgress,
  noteEnded,
  noteEvent,
  noteRead,
  noteSent,
  stalledAt,
  usualPauseMs,
} from '../../src/core/gateway/progress';
import { at, ENGINE } from './support';

const USUAL = 50;

describe('the silence of a group', () => {
  it('means nothing while nothing runs there', () => {
    const ended = noteEnded(noteSent(createProgress(at(0)), at(0), 100), 100);
    expect(stalledAt(ended, USUAL, 0)).toBeUndefined();
    expect(ended.unread).toBe(0);
  });

  it('counts from the send that ended an idle time', () => {
    const progress = noteSent(createProgress(at(0)), at(10_000), 100);
    expect(stalledAt(progress, USUAL, 0)).toBe(10_500);
  });

  it('counts anew from each event of any stream', () => {
    const progress = noteEvent(noteSent(createProgress(at(0)), at(0), 100), at(400), 40);
    expect(stalledAt(progress, USUAL, 0)).toBe(900);
  });

  it('is longer where pauses have been long, as on slow servers', () => {
    let progress = noteSent(createProgress(at(0)), at(0), 100);
    for (let i = 1; i <= 60; i++) progress = noteEvent(progress, at(i * 200), 200);
    expect(stalledAt(progress, USUAL, 0)).toBeGreaterThan(12_000 + 1_100);
  });

  it('is longer while prompts wait to be read', () => {
    const sent = noteSent(createProgress(at(0)), at(0), 5_600);
    expect(sent.unread).toBe(5_600);
    expect(stalledAt(sent, USUAL, sent.unread / ENGINE.prefillTokensPerMs)).toBe(600);
    expect(noteRead(sent, 5_600).unread).toBe(0);
  });

  it('is expected to grow with the load, by the published figures', () => {
    expect(usualPauseMs(ENGINE, 1, 0)).toBeCloseTo(38.7);
    expect(usualPauseMs(ENGINE, 1, 18)).toBeGreaterThan(53);
    expect(usualPauseMs(ENGINE, 0.6, 0)).toBeCloseTo(23.22);
  });
});

import { describe, expect, it } from 'vitest';

import { checkPoll, maxCallMs, planPoll } from '../../src/core/gateway/polling';
import type { PollParams } from '../../src/core/gateway/polling';
import { at } from './support';

const SETTLE_MS = 3_000;
const LONGEST_MS = maxCallMs(SETTLE_MS);
const NOW = at(10_000);

function plan(more: Partial<PollParams> = {}) {
  const needs = { now: NOW, settleMs: SETTLE_MS, preferredWaitMs: 20_000, isFailing: false };
  return planPoll({ ...needs, freshUntil: NOW, ...more });
}

describe('a poll that nobody vouches for', () => {
  it('is over in time for another one, however long it would like to wait', () => {
    const poll = plan();
    expect(poll.waitMs).toBeGreaterThan(0);
    expect(poll.overdueAt - NOW).toBeLessThanOrEqual(LONGEST_MS);
    expect(checkPoll(poll, { now: at(poll.overdueAt - 1), freshUntil: NOW })).toBe('wait');
    expect(checkPoll(poll, { now: poll.overdueAt, freshUntil: NOW })).toBe('overdue');
  });

  it('waits no longer than it would like to', () => {
    expect(plan({ preferredWaitMs: 600 }).waitMs).toBe(600);
  });

  it('asks a store that failed only whether it is back, and leaves a slow one time', () => {
    const poll = plan({ isFailing: true });
    expect(poll.waitMs).toBe(0);
    expect(poll.overdueAt - NOW).toBe(LONGEST_MS);
  });

  it('is given up once the store has answered a call that came later', () => {
    const poll = plan({ isFailing: true });
    const facts = { now: at(NOW + 1_000), freshUntil: NOW };
    expect(checkPoll(poll, { ...facts, answeredAt: at(NOW + 50) })).toBe('wait');
    expect(checkPoll(poll, { ...facts, answeredAt: at(NOW + 950) })).toBe('overdue');
  });
});

describe('a poll of a daemon whose leader vouches for what it knows', () => {
  const poll = plan({ freshUntil: at(NOW + 500) });

  it('waits as long as it likes', () => {
    expect(poll.waitMs).toBe(20_000);
    const facts = { now: at(NOW + 15_000), freshUntil: at(NOW + 15_500) };
    expect(checkPoll(poll, facts)).toBe('wait');
  });

  it('is sent anew, and is no failure, when the leader falls silent', () => {
    const facts = { now: at(NOW + 5_000), freshUntil: at(NOW + 5_000) };
    expect(checkPoll(poll, facts)).toBe('renew');
  });

  it('is not sent anew before it could be old', () => {
    expect(checkPoll(poll, { now: at(NOW + LONGEST_MS - 1), freshUntil: NOW })).toBe('wait');
  });
});

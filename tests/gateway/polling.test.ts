import { describe, expect, it } from 'vitest';

import { judgePoll, longestCallMs, planPoll } from '../../src/core/gateway/polling';
import type { PollNeeds } from '../../src/core/gateway/polling';
import { at } from './support';

const SETTLE_MS = 3_000;
const LONGEST_MS = longestCallMs(SETTLE_MS);
const NOW = at(10_000);

function plan(more: Partial<PollNeeds> = {}) {
  const needs = { now: NOW, settleMs: SETTLE_MS, wishedMs: 20_000, isFailing: false };
  return planPoll({ ...needs, trustedUntil: NOW, ...more });
}

describe('a poll that nobody vouches for', () => {
  it('is over in time for another one, however long it would like to wait', () => {
    const poll = plan();
    expect(poll.waitMs).toBeGreaterThan(0);
    expect(poll.overdueAt - NOW).toBeLessThanOrEqual(LONGEST_MS);
    expect(judgePoll(poll, { now: at(poll.overdueAt - 1), trustedUntil: NOW })).toBe('wait');
    expect(judgePoll(poll, { now: poll.overdueAt, trustedUntil: NOW })).toBe('overdue');
  });

  it('waits no longer than it would like to', () => {
    expect(plan({ wishedMs: 600 }).waitMs).toBe(600);
  });

  it('asks a store that failed only whether it is back, and leaves a slow one time', () => {
    const poll = plan({ isFailing: true });
    expect(poll.waitMs).toBe(0);
    expect(poll.overdueAt - NOW).toBe(LONGEST_MS);
  });

  it('is given up once the store has answered a call that came later', () => {
    const poll = plan({ isFailing: true });
    const facts = { now: at(NOW + 1_000), trustedUntil: NOW };
    expect(judgePoll(poll, { ...facts, answeredAt: at(NOW + 50) })).toBe('wait');
    expect(judgePoll(poll, { ...facts, answeredAt: at(NOW + 950) })).toBe('overdue');
  });
});

describe('a poll of a daemon whose leader vouches for what it knows', () => {
  const poll = plan({ trustedUntil: at(NOW + 500) });

  it('waits as long as it likes', () => {
    expect(poll.waitMs).toBe(20_000);
    const facts = { now: at(NOW + 15_000), trustedUntil: at(NOW + 15_500) };
    expect(judgePoll(poll, facts)).toBe('wait');
  });

  it('is sent anew, and is no failure, when the leader falls silent', () => {
    const facts = { now: at(NOW + 5_000), trustedUntil: at(NOW + 5_000) };
    expect(judgePoll(poll, facts)).toBe('renew');
  });

  it('is not sent anew before it could be old', () => {
    expect(judgePoll(poll, { now: at(NOW + LONGEST_MS - 1), trustedUntil: NOW })).toBe('wait');
  });
});

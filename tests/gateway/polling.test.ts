import { describe, expect, it } from 'vitest';

import { checkPoll, maxCallMs, planPoll, pollDelayMs } from '../../src/core/gateway/polling';
import type { PollParams } from '../../src/core/gateway/polling';
import { at } from './support';

const SETTLE_MS = 3_000;
const MAX_MS = maxCallMs(SETTLE_MS);
const NOW = at(10_000);

function plan(more: Partial<PollParams> = {}) {
  const params = { now: NOW, settleMs: SETTLE_MS, preferredWaitMs: 20_000, isFailing: false };
  return planPoll({ ...params, freshUntil: NOW, ...more });
}

describe('a poll of a daemon whose data no peer reports as fresh', () => {
  it('ends in time for another one, whatever its preferred wait', () => {
    const poll = plan();
    expect(poll.waitMs).toBeGreaterThan(0);
    expect(poll.overdueAt - NOW).toBeLessThanOrEqual(MAX_MS);
    expect(checkPoll(poll, { now: at(poll.overdueAt - 1), freshUntil: NOW })).toBe('wait');
    expect(checkPoll(poll, { now: poll.overdueAt, freshUntil: NOW })).toBe('overdue');
  });

  it('waits no longer than preferred', () => {
    expect(plan({ preferredWaitMs: 600 }).waitMs).toBe(600);
  });

  it('does not wait at a store that failed, but leaves a slow one time to respond', () => {
    const poll = plan({ isFailing: true });
    expect(poll.waitMs).toBe(0);
    expect(poll.overdueAt - NOW).toBe(MAX_MS);
  });

  it('is overdue once the store has answered a later call', () => {
    const poll = plan({ isFailing: true });
    const progress = { now: at(NOW + 1_000), freshUntil: NOW };
    expect(checkPoll(poll, { ...progress, answeredAt: at(NOW + 50) })).toBe('wait');
    expect(checkPoll(poll, { ...progress, answeredAt: at(NOW + 950) })).toBe('overdue');
  });
});

describe('a poll of a daemon whose leader reports its data as fresh', () => {
  const poll = plan({ freshUntil: at(NOW + 500) });

  it('waits for the preferred time', () => {
    expect(poll.waitMs).toBe(20_000);
    const progress = { now: at(NOW + 15_000), freshUntil: at(NOW + 15_500) };
    expect(checkPoll(poll, progress)).toBe('wait');
  });

  it('is renewed, without counting as a failure, when the leader becomes silent', () => {
    const progress = { now: at(NOW + 5_000), freshUntil: at(NOW + 5_000) };
    expect(checkPoll(poll, progress)).toBe('renew');
  });

  it('is not renewed before the data can be stale', () => {
    expect(checkPoll(poll, { now: at(NOW + MAX_MS - 1), freshUntil: NOW })).toBe('wait');
  });
});

describe('the delay after a version of the configuration', () => {
  const CONFIG_MS = 3_000;

  // Guards against a series of large versions that fills the links of all daemons.
  it('grows with its size, and leaves most of the time in which versions must be in force', () => {
    const small = pollDelayMs(CONFIG_MS, 2_000);
    const large = pollDelayMs(CONFIG_MS, 353_000);
    expect(large).toBeGreaterThan(1.5 * small);
    expect(pollDelayMs(CONFIG_MS, 4_000_000)).toBeLessThan(0.3 * CONFIG_MS);
    expect(pollDelayMs(2_000, 4_000_000)).toBeLessThan(0.3 * 2_000);
  });
});

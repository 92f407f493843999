import { describe, expect, it } from 'vitest';

import { createConnectLimit } from '../src/adapters/upstream/connect-limit';

describe('the connect timeout', () => {
  it('is the maximum before the first connection', () => {
    expect(createConnectLimit(400).limitMs()).toBe(400);
  });

  it('falls to its minimum on a fast network, so that an unreachable server is detected soon', () => {
    const limit = createConnectLimit(400);
    for (let n = 0; n < 20; n++) limit.note(2);
    expect(limit.limitMs()).toBe(100);
  });

  it('grows with measured connect times, up to the maximum', () => {
    const limit = createConnectLimit(400);
    for (let n = 0; n < 50; n++) limit.note(20);
    expect(limit.limitMs()).toBeCloseTo(240);
    for (let n = 0; n < 50; n++) limit.note(200);
    expect(limit.limitMs()).toBe(400);
  });
});

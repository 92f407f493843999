import { describe, expect, it } from 'vitest';

import { createConnectLimit } from '../src/adapters/upstream/connect-limit';

describe('the time for a connection to be made', () => {
  it('is the longest before anything is known', () => {
    expect(createConnectLimit(400).limitMs()).toBe(400);
  });

  it('is a fraction of it on a fast network, where a dark server is noticed soon', () => {
    const limit = createConnectLimit(400);
    for (let n = 0; n < 20; n++) limit.note(2);
    expect(limit.limitMs()).toBe(100);
  });

  it('grows with what connections take, up to the longest', () => {
    const limit = createConnectLimit(400);
    for (let n = 0; n < 50; n++) limit.note(20);
    expect(limit.limitMs()).toBeCloseTo(240);
    for (let n = 0; n < 50; n++) limit.note(200);
    expect(limit.limitMs()).toBe(400);
  });
});

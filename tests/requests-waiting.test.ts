/** Calls that are queued until a replica group is routable. */

import { afterEach, describe, expect, it } from 'vitest';

import type { EpochTime } from '../src/core/ids';
import { errorOf, sendChat } from './support/requests-client';
import { answerNormally, createEngine } from './support/requests-engine';
import { createFixture, fakeGroups, testGroup } from './support/requests-fixture';
import type { FakeGroups, Fixture } from './support/requests-fixture';

const EXPECTED_MS = 300;
const cleanups: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

async function setUp(groups: FakeGroups): Promise<Fixture> {
  const fixture = await createFixture({ groups });
  cleanups.push(fixture.close);
  return fixture;
}

describe('a call while no group is routable', () => {
  it('is admitted once one is routable, without another request to trigger the check', async () => {
    const engine = await createEngine(answerNormally);
    cleanups.push(engine.close);
    const groups = fakeGroups();
    let polls = 0;
    const expected = { ...groups, expectedAt: () => (Date.now() + EXPECTED_MS) as EpochTime };
    const { url } = await setUp({
      ...expected,
      routable: () => {
        polls++;
        return polls < 4 ? [] : [testGroup('g0', engine.address)];
      },
    });
    const response = await sendChat(url, { max_tokens: 8 });
    expect(response).toMatchObject({ status: 200, isComplete: true });
    expect(engine.calls).toHaveLength(1);
  });

  it('is refused immediately if none is expected', async () => {
    const { url } = await setUp(fakeGroups());
    const response = await sendChat(url);
    expect(response.status).toBe(503);
    expect(errorOf(response)).toMatchObject({ outcome: 'not-run', step: 'admission' });
    expect(response.headers['retry-after']).toBeDefined();
  });
});

/** Calls that wait for a replica group. */

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
  it('is let in as soon as one is, although no other request tells of it', async () => {
    const engine = await createEngine(answerNormally);
    cleanups.push(engine.close);
    const groups = fakeGroups();
    let looks = 0;
    const expected = { ...groups, expectedAt: () => (Date.now() + EXPECTED_MS) as EpochTime };
    const { url } = await setUp({
      ...expected,
      routable: () => {
        looks++;
        return looks < 4 ? [] : [testGroup('g0', engine.address)];
      },
    });
    const seen = await sendChat(url, { max_tokens: 8 });
    expect(seen).toMatchObject({ status: 200, isComplete: true });
    expect(engine.calls).toHaveLength(1);
  });

  it('is refused at once where none is expected', async () => {
    const { url } = await setUp(fakeGroups());
    const seen = await sendChat(url);
    expect(seen.status).toBe(503);
    expect(errorOf(seen)).toMatchObject({ outcome: 'not-run', step: 'admission' });
    expect(seen.headers['retry-after']).toBeDefined();
  });
});

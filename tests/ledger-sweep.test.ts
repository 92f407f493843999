/** The sweep removes expired claims with their stored answers and keeps the others. */

import { expect, it } from 'vitest';

import { createClock, createRandom } from '../src/adapters/runtime';
import type { ClaimWriter } from '../src/app/requests/claim-writer';
import type { RequestContext } from '../src/app/requests/context';
import { REQUEST_DEFAULTS } from '../src/app/requests/settings';
import { createSweep } from '../src/app/requests/sweep';
import { createFakeTable } from './support/fake-table';
import { fakeObjects, testConfig } from './support/requests-fixture';

const DAY_MS = 86_400_000;

function claimValue(expiresAt: number, objectKey: string) {
  const fields = { attempt: 'a', holder: 'd', bodyHash: 'b', deadlineAt: 0, expiresAt };
  const answer = { status: 200, headers: {}, body: { kind: 'object', key: objectKey } };
  return { ...fields, state: 'finished', answer };
}

it('removes expired claims and their stored answers, whatever page it starts at', async () => {
  const { table } = createFakeTable().client();
  const objects = fakeObjects();
  const now = Date.now();
  const rows = { expired: now - 1, fresh: now + DAY_MS };
  for (const [name, expiresAt] of Object.entries(rows)) {
    objects.kept.set(name, Buffer.from(name));
    const write = { key: `claim/armor/${name}`, value: claimValue(expiresAt, name) };
    await table.commit({ conditions: [], writes: [write] });
  }
  const writer: ClaimWriter = {
    isOverloaded: () => false,
    write: async ({ key, version }) => {
      const done = await table.commit({ conditions: [{ key, version }], writes: [{ key }] });
      return done.isOk() ? { kind: 'written', version: 0 } : { kind: 'conflict' };
    },
  };
  const ctx = {
    table,
    objects,
    clock: createClock(),
    random: createRandom(3),
    config: { current: () => testConfig() },
    settings: REQUEST_DEFAULTS,
  } as unknown as RequestContext;
  const sweep = createSweep(ctx, writer);
  // The first page starts at a random key, the next ones at the beginning.
  const removed = [await sweep.sweepPage(), await sweep.sweepPage(), await sweep.sweepPage()];
  expect(removed.reduce((sum, n) => sum + n, 0)).toBe(1);
  const remaining = await table.read(['claim/armor/expired', 'claim/armor/fresh']);
  expect(remaining.unwrapOr([]).map(({ key }) => key)).toEqual(['claim/armor/fresh']);
  expect([...objects.kept.keys()]).toEqual(['fresh']);
});

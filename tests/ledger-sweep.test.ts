/** Old claims are removed, and young ones are left alone. */

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

it('removes claims past their retention, with their stored answers, wherever it begins', async () => {
  const { table } = createFakeTable().client();
  const objects = fakeObjects();
  const now = Date.now();
  const rows = { old: now - 1, young: now + DAY_MS };
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
  // The first page begins somewhere in the middle, the next ones at the start.
  const removed = [await sweep.sweepPage(), await sweep.sweepPage(), await sweep.sweepPage()];
  expect(removed.reduce((sum, n) => sum + n, 0)).toBe(1);
  const left = await table.read(['claim/armor/old', 'claim/armor/young']);
  expect(left.unwrapOr([]).map(({ key }) => key)).toEqual(['claim/armor/young']);
  expect([...objects.kept.keys()]).toEqual(['young']);
});

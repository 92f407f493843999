/** The claim writer commits rows in batches, in which each write succeeds or fails on its own. */

import { describe, expect, it } from 'vitest';

import { createClock } from '../src/adapters/runtime';
import { createClaimWriter } from '../src/app/requests/claim-writer';
import type { ClaimWriter, ClaimWriterOptions } from '../src/app/requests/claim-writer';
import { createFakeTable } from './support/fake-table';
import { fakeMetrics } from './support/requests-fixture';

const fake = () => {
  const table = createFakeTable();
  const client = table.client();
  const create = (opts: Partial<ClaimWriterOptions> = {}): ClaimWriter =>
    createClaimWriter({
      table: client.table,
      clock: createClock(),
      metrics: fakeMetrics(),
      daemons: () => 1,
      commitsPerSecond: 10_000,
      claimShare: 1,
      maxBatch: 64,
      lingerMs: 1,
      queueTimeoutMs: 1_000,
      ...opts,
    });
  return { table, client, create };
};

describe('claim writer', () => {
  it('writes rows that arrive together in one commit', async () => {
    const { table, create } = fake();
    const writer = create();
    const keys = Array.from({ length: 50 }, (_, i) => `claim/a/${i}`);
    const results = await Promise.all(
      keys.map((key) => writer.write({ key, version: 0, value: key })),
    );
    expect(results.every(({ kind }) => kind === 'written')).toBe(true);
    expect(table.counts.commits).toBe(1);
  });

  it('fails only the write whose row has another version', async () => {
    const { table, create } = fake();
    const writer = create();
    await writer.write({ key: 'taken', version: 0, value: 'first' });
    const results = await Promise.all(
      ['a', 'taken', 'b'].map((key) => writer.write({ key, version: 0, value: 'second' })),
    );
    expect(results.map(({ kind }) => kind)).toEqual(['written', 'conflict', 'written']);
    expect(table.rows.get('taken')?.value).toBe('first');
  });

  it('accepts one of two concurrent writes of the same row', async () => {
    const { create } = fake();
    const writer = create();
    const write = () => writer.write({ key: 'k', version: 0, value: 1 });
    const results = await Promise.all([write(), write()]);
    expect(results.map(({ kind }) => kind)).toEqual(['written', 'conflict']);
  });

  it('distinguishes a lost answer from an unavailable table', async () => {
    const { client, create } = fake();
    const writer = create();
    client.faults.lostAnswers = 1;
    expect(await writer.write({ key: 'k', version: 0, value: 1 })).toEqual({ kind: 'unanswered' });
    client.faults.down = true;
    expect(await writer.write({ key: 'l', version: 0, value: 1 })).toEqual({ kind: 'unavailable' });
  });

  it('stays within its share of the commit rate, and reports when it is overloaded', async () => {
    const { table, create } = fake();
    const writer = create({
      commitsPerSecond: 70,
      claimShare: 0.5,
      daemons: () => 7,
      maxBatch: 2,
      queueTimeoutMs: 300,
    });
    const writes = Array.from({ length: 40 }, (_, i) =>
      writer.write({ key: `k${i}`, version: 0, value: i }),
    );
    expect(writer.isOverloaded()).toBe(true);
    const results = await Promise.all(writes);
    // Five commits per second: one initial token, and one or two more while the writes wait.
    expect(table.counts.commits).toBeLessThanOrEqual(4);
    expect(results.some(({ kind }) => kind === 'unavailable')).toBe(true);
  });
});

/**
 * Requests with an idempotency key, sent through two daemons that share a table, run at most once.
 */

import { afterEach, describe, expect, it } from 'vitest';

import { createFakeTable } from './support/fake-table';
import type { FakeTable, TableFaults } from './support/fake-table';
import { errorOf, send } from './support/requests-client';
import type { ReceivedResponse } from './support/requests-client';
import { createEngine, refuse, breakConnection } from './support/requests-engine';
import type { Script, ScriptedEngine } from './support/requests-engine';
import { KEYS, createFixture, fakeObjects, testConfig } from './support/requests-fixture';
import type { Fixture } from './support/requests-fixture';

const cleanups: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

interface Setup {
  readonly daemons: readonly Fixture[];
  readonly faults: readonly TableFaults[];
  readonly table: FakeTable;
  readonly backend: ScriptedEngine;
  /** Number of calls that the backend server ran. */
  readonly ran: () => number;
}

interface SetupOptions {
  readonly honoursIdempotencyKey?: boolean;
  readonly scripts?: Script[];
}

function counting(): { readonly script: Script; readonly ran: () => number } {
  let ran = 0;
  const script: Script = ({ res }) => {
    ran += 1;
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify({ ran }));
  };
  return { script, ran: () => ran };
}

async function setUp({
  honoursIdempotencyKey = false,
  scripts = [],
}: SetupOptions = {}): Promise<Setup> {
  const table = createFakeTable();
  const objects = fakeObjects();
  const { script, ran } = counting();
  const backend = await createEngine(...scripts, script);
  const initial = testConfig({ backends: [backend.address], honoursIdempotencyKey });
  const clients = [table.client(), table.client()];
  const settings = { claimTimeoutMs: 400, maxRowAnswerBytes: 64 };
  const daemons = await Promise.all(
    clients.map((client) => createFixture({ initial, objects, table: client.table, settings })),
  );
  cleanups.push(...daemons.map((each) => each.close), backend.close);
  return { daemons, faults: clients.map((client) => client.faults), table, backend, ran };
}

function reserve(
  daemon: Fixture | undefined,
  key: string,
  body = '{"n":1}',
): Promise<ReceivedResponse> {
  const headers = { 'idempotency-key': key };
  return send(`${daemon?.url ?? ''}/services/ledger/reserve`, { headers, body });
}

const outcomeOf = (seen: ReceivedResponse): unknown => seen.headers['nutmegstack-outcome'];

describe('requests with an idempotency key', () => {
  it('run once, and return the stored answer through any daemon', async () => {
    const { daemons, ran } = await setUp();
    const first = await reserve(daemons[0], 'k');
    const again = await Promise.all(daemons.map((daemon) => reserve(daemon, 'k')));
    expect(again.map(({ text }) => text)).toEqual([first.text, first.text]);
    expect(again.map(outcomeOf)).toEqual(['done', 'done']);
    expect(ran()).toBe(1);
  });

  it('run once when sent through two daemons at the same time', async () => {
    const { daemons, ran } = await setUp();
    const seen = await Promise.all([0, 1, 0, 1].map((i) => reserve(daemons[i], 'k')));
    expect(ran()).toBe(1);
    expect(seen.some((each) => each.status === 200)).toBe(true);
    expect(seen.filter((each) => each.status !== 200).map(outcomeOf)).not.toContain('not-run');
  });

  it('are refused with 422 when the body differs', async () => {
    const { daemons, ran } = await setUp();
    await reserve(daemons[0], 'k');
    const seen = await reserve(daemons[1], 'k', '{"n":2}');
    expect(seen.status).toBe(422);
    expect(errorOf(seen)).toMatchObject({ code: 'key-reused', outcome: 'not-run' });
    expect(ran()).toBe(1);
  });

  it('store a large answer in the object store', async () => {
    const long = 'x'.repeat(1_000);
    const { daemons, table } = await setUp({ scripts: [({ res }) => void res.end(long)] });
    await reserve(daemons[0], 'k');
    const again = await reserve(daemons[1], 'k');
    expect(again.text).toBe(long);
    expect(JSON.stringify([...table.rows.values()])).not.toContain('xxxx');
  });

  it('are not sent while the table is down, and fail at once with not-run', async () => {
    const { daemons, faults, ran } = await setUp();
    if (faults[0] !== undefined) faults[0].down = true;
    const seen = await reserve(daemons[0], 'k');
    expect(errorOf(seen)).toMatchObject({ code: 'store-unavailable', outcome: 'not-run' });
    expect(seen.headers['retry-after']).toBeDefined();
    expect(ran()).toBe(0);
    if (faults[0] !== undefined) faults[0].down = false;
    expect((await reserve(daemons[0], 'k')).status).toBe(200);
  });

  it('are sent when the claim is found by reading the row after a lost answer', async () => {
    const { daemons, faults, ran } = await setUp();
    if (faults[0] !== undefined) faults[0].lostAnswers = 1;
    expect((await reserve(daemons[0], 'k')).status).toBe(200);
    expect(ran()).toBe(1);
  });

  it('can be sent again after not-run, even if the lost claim is written late', async () => {
    const { daemons, faults, table, ran } = await setUp();
    if (faults[0] !== undefined) faults[0].lateRequests = 2;
    const seen = await reserve(daemons[0], 'k');
    expect(outcomeOf(seen)).toBe('not-run');
    table.settle();
    const states = await Promise.all([reserve(daemons[1], 'k'), reserve(daemons[1], 'k')]);
    expect(ran()).toBeLessThanOrEqual(1);
    expect(states.some((each) => each.status === 200) || ran() === 0).toBe(true);
  });

  it('have an unknown outcome and are never sent again once their answer was lost', async () => {
    const { daemons, backend } = await setUp({ scripts: [breakConnection] });
    expect(outcomeOf(await reserve(daemons[0], 'k'))).toBe('unknown');
    for (const daemon of daemons) {
      const again = await reserve(daemon, 'k');
      expect(again.status).toBe(409);
      expect(errorOf(again)).toMatchObject({ code: 'in-progress', outcome: 'unknown' });
    }
    expect(backend.calls).toHaveLength(1);
  });

  it('can be sent again after the backend server refused them', async () => {
    const { daemons, ran } = await setUp({ scripts: [refuse] });
    expect(outcomeOf(await reserve(daemons[0], 'k'))).toBe('not-run');
    expect((await reserve(daemons[0], 'k')).status).toBe(200);
    expect(ran()).toBe(1);
  });

  it('are sent again to a service that honours the key, even with the table down', async () => {
    const { daemons, faults, backend } = await setUp({
      honoursIdempotencyKey: true,
      scripts: [breakConnection],
    });
    expect(outcomeOf(await reserve(daemons[0], 'k'))).toBe('unknown');
    if (faults[1] !== undefined) faults[1].down = true;
    expect((await reserve(daemons[1], 'k')).status).toBe(200);
    const keys = backend.calls.map(({ req }) => req.headers['idempotency-key']);
    expect(new Set(keys).size).toBe(1);
  });

  it('of two organisations are independent', async () => {
    const { daemons, ran } = await setUp();
    const config = daemons[0]?.config;
    const umurage = config?.value.organisations.umurage;
    if (config === undefined || umurage === undefined) throw new Error('no such organisation');
    const services = config.value.organisations.armor?.services ?? [];
    const organisations = { ...config.value.organisations, umurage: { ...umurage, services } };
    config.next({ ...config.value, organisations });
    await reserve(daemons[0], 'k');
    const headers = { 'idempotency-key': 'k', authorization: `Bearer ${KEYS.umurage}` };
    const path = '/services/ledger/reserve';
    const other = await send(`${daemons[0]?.url ?? ''}${path}`, { headers, body: '{"n":1}' });
    expect(other.text).toBe('{"ran":2}');
    expect(ran()).toBe(2);
  });
});

/** What comes in at the callers' address, and what is refused there. */

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { chatBody, errorOf, send, sendChat } from './support/requests-client';
import { createEngine } from './support/requests-engine';
import type { ScriptedEngine } from './support/requests-engine';
import { KEYS, createFixture, fakeGroups, testGroup } from './support/requests-fixture';
import type { Fixture } from './support/requests-fixture';

let fixture: Fixture;
let engine: ScriptedEngine;

beforeAll(async () => {
  engine = await createEngine();
  const groups = fakeGroups([testGroup('g0', engine.address)]);
  fixture = await createFixture({ groups, settings: { maxBodyBytes: 1_000 } });
});

afterAll(async () => {
  await fixture.close();
  await engine.close();
});

interface Refusal {
  readonly what: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly path?: string;
  readonly status: number;
  readonly code: string;
}

const REFUSALS: readonly Refusal[] = [
  {
    what: 'a wrong key',
    headers: { authorization: 'Bearer no' },
    status: 401,
    code: 'unauthorized',
  },
  { what: 'no key', headers: { authorization: '' }, status: 401, code: 'unauthorized' },
  {
    what: "an operator's key",
    headers: { authorization: `Bearer ${KEYS.operator}` },
    status: 403,
    code: 'forbidden',
  },
  { what: 'a body that is not JSON', body: '{"model":', status: 400, code: 'bad-request' },
  {
    what: 'a body without messages',
    body: '{"model":"pharmacy"}',
    status: 400,
    code: 'bad-request',
  },
  { what: 'a body too long', body: 'x'.repeat(1_001), status: 413, code: 'body-too-large' },
  {
    what: 'an unknown model',
    body: chatBody({ model: 'x' }),
    status: 404,
    code: 'model-not-found',
  },
  {
    what: 'an inherited name as model',
    body: chatBody({ model: 'constructor' }),
    status: 404,
    code: 'model-not-found',
  },
  { what: 'an unknown path', path: '/v2/chat', status: 404, code: 'not-found' },
  { what: 'another method', path: '/v1/models', status: 405, code: 'method-not-allowed' },
  {
    what: 'a deadline that is no instant',
    headers: { 'nutmegstack-deadline': 'soon' },
    status: 400,
    code: 'bad-request',
  },
  {
    what: 'a deadline that has passed',
    headers: { 'nutmegstack-deadline': '5' },
    status: 504,
    code: 'deadline-exceeded',
  },
  {
    what: 'an unclear repeatable mark',
    headers: { 'nutmegstack-repeatable': 'maybe' },
    status: 400,
    code: 'bad-request',
  },
  {
    what: 'an idempotency key too long',
    headers: { 'idempotency-key': 'k'.repeat(256) },
    status: 400,
    code: 'bad-request',
  },
];

describe('entry', () => {
  it.each(REFUSALS)('refuses $what with $status, not run', async (refusal) => {
    const { body = chatBody(), headers = {}, path = '/v1/chat/completions' } = refusal;
    const seen = await send(fixture.url + path, { body, headers });
    expect(seen.status).toBe(refusal.status);
    expect(errorOf(seen)).toMatchObject({ code: refusal.code, outcome: 'not-run', step: 'entry' });
    expect(seen.headers['nutmegstack-outcome']).toBe('not-run');
    expect(engine.calls).toHaveLength(0);
  });

  it("lists the models of the caller's organisation", async () => {
    const seen = await send(`${fixture.url}/v1/models`, { method: 'GET' });
    expect(JSON.parse(seen.text)).toMatchObject({ object: 'list', data: [{ id: 'pharmacy' }] });
  });

  it('refuses at once while draining, and says when to come back', async () => {
    const other = await createFixture();
    await other.requests.drain();
    const seen = await sendChat(other.url);
    expect(seen.status).toBe(503);
    expect(errorOf(seen)).toMatchObject({ code: 'draining', outcome: 'not-run' });
    expect(seen.headers['retry-after']).toBeDefined();
    await other.close();
  });
});

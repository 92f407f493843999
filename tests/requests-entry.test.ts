/** Validation at the callers' address: invalid requests are refused before anything is sent. */

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
    what: 'an unknown API key',
    headers: { authorization: 'Bearer no' },
    status: 401,
    code: 'unauthorized',
  },
  { what: 'a missing API key', headers: { authorization: '' }, status: 401, code: 'unauthorized' },
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
  { what: 'a body over the limit', body: 'x'.repeat(1_001), status: 413, code: 'body-too-large' },
  {
    what: 'an unknown model',
    body: chatBody({ model: 'x' }),
    status: 404,
    code: 'model-not-found',
  },
  {
    what: 'a model named like an inherited property',
    body: chatBody({ model: 'constructor' }),
    status: 404,
    code: 'model-not-found',
  },
  { what: 'an unknown path', path: '/v2/chat', status: 404, code: 'not-found' },
  { what: 'an unsupported method', path: '/v1/models', status: 405, code: 'method-not-allowed' },
  {
    what: 'a malformed deadline',
    headers: { 'nutmegstack-deadline': 'soon' },
    status: 400,
    code: 'bad-request',
  },
  {
    what: 'an expired deadline',
    headers: { 'nutmegstack-deadline': '5' },
    status: 504,
    code: 'deadline-exceeded',
  },
  {
    what: 'an invalid repeatable header',
    headers: { 'nutmegstack-repeatable': 'maybe' },
    status: 400,
    code: 'bad-request',
  },
  {
    what: 'an idempotency key over the limit',
    headers: { 'idempotency-key': 'k'.repeat(256) },
    status: 400,
    code: 'bad-request',
  },
];

describe('entry', () => {
  it.each(REFUSALS)('refuses $what with status $status and outcome not-run', async (refusal) => {
    const { body = chatBody(), headers = {}, path = '/v1/chat/completions' } = refusal;
    const response = await send(fixture.url + path, { body, headers });
    expect(response.status).toBe(refusal.status);
    expect(errorOf(response)).toMatchObject({
      code: refusal.code,
      outcome: 'not-run',
      step: 'entry',
    });
    expect(response.headers['nutmegstack-outcome']).toBe('not-run');
    expect(engine.calls).toHaveLength(0);
  });

  it("lists the models of the caller's organisation", async () => {
    const response = await send(`${fixture.url}/v1/models`, { method: 'GET' });
    expect(JSON.parse(response.text)).toMatchObject({ object: 'list', data: [{ id: 'pharmacy' }] });
  });

  it('refuses with Retry-After while draining', async () => {
    const other = await createFixture();
    await other.requests.drain();
    const response = await sendChat(other.url);
    expect(response.status).toBe(503);
    expect(errorOf(response)).toMatchObject({ code: 'draining', outcome: 'not-run' });
    expect(response.headers['retry-after']).toBeDefined();
    await other.close();
  });
});

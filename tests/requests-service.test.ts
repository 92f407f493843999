/** Calls of plain services: forwarding, and which calls are retried. */

import { afterEach, describe, expect, it } from 'vitest';

import { errorOf, send } from './support/requests-client';
import { createEngine, refuse, breakConnection } from './support/requests-engine';
import type { Script, ScriptedEngine } from './support/requests-engine';
import { KEYS, createFixture, testConfig } from './support/requests-fixture';
import type { Fixture } from './support/requests-fixture';

const cleanups: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

const echoRequest: Script = ({ req, res }) => {
  res.setHeader('content-type', 'application/json');
  res.end(JSON.stringify({ path: req.url, method: req.method }));
};

interface Setup extends Fixture {
  readonly backends: readonly ScriptedEngine[];
}

async function setUp(...scripts: Script[][]): Promise<Setup> {
  const backends = await Promise.all(scripts.map((list) => createEngine(...list)));
  const initial = testConfig({ backends: backends.map((each) => each.address) });
  const fixture = await createFixture({ initial });
  cleanups.push(fixture.close, ...backends.map((each) => each.close));
  return { ...fixture, backends };
}

const callsOf = (setup: Setup): number =>
  setup.backends.reduce((sum, each) => sum + each.calls.length, 0);

describe('service calls', () => {
  it('are forwarded with path, query, method and body, without the API key', async () => {
    const { url, backends } = await setUp([echoRequest]);
    const response = await send(`${url}/services/ledger/stock/7?depot=b`, { body: '{"n":1}' });
    expect(JSON.parse(response.text)).toEqual({ path: '/stock/7?depot=b', method: 'POST' });
    expect(response.headers['nutmegstack-outcome']).toBe('done');
    const received = backends[0]?.calls[0];
    expect(received?.body).toEqual({ n: 1 });
    expect(JSON.stringify(received?.req.headers)).not.toContain(KEYS.armor);
  });

  it('are by default not retried after any byte was sent', async () => {
    const setup = await setUp([breakConnection], [breakConnection]);
    const response = await send(`${setup.url}/services/ledger/reserve`, { body: '{}' });
    expect(response.headers['nutmegstack-outcome']).toBe('unknown');
    expect(callsOf(setup)).toBe(1);
  });

  it('are retried if method, path or header make them repeatable', async () => {
    const calls = [
      { path: 'stock', options: { method: 'GET' } },
      { path: 'look/7', options: { body: '{}' } },
      { path: 'reserve', options: { body: '{}', headers: { 'nutmegstack-repeatable': 'true' } } },
    ];
    for (const { path, options } of calls) {
      let ran = 0;
      const breakFirst: Script = (call) => {
        ran += 1;
        return (ran === 1 ? breakConnection : echoRequest)(call);
      };
      const setup = await setUp([breakFirst], [breakFirst]);
      const response = await send(`${setup.url}/services/ledger/${path}`, options);
      expect(response.status).toBe(200);
    }
  });

  it('are sent to another backend server after a refusal, even if not repeatable', async () => {
    const setup = await setUp([refuse], [echoRequest]);
    for (let i = 0; i < 4; i += 1) {
      const response = await send(`${setup.url}/services/ledger/reserve`, { body: '{}' });
      expect(response.status).toBe(200);
    }
  });

  it('do not match a repeatable path through dot segments or a longer name', async () => {
    const setup = await setUp([breakConnection], [breakConnection]);
    const dots = await send(`${setup.url}/services/ledger/look/%2e%2E/reserve`, { body: '{}' });
    expect(dots).toMatchObject({ status: 404 });
    await send(`${setup.url}/services/ledger/lookout`, { body: '{}' });
    expect(callsOf(setup)).toBe(1);
  });

  it('are not found by an organisation that does not have the service', async () => {
    const setup = await setUp([echoRequest]);
    const headers = { authorization: `Bearer ${KEYS.umurage}` };
    const response = await send(`${setup.url}/services/ledger/stock`, { method: 'GET', headers });
    expect(response.status).toBe(404);
    expect(errorOf(response)).toMatchObject({ code: 'not-found', outcome: 'not-run' });
    expect(callsOf(setup)).toBe(0);
  });

  it('have the outcome unknown when the answer is truncated', async () => {
    const { url } = await setUp([
      ({ res }) => {
        res.writeHead(200, { 'content-length': 100 });
        res.write('half', () => res.destroy());
      },
    ]);
    const response = await send(`${url}/services/ledger/reserve`, { body: '{}' });
    expect(errorOf(response)).toMatchObject({ code: 'backend-lost', outcome: 'unknown' });
  });
});

/** Calls of plain services: what goes through, what is sent again and what never is. */

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

const answerPlain: Script = ({ req, res }) => {
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
  it('go through with path, query, method and body, and without the key', async () => {
    const { url, backends } = await setUp([answerPlain]);
    const seen = await send(`${url}/services/ledger/stock/7?depot=b`, { body: '{"n":1}' });
    expect(JSON.parse(seen.text)).toEqual({ path: '/stock/7?depot=b', method: 'POST' });
    expect(seen.headers['nutmegstack-outcome']).toBe('done');
    const got = backends[0]?.calls[0];
    expect(got?.body).toEqual({ n: 1 });
    expect(JSON.stringify(got?.req.headers)).not.toContain(KEYS.armor);
  });

  it('are not sent again by default once a byte left', async () => {
    const setup = await setUp([breakConnection], [breakConnection]);
    const seen = await send(`${setup.url}/services/ledger/reserve`, { body: '{}' });
    expect(seen.headers['nutmegstack-outcome']).toBe('unknown');
    expect(callsOf(setup)).toBe(1);
  });

  it('are sent again where method, path or header make them repeatable', async () => {
    const calls = [
      { path: 'stock', options: { method: 'GET' } },
      { path: 'look/7', options: { body: '{}' } },
      { path: 'reserve', options: { body: '{}', headers: { 'nutmegstack-repeatable': 'true' } } },
    ];
    for (const { path, options } of calls) {
      let ran = 0;
      const tearFirst: Script = (call) => {
        ran += 1;
        return (ran === 1 ? breakConnection : answerPlain)(call);
      };
      const setup = await setUp([tearFirst], [tearFirst]);
      const seen = await send(`${setup.url}/services/ledger/${path}`, options);
      expect(seen.status).toBe(200);
    }
  });

  it('are sent elsewhere when a backend server refused them, even if not repeatable', async () => {
    const setup = await setUp([refuse], [answerPlain]);
    for (let i = 0; i < 4; i += 1) {
      const seen = await send(`${setup.url}/services/ledger/reserve`, { body: '{}' });
      expect(seen.status).toBe(200);
    }
  });

  it('cannot pass for a repeatable path by dot segments or a longer name', async () => {
    const setup = await setUp([breakConnection], [breakConnection]);
    const dots = await send(`${setup.url}/services/ledger/look/%2e%2E/reserve`, { body: '{}' });
    expect(dots).toMatchObject({ status: 404 });
    await send(`${setup.url}/services/ledger/lookout`, { body: '{}' });
    expect(callsOf(setup)).toBe(1);
  });

  it('are unknown to an organisation that does not have the service', async () => {
    const setup = await setUp([answerPlain]);
    const headers = { authorization: `Bearer ${KEYS.umurage}` };
    const seen = await send(`${setup.url}/services/ledger/stock`, { method: 'GET', headers });
    expect(seen.status).toBe(404);
    expect(errorOf(seen)).toMatchObject({ code: 'not-found', outcome: 'not-run' });
    expect(callsOf(setup)).toBe(0);
  });

  it('end as unknown when the answer is cut short', async () => {
    const { url } = await setUp([
      ({ res }) => {
        res.writeHead(200, { 'content-length': 100 });
        res.write('half', () => res.destroy());
      },
    ]);
    const seen = await send(`${url}/services/ledger/reserve`, { body: '{}' });
    expect(errorOf(seen)).toMatchObject({ code: 'backend-lost', outcome: 'unknown' });
  });
});

import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { createAdmin } from '../src/app/admin/admin';
import { hashKey } from '../src/utils/common';
import { mergePatch } from '../src/app/admin/merge-patch';
import { brandAs } from '../src/core/ids';
import type { ConfigVersion, DaemonId } from '../src/core/ids';
import type { Json } from '../src/core/json';
import { callJson } from '../stand-ins/shared/client';
import type { JsonAnswer } from '../stand-ins/shared/client';
import { fakeConfig, fakeParts } from './support/admin-parts';
import type { FakeParts } from './support/admin-parts';
import { DOCUMENT } from './support/config-documents';

const PLATFORM = 'operator';
const RENNES = 'operator-rennes';

let server: Server;
let parts: FakeParts;
let race: (() => void) | undefined;

beforeEach(async () => {
  race = undefined;
  const config = fakeConfig(DOCUMENT, () => race?.());
  parts = fakeParts(config);
  const handler = createAdmin({
    ...parts.deps,
    bootstrapKeyHash: hashKey('bootstrap'),
    maxBodyBytes: 10_000,
  });
  server = createServer(handler);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
});

afterEach(() => {
  server.close();
  server.closeAllConnections();
});

function send(
  key: string,
  method: string,
  path: string,
  body?: unknown,
  headers: Record<string, string> = {},
): Promise<JsonAnswer> {
  return callJson({
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    method,
    path: `/admin/v1/${path}`,
    body,
    headers: { authorization: `Bearer ${key}`, ...headers },
  });
}

describe('an operator', () => {
  it('is refused without a key, with an unknown key and with a caller’s key', async () => {
    expect((await send('nobody', 'GET', 'status')).status).toBe(401);
    expect((await send('caller-rennes', 'GET', 'status')).status).toBe(403);
    const res = await send('', 'GET', 'status');
    expect(res.body).toMatchObject({ error: { code: 'unauthorized', step: 'admin-auth' } });
  });

  it('may use the bootstrap key', async () => {
    expect((await send('bootstrap', 'GET', 'config')).status).toBe(200);
  });
});

describe('submitting a configuration', () => {
  it('accepts a document based on the version in force', async () => {
    const headers = { 'if-match': '"1"', 'nutmegstack-change-id': 'c1' };
    const res = await send(PLATFORM, 'PUT', 'config', DOCUMENT, headers);
    expect(res).toEqual({ status: 200, body: { version: 2, changeId: 'c1' } });
  });

  it('refuses the second of two concurrent changes', async () => {
    await send(PLATFORM, 'PUT', 'config', DOCUMENT, { 'if-match': '"1"' });
    const slower = await send(PLATFORM, 'PUT', 'config', DOCUMENT, { 'if-match': '"1"' });
    expect(slower.status).toBe(409);
    expect(slower.body).toMatchObject({ error: { code: 'conflict', outcome: 'not-run' } });
  });

  it('returns the path of each invalid field', async () => {
    const wrong = { ...DOCUMENT, surplus: 1, services: { ledger: { backends: ['nowhere'] } } };
    const res = await send(PLATFORM, 'PUT', 'config', wrong, { 'if-match': '"1"' });
    expect(res.status).toBe(400);
    const { fields } = (res.body as { error: { fields: { path: string }[] } }).error;
    const paths = fields.map(({ path }) => path);
    expect(paths).toContain('surplus');
    expect(paths).toContain('services.ledger.backends[0]');
  });

  it.each([
    ['a malformed body', '{ a: [', {}, 400],
    ['a body that is too large', 'x'.repeat(20_000), {}, 413],
    ['a malformed If-Match', {}, { 'if-match': 'latest' }, 400],
    ['a malformed change id', {}, { 'nutmegstack-change-id': 'a b' }, 400],
  ])('refuses %s', async (_, body, headers, status) => {
    expect((await send(PLATFORM, 'PUT', 'config', body, headers)).status).toBe(status);
    expect((await send(PLATFORM, 'GET', 'versions')).body).toEqual({ versions: [1] });
  });
});

describe('amending an organisation', () => {
  it('changes only the fields given', async () => {
    const res = await send(RENNES, 'PATCH', 'organisations/rennes', { share: 4 });
    expect(res.status).toBe(200);
    const { body } = await send(RENNES, 'GET', 'organisations/rennes');
    expect(body).toMatchObject({ version: 2, parameters: { share: 4, template: 'depot' } });
  });

  it('is retried when another change was accepted in between', async () => {
    race = () => {
      race = undefined;
      const ifVersion = brandAs<ConfigVersion>(1);
      const document = { ...DOCUMENT, keys: DOCUMENT.keys.slice(1) } as unknown as Json;
      void parts.deps.config.submit({ changeId: 'other', ifVersion, document });
    };
    const res = await send(RENNES, 'PATCH', 'organisations/rennes', { share: 4 });
    expect(res.body).toMatchObject({ version: 3 });
    const { body } = await send(PLATFORM, 'GET', 'config');
    expect(body).toMatchObject({ document: { organisations: { rennes: { share: 4 } } } });
    expect((body as { document: { keys: unknown[] } }).document.keys).toHaveLength(2);
  });

  it('is refused when the version named is no longer in force', async () => {
    const headers = { 'if-match': '"9"' };
    const res = await send(RENNES, 'PATCH', 'organisations/rennes', { share: 4 }, headers);
    expect(res.status).toBe(409);
  });

  it('is refused beyond the limits of the template', async () => {
    const res = await send(RENNES, 'PATCH', 'organisations/rennes', { share: 1000 });
    expect(res.body).toMatchObject({
      error: { fields: [{ path: 'organisations.rennes.share' }] },
    });
  });
});

describe('an organisation’s operator', () => {
  it('sees only its own organisation', async () => {
    const { body } = await send(RENNES, 'GET', 'config');
    const { document } = body as { document: typeof DOCUMENT };
    expect(Object.keys(document.organisations)).toEqual(['rennes']);
    expect(JSON.stringify(document)).not.toContain('7301');
    expect((await send(RENNES, 'GET', 'organisations/brest')).status).toBe(403);
    expect((await send(RENNES, 'GET', 'keys')).body).toMatchObject({
      keys: [{ organisation: 'rennes' }, { organisation: 'rennes' }],
    });
    expect((await send(RENNES, 'GET', 'status')).body).not.toHaveProperty('control');
  });

  it('changes only its own organisation', async () => {
    expect((await send(RENNES, 'PATCH', 'organisations/brest', { share: 4 })).status).toBe(403);
    expect((await send(RENNES, 'POST', 'drain', { daemon: 'e1' })).status).toBe(403);
    const foreign = { hash: '0'.repeat(64), organisation: 'brest', role: 'operator' };
    expect((await send(RENNES, 'POST', 'keys', foreign)).status).toBe(403);
    const platform = { hash: '0'.repeat(64), role: 'operator' };
    expect((await send(RENNES, 'POST', 'keys', platform)).status).toBe(403);
    const removed = await send(RENNES, 'DELETE', `keys/${hashKey(PLATFORM)}`);
    expect(removed.status).toBe(404);
    expect((await send(PLATFORM, 'GET', 'versions')).body).toEqual({ versions: [1] });
  });
});

describe('keys', () => {
  it('are added and removed by hash', async () => {
    const hash = hashKey('new');
    const key = { hash, organisation: 'rennes', role: 'operator' };
    expect((await send(RENNES, 'POST', 'keys', key)).status).toBe(200);
    expect((await send('new', 'GET', 'status')).status).toBe(200);
    expect((await send(RENNES, 'DELETE', `keys/${hash}`)).status).toBe(200);
    expect((await send('new', 'GET', 'status')).status).toBe(401);
  });
});

describe('operations', () => {
  it('show each daemon with the configuration version in force on it', async () => {
    expect((await send(PLATFORM, 'GET', 'status')).body).toMatchObject({
      daemon: 'e1',
      version: 1,
      daemons: [
        { id: 'e1', configVersion: 1 },
        { id: 'e2', configVersion: 1 },
      ],
      inFlight: 3,
      control: { groups: [] },
    });
  });

  it('drain instances, this daemon and others', async () => {
    await send(PLATFORM, 'POST', 'drain', { instance: 'i1' });
    await send(PLATFORM, 'POST', 'drain', { daemon: 'e2' });
    await send(PLATFORM, 'POST', 'drain', { daemon: 'e1' });
    expect(parts.calls).toEqual(['instance i1', 'admin-drain e2', 'stop']);
    expect((await send(PLATFORM, 'POST', 'drain', { daemon: 'e9' })).status).toBe(404);
    expect((await send(PLATFORM, 'POST', 'drain', {})).status).toBe(400);
  });

  it('stop this daemon when another daemon requests it', () => {
    parts.direct.next({ from: brandAs<DaemonId>('e2'), topic: 'admin-drain', value: {} });
    parts.direct.next({ from: brandAs<DaemonId>('e2'), topic: 'other', value: {} });
    expect(parts.calls).toEqual(['stop']);
  });
});

describe('an unknown route', () => {
  it('is distinguished from an unknown method', async () => {
    expect((await send(PLATFORM, 'GET', 'nothing')).status).toBe(404);
    expect((await send(PLATFORM, 'DELETE', 'config')).status).toBe(405);
    expect((await send(PLATFORM, 'GET', '../../x')).status).toBe(404);
  });
});

describe('a merge patch', () => {
  it('merges fields and removes those that are null', () => {
    const target = { a: 1, b: { c: 2, d: 3 } };
    expect(mergePatch(target, { a: null, b: { c: 4 }, e: [5] })).toEqual({
      b: { c: 4, d: 3 },
      e: [5],
    });
  });
});

import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import fc from 'fast-check';
import { afterEach, describe, expect, it } from 'vitest';

import { TABLES } from '../../platform/names';
import { decodeConfig } from '../../platform/config';
import { decodeDaemon } from '../../platform/daemons';
import { createServers, decodeServer } from '../../platform/servers';
import { createStore } from '../../platform/store';
import { createLogger } from '../../src/adapters/telemetry/logger';
import { brandAs } from '../../src/core/ids';
import type { EpochTime, ModelId } from '../../src/core/ids';
import type { Json } from '../../src/ports/platform';
import { makeServer } from './support';

const MALFORMED = ['', '{"active":', 'no JSON', '[]', '{"pace":"fast"}'];

let server: Server;

/** Answers every request with 200 and `body`. */
async function startAnswering(body: string, status = 200): Promise<string> {
  server = createServer((req, res) => {
    req.resume();
    res.writeHead(status).end(body);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Takes requests and never answers. */
async function startSilent(): Promise<string> {
  server = createServer((req) => req.resume());
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

const encode = (value: string): string => Buffer.from(value).toString('base64');

const validRow = {
  service: 'llm',
  address: '127.0.0.1:7000',
  zone: 'a',
  batchSize: 18,
  state: 'ready',
  born: 1_700_000_000_000,
  domain: 'd0',
  staged: ['m'],
  models: [{ name: 'm', version: 1, adapters: [] }],
  group: { name: 'g', epoch: 1, rank: 0, state: 'open' },
};

/** A valid row with one field replaced by an arbitrary value or removed. */
const malformedRow = fc
  .tuple(fc.constantFrom(...Object.keys(validRow)), fc.option(fc.jsonValue(), { nil: undefined }))
  .map(([field, value]) => JSON.stringify({ ...validRow, [field]: value }));

describe('rows from another writer', () => {
  it('never throw or affect other rows, whatever they contain', async () => {
    const anything = fc.oneof(fc.string(), fc.json(), malformedRow);
    await fc.assert(
      fc.asyncProperty(fc.array(anything, { maxLength: 6 }), async (values) => {
        const malformed = values.map((value, i) => ({ key: `z${i}`, value: encode(value) }));
        const rows = [{ key: 'good', value: encode(JSON.stringify(validRow)) }, ...malformed];
        const body = JSON.stringify({
          rows: rows.map((row) => ({ ...row, rowVersion: 3 })),
          rowVersion: 4,
        });
        const address = await startAnswering(body);
        const store = createStore({
          address,
          logger: createLogger({ write: () => undefined }),
          noteEra: () => undefined,
        });
        const { changes } = (await store.feed('servers', decodeServer).load())._unsafeUnwrap();
        server.close();
        expect(changes.map(({ key }) => key)).toEqual(rows.map(({ key }) => key));
        expect(changes[0]?.value?.name).toBe('good');
        const states = changes.flatMap(({ value }) => value?.address ?? []);
        for (const each of states) expect(each).toMatch(/:\d+$/);
      }),
      { seed: 31, numRuns: 100 },
    );
  });

  // Guards against an error that nobody catches and that ends every daemon, as each of them connects to the address.
  it.each(['127.0.0.1:70000', '127.0.0.1:0', '127.0.0.1:99999'])(
    'are no servers or daemons at a port that does not exist: %s',
    (address) => {
      expect(decodeServer('s', { ...validRow, address })).toBeUndefined();
      expect(decodeDaemon('d', { address, cores: 1 })).toBeUndefined();
      const row = { address: '127.0.0.1:7000', cores: 1 };
      expect(decodeDaemon('d', row)).toBeDefined();
      expect(decodeDaemon('d', { ...row, forwardAddress: address })).toBeUndefined();
    },
  );

  it('are never decoded as a configuration unless they contain one', () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        expect(decodeConfig('config', value as Json)).toBeUndefined();
      }),
      { seed: 37, numRuns: 300 },
    );
  });
});

describe('a report', () => {
  it('of a later incarnation is not accepted for the one that was asked', async () => {
    const address = await startAnswering('{"born":7}');
    const asked = { ...makeServer('s1', { address }), startedAt: brandAs<EpochTime>(5) };
    const report = await createServers().report(asked, 1_000);
    expect(report._unsafeUnwrapErr().code).toBe('backend-lost');
    const order = { kind: 'stage', model: brandAs<ModelId>('m') } as const;
    expect(await createServers().order(asked, order)).toBe('other-server');
  });
});

describe('a request for a report', () => {
  // Guards against a server that is only silent being taken for one whose process has ended.
  it('fails otherwise if the port refuses than if nothing answers', async () => {
    const refusing = createServer();
    await new Promise<void>((resolve) => refusing.listen(0, '127.0.0.1', resolve));
    const address = `127.0.0.1:${(refusing.address() as AddressInfo).port}`;
    await new Promise((resolve) => refusing.close(resolve));
    const refused = await createServers().report(makeServer('s1', { address }), 1_000);
    expect(refused._unsafeUnwrapErr().code).toBe('backend-refused');
    const silent = await startSilent();
    const unanswered = await createServers().report(makeServer('s1', { address: silent }), 50);
    expect(unanswered._unsafeUnwrapErr().code).toBe('unavailable');
  });

  // Guards against a lost server that counts as there because another service has its address now.
  it.each([404, 503])('is not answered by status %i', async (status) => {
    const address = await startAnswering('{}', status);
    const report = await createServers().report(makeServer('s1', { address }), 1_000);
    expect(report._unsafeUnwrapErr().code).toBe('unavailable');
  });

  // Guards against an odd value that throws, takes long, or leads to times that are none.
  it.each([
    '['.repeat(200_000),
    `{"active":${'['.repeat(100_000)}${']'.repeat(100_000)}}`,
    `{"extra":${'['.repeat(100_000)}${']'.repeat(100_000)},"pace":1}`,
    ...['pace', 'active', 'queued', 'born'].flatMap((field) =>
      ['1e400', '-1e400', '1e308', '-1', '0', '9007199254740993', '"x"', 'null', '[]'].map(
        (value) => `{"${field}":${value}}`,
      ),
    ),
    ...['name', 'epoch', 'rank', 'state'].flatMap((field) =>
      ['1e400', '1e308', '-1', '"x"', 'null', '{}'].map(
        (value) =>
          `{"group":${JSON.stringify({ name: 'g', epoch: 1, rank: 0, state: 'open', [field]: 0 }).replace(`"${field}":0`, `"${field}":${value}`)}}`,
      ),
    ),
  ])('with an odd value is an error or a report of numbers (%#)', async (body) => {
    const address = await startAnswering(body);
    const startedAt = performance.now();
    const report = await createServers().report(makeServer('s1', { address }), 2_000);
    expect(performance.now() - startedAt).toBeLessThan(1_000);
    report.match(
      ({ slowdown, running, waiting }) => {
        expect([slowdown, running, waiting].every(Number.isFinite)).toBe(true);
      },
      ({ code }) => {
        expect(code).toBe('bad-answer');
      },
    );
  });
});

describe('a malformed answer', () => {
  it.each(MALFORMED)('is an error if a server reports %j', async (body) => {
    const address = await startAnswering(body);
    const report = await createServers().report(makeServer('s1', { address }), 1_000);
    expect(report._unsafeUnwrapErr().code).toBe('bad-answer');
  });

  it.each(MALFORMED)('is an error if the store sends %j', async (body) => {
    const address = await startAnswering(body);
    const store = createStore({
      address,
      logger: createLogger({ write: () => undefined }),
      noteEra: () => undefined,
    });
    const rows = await store.table.read('a');
    expect(rows._unsafeUnwrapErr().code).toBe('bad-answer');
  });

  // Guards against a lease that is taken and counts as refused.
  it.each(MALFORMED)('leaves open what a write did if the store sends %j', async (body) => {
    const address = await startAnswering(body);
    const logger = createLogger({ write: () => undefined });
    const store = createStore({ address, logger, noteEra: () => undefined });
    const write = { conditions: [{ key: 'lease/a', version: 0 }], writes: [] };
    const committed = await store.table.commit(write);
    expect(committed._unsafeUnwrapErr().code).toBe('store-unknown');
  });

  // Guards against a write that was accepted in another way than usual and counts as refused.
  it.each([201, 204, 302])('leaves open what a write did if its status is %i', async (status) => {
    const address = await startAnswering('', status);
    const logger = createLogger({ write: () => undefined });
    const store = createStore({ address, logger, noteEra: () => undefined });
    const write = { conditions: [{ key: 'lease/a', version: 0 }], writes: [] };
    const committed = await store.table.commit(write);
    expect(committed._unsafeUnwrapErr().code).toBe('store-unknown');
  });

  it('is skipped with a log line if it concerns a single row', async () => {
    const value = Buffer.from('{"whole":true}').toString('base64');
    const row = (key: string, of: string) => ({ key, value: of, rowVersion: 3 });
    const rows = [row('rows/a', 'e25vIEpTT04='), row('rows/b', value), row('other', value)];
    const address = await startAnswering(JSON.stringify({ rows, rowVersion: 4 }));
    const lines: string[] = [];
    const logger = createLogger({ write: (line) => lines.push(line) });
    const store = createStore({ address, logger, noteEra: () => undefined });
    const read = await store.table.read('rows/');
    expect(read._unsafeUnwrap().rows).toEqual([
      { key: 'rows/b', version: 3, value: { whole: true } },
    ]);
    expect(lines).toHaveLength(1);
    expect(lines[0]).toContain(TABLES.state);
  });
});

import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import fc from 'fast-check';
import { afterEach, describe, expect, it } from 'vitest';

import { TABLES } from '../../platform/names';
import { decodeConfig } from '../../platform/config';
import { createServers, decodeServer } from '../../platform/servers';
import { createStore } from '../../platform/store';
import { createLogger } from '../../src/adapters/telemetry/logger';
import { brandAs } from '../../src/core/ids';
import type { EpochTime, ModelId } from '../../src/core/ids';
import type { Json } from '../../src/ports/platform';
import { makeServer } from './support';

const SPOILED = ['', '{"active":', 'no JSON', '[]', '{"pace":"fast"}'];

let server: Server;

/** Answers everything with 200 and `body`. */
async function startAnswering(body: string): Promise<string> {
  server = createServer((req, res) => {
    req.resume();
    res.end(body);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

const encode = (value: string): string => Buffer.from(value).toString('base64');

const goodRow = {
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

/** A good row with one field of it replaced by anything, or left out. */
const spoiledRow = fc
  .tuple(fc.constantFrom(...Object.keys(goodRow)), fc.option(fc.jsonValue(), { nil: undefined }))
  .map(([field, value]) => JSON.stringify({ ...goodRow, [field]: value }));

describe('rows of another writer', () => {
  it('throw nothing and leave the others as they are, whatever they hold', async () => {
    const anything = fc.oneof(fc.string(), fc.json(), spoiledRow);
    await fc.assert(
      fc.asyncProperty(fc.array(anything, { maxLength: 6 }), async (values) => {
        const spoiled = values.map((value, i) => ({ key: `z${i}`, value: encode(value) }));
        const rows = [{ key: 'good', value: encode(JSON.stringify(goodRow)) }, ...spoiled];
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

  it('never hold for a configuration what they do not say', () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        expect(decodeConfig('config', value as Json)).toBeUndefined();
      }),
      { seed: 37, numRuns: 300 },
    );
  });
});

describe('a report', () => {
  it('of a later life says nothing of the one that was asked', async () => {
    const address = await startAnswering('{"born":7}');
    const asked = { ...makeServer('s1', { address }), startedAt: brandAs<EpochTime>(5) };
    const report = await createServers().report(asked, 1_000);
    expect(report._unsafeUnwrapErr().code).toBe('unavailable');
    const order = { kind: 'stage', model: brandAs<ModelId>('m') } as const;
    expect(await createServers().order(asked, order)).toBe('other-server');
  });
});

describe('an answer that makes no sense', () => {
  it.each(SPOILED)('is an error where a server reports %j', async (body) => {
    const address = await startAnswering(body);
    const report = await createServers().report(makeServer('s1', { address }), 1_000);
    expect(report._unsafeUnwrapErr().code).toBe('bad-answer');
  });

  it.each(SPOILED)('is an error where the store sends %j', async (body) => {
    const address = await startAnswering(body);
    const store = createStore({
      address,
      logger: createLogger({ write: () => undefined }),
      noteEra: () => undefined,
    });
    const rows = await store.table.read('a');
    expect(rows._unsafeUnwrapErr().code).toBe('bad-answer');
  });

  it('is passed over, with a line in the log, where a single row is spoiled', async () => {
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

import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import { TABLES } from '../../platform/names';
import { createServers } from '../../platform/servers';
import { createStore } from '../../platform/store';
import { createLogger } from '../../src/adapters/telemetry/logger';
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

describe('an answer that makes no sense', () => {
  it.each(SPOILED)('is an error where a server reports %j', async (body) => {
    const address = await startAnswering(body);
    const report = await createServers().report(makeServer('s1', { address }), 1_000);
    expect(report._unsafeUnwrapErr().code).toBe('bad-answer');
  });

  it.each(SPOILED)('is an error where the store sends %j', async (body) => {
    const address = await startAnswering(body);
    const store = createStore({ address, logger: createLogger({ write: () => undefined }) });
    const rows = await store.table.read(['a']);
    expect(rows._unsafeUnwrapErr().code).toBe('bad-answer');
  });

  it('is passed over, with a line in the log, where a single row is spoiled', async () => {
    const value = Buffer.from('{"whole":true}').toString('base64');
    const row = (key: string, of: string) => ({ key, value: of, rowVersion: 3 });
    const rows = [row('a', 'e25vIEpTT04='), row('b', value)];
    const address = await startAnswering(JSON.stringify({ rows, rowVersion: 4 }));
    const lines: string[] = [];
    const logger = createLogger({ write: (line) => lines.push(line) });
    const read = await createStore({ address, logger }).table.read(['a', 'b']);
    expect(read._unsafeUnwrap()).toEqual([{ key: 'b', version: 3, value: { whole: true } }]);
    expect(lines).toHaveLength(1);
    expect(lines[0]).toContain(TABLES.state);
  });
});

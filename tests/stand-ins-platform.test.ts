import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { callJson } from '../stand-ins/shared/client';
import type { JsonAnswer } from '../stand-ins/shared/client';
import { startPlatform } from '../stand-ins/platform/platform';
import type { Platform } from '../stand-ins/platform/platform';

let platform: Platform;

beforeEach(async () => {
  platform = await startPlatform();
});

afterEach(() => platform.close());

function call(method: string, path: string, body?: unknown): Promise<JsonAnswer> {
  return callJson({ address: platform.address, method, path, body });
}

function put(key: string, version: number, value: unknown): Promise<JsonAnswer> {
  const conditions = [{ key, version }];
  return call('POST', '/table/commit', { conditions, writes: [{ key, value }] });
}

function read(...keys: string[]): Promise<JsonAnswer> {
  return call('POST', '/table/read', { keys });
}

describe('table service', () => {
  it('commits transactions atomically', async () => {
    await put('a', 0, 1);
    const conditions = [
      { key: 'b', version: 0 },
      { key: 'a', version: 0 },
    ];
    const writes = [{ key: 'b', value: 2 }];
    const refused = await call('POST', '/table/commit', { conditions, writes });
    expect(refused).toEqual({ status: 409, body: { conflict: 'a' } });
    expect((await read('a', 'b')).body).toEqual({ rows: [{ key: 'a', version: 1, value: 1 }] });
  });

  it('never reuses a version for a row that was deleted and written again', async () => {
    await put('a', 0, 1);
    await call('POST', '/table/commit', { conditions: [], writes: [{ key: 'a' }] });
    const again = await put('a', 0, 1);
    expect(again.body).toEqual({ versions: { a: 3 } });
  });

  it('scans a prefix page by page in key order', async () => {
    const writes = ['p/2', 'q/1', 'p/1', 'p/3'].map((key) => ({ key, value: key }));
    await call('POST', '/table/commit', { conditions: [], writes });
    const first = await call('POST', '/table/scan', { prefix: 'p/', limit: 2 });
    expect(first.body).toMatchObject({ rows: [{ key: 'p/1' }, { key: 'p/2' }], after: 'p/2' });
    const second = await call('POST', '/table/scan', { prefix: 'p/', after: 'p/2', limit: 2 });
    expect(second.body).toEqual({ rows: [{ key: 'p/3', version: 4, value: 'p/3' }] });
  });

  it('responds 429 above its rate limit', async () => {
    await platform.close();
    platform = await startPlatform({ commitsPerSecond: 2 });
    const answers = await Promise.all(Array.from({ length: 20 }, (_, i) => put(`k${i}`, 0, i)));
    const refused = answers.filter(({ status }) => status === 429);
    expect(refused.length).toBeGreaterThan(0);
    expect(platform.table.rows.size).toBe(answers.length - refused.length);
  });

  it('responds 503 while down, without any effect', async () => {
    await call('POST', '/faults', { table: { down: true } });
    expect((await put('a', 0, 1)).status).toBe(503);
    await call('POST', '/faults', { table: { down: false } });
    expect((await read('a')).body).toEqual({ rows: [] });
  });

  it('loses the answer to a write that took effect', async () => {
    await call('POST', '/faults', { table: { lostAnswers: 1 } });
    await expect(put('a', 0, 1)).rejects.toThrow();
    expect((await read('a')).body).toMatchObject({ rows: [{ key: 'a', value: 1 }] });
  });

  it('loses a request before it takes effect', async () => {
    await call('POST', '/faults', { table: { lostRequests: 1 } });
    await expect(put('a', 0, 1)).rejects.toThrow();
    expect((await read('a')).body).toEqual({ rows: [] });
  });

  it('holds requests while frozen and resumes afterwards', async () => {
    await call('POST', '/faults', { table: { frozen: true } });
    const held = put('a', 0, 1);
    expect(platform.table.rows.size).toBe(0);
    await call('POST', '/faults', { table: { frozen: false } });
    expect((await held).status).toBe(200);
  });
});

describe('instance list', () => {
  it('lags by the configured time', async () => {
    const entry = { id: 'i1', role: 'engine', state: 'live' };
    await call('PUT', '/instances/i1', entry);
    expect((await call('GET', '/instances')).body).toEqual({ instances: [entry] });
    await call('POST', '/faults', { instances: { lagMs: 60_000 } });
    expect((await call('GET', '/instances')).body).toEqual({ instances: [] });
  });

  it('omits a removed instance', async () => {
    await call('PUT', '/instances/i1', { id: 'i1' });
    await call('DELETE', '/instances/i1');
    expect((await call('GET', '/instances')).body).toEqual({ instances: [] });
  });
});

describe('object store', () => {
  it('stores bytes by key', async () => {
    expect((await call('PUT', '/objects/a/b', { x: 1 })).status).toBe(204);
    expect((await call('GET', '/objects/a/b')).body).toEqual({ x: 1 });
    await call('DELETE', '/objects/a/b');
    expect((await call('GET', '/objects/a/b')).status).toBe(404);
  });
});

describe('weight store', () => {
  it('shares its bandwidth between transfers', async () => {
    const order: string[] = [];
    const transfer = async (name: string, bytes: number): Promise<void> => {
      await call('POST', '/weights/m', { bytes });
      order.push(name);
    };
    await Promise.all([transfer('large', 2e8), transfer('small', 1e8)]);
    expect(order).toEqual(['small', 'large']);
    expect(platform.counts).toEqual({ weightTransfers: 2 });
  });
});

describe('fault switches', () => {
  it('are returned with the counts of requests served', async () => {
    await put('a', 0, 1);
    const { body } = await call('GET', '/faults');
    expect(body).toMatchObject({ faults: { table: {} }, counts: { tableCommits: 1 } });
  });

  it('answer malformed JSON with 400', async () => {
    const res = await fetch(`http://${platform.address}/table/read`, { method: 'POST', body: '{' });
    expect(res.status).toBe(400);
  });
});

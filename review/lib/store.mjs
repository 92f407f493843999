/** Stand-in for the platform's metadata store: rows, conditional transactions and change feeds. */

import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';

async function readBody(req) {
  let text = '';
  for await (const chunk of req) text += chunk;
  return text;
}

function encode(value) {
  return Buffer.from(JSON.stringify(value)).toString('base64');
}

/** Starts the store on a free port of the loopback address. */
export async function startStore() {
  const rows = new Map();
  const waiters = new Set();
  let version = 0;
  const idOf = ({ table, part = '', key }) => `${table}\n${part}\n${key}`;

  const apply = (writes, remove) => {
    version += 1;
    for (const row of writes)
      rows.set(idOf(row), {
        table: row.table,
        part: row.part ?? '',
        key: row.key,
        value: row.value,
        rowVersion: version,
      });
    for (const row of remove)
      rows.set(idOf(row), {
        table: row.table,
        part: row.part ?? '',
        key: row.key,
        rowVersion: version,
      });
    for (const wake of [...waiters]) wake();
  };

  const answer = (res, status, body) => {
    const nowMs = Math.round(performance.now());
    res.writeHead(status, { 'Content-Type': 'application/json' });
    res.end(JSON.stringify({ ...body, rowVersion: version, nowMs }));
  };

  const shown = (row) =>
    row.value === undefined
      ? {
          table: row.table,
          part: row.part,
          key: row.key,
          rowVersion: row.rowVersion,
          deleted: true,
        }
      : row;

  const transact = async (req, res) => {
    const { precondition = [], writes = [], remove = [] } = JSON.parse(await readBody(req));
    const versionOf = (row) => {
      const found = rows.get(idOf(row));
      return found?.value === undefined ? 0 : found.rowVersion;
    };
    if (precondition.some((row) => versionOf(row) !== row.rowVersion)) {
      const current = precondition.flatMap((row) => rows.get(idOf(row)) ?? []).map(shown);
      answer(res, 412, { rows: current });
      return;
    }
    apply(writes, remove);
    answer(res, 200, {});
  };

  const byKey = (a, b) => (a.key < b.key ? -1 : 1);

  const list = (url, res) => {
    const table = url.searchParams.get('table');
    const from = url.searchParams.get('from') ?? '';
    const limit = Math.min(500, Number(url.searchParams.get('limit') ?? 500));
    const found = [...rows.values()]
      .filter((row) => row.table === table && row.value !== undefined && row.key >= from)
      .sort(byKey);
    answer(res, 200, { rows: found.slice(0, limit).map(shown), hasMore: found.length > limit });
  };

  const feed = (url, res) => {
    const table = url.searchParams.get('table');
    const after = Number(url.searchParams.get('after'));
    const waitMs = Number(url.searchParams.get('waitMs'));
    const changed = () =>
      [...rows.values()]
        .filter((row) => row.table === table && row.rowVersion > after)
        .sort((a, b) => a.rowVersion - b.rowVersion);
    const finish = () => {
      waiters.delete(wake);
      clearTimeout(timer);
      answer(res, 200, { rows: changed().map(shown) });
    };
    const wake = () => {
      if (changed().length > 0) finish();
    };
    const timer = setTimeout(finish, waitMs);
    waiters.add(wake);
    res.once('close', () => {
      waiters.delete(wake);
      clearTimeout(timer);
    });
    wake();
  };

  const server = createServer((req, res) => {
    const url = new URL(req.url, 'http://store');
    if (url.pathname === '/api/rows-tx') void transact(req, res);
    else if (url.pathname === '/api/rows-get') list(url, res);
    else if (url.pathname === '/api/rows-feed') feed(url, res);
    else answer(res, 404, {});
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Writes a row as the operator or a server does. */
    put: (table, key, value) => apply([{ table, key, value: encode(value) }], []),
    /** Writes a row whose value is any bytes. */
    putBytes: (table, key, bytes) => apply([{ table, key, value: bytes.toString('base64') }], []),
    remove: (table, key) => apply([], [{ table, key }]),
    get: (table, key) => {
      const value = rows.get(idOf({ table, key }))?.value;
      return value && JSON.parse(Buffer.from(value, 'base64').toString());
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

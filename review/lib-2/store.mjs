// Stand-in for the platform's store: rows, transactions and feeds as PROTOCOL.md tells them.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';

const TX_MS = 4;

async function readJson(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return JSON.parse(Buffer.concat(chunks).toString());
}

export async function startStore() {
  const rows = new Map();
  const waiters = new Set();
  const startedAt = Date.now();
  let version = 1;

  const keyOf = ({ table, part, key }) => `${table}\0${part}\0${key}`;
  const isThere = (row) => row !== undefined && row.value !== undefined;

  const apply = (writes, remove) => {
    version += 1;
    for (const { table, part, key, value } of writes)
      rows.set(keyOf({ table, part, key }), { table, part, key, value, rowVersion: version });
    for (const { table, part, key } of remove) {
      if (!isThere(rows.get(keyOf({ table, part, key })))) continue;
      rows.set(keyOf({ table, part, key }), { table, part, key, rowVersion: version });
    }
    for (const wake of [...waiters]) wake();
  };

  const answer = (res, status, body) => {
    const text = JSON.stringify({ ...body, rowVersion: version, nowMs: Date.now() - startedAt });
    res.writeHead(status, { 'Content-Type': 'application/json' }).end(text);
  };
  const shown = (row) => (isThere(row) ? row : { ...row, deleted: true });

  const transact = ({ precondition = [], writes = [], remove = [] }, res) => {
    const versionOf = (row) => (isThere(row) ? row.rowVersion : 0);
    const found = precondition.map((one) => rows.get(keyOf(one)));
    const holds = precondition.every((one, i) => versionOf(found[i]) === one.rowVersion);
    if (!holds) {
      answer(res, 412, { rows: found.filter(isThere) });
      return;
    }
    apply(writes, remove);
    setTimeout(() => answer(res, 200, {}), TX_MS);
  };

  const list = (url, res) => {
    const [table, from = ''] = [url.searchParams.get('table'), url.searchParams.get('from') ?? ''];
    const part = url.searchParams.get('part') ?? '';
    const limit = Number(url.searchParams.get('limit') ?? 500);
    const found = [...rows.values()]
      .filter((row) => row.table === table && row.part === part && row.key >= from && isThere(row))
      .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
    answer(res, 200, { rows: found.slice(0, limit), hasMore: found.length > limit });
  };

  const feed = (url, res) => {
    const table = url.searchParams.get('table');
    const after = Number(url.searchParams.get('after'));
    const waitMs = Number(url.searchParams.get('waitMs'));
    const changed = () =>
      [...rows.values()]
        .filter((row) => row.table === table && row.rowVersion > after)
        .sort((a, b) => a.rowVersion - b.rowVersion);
    const end = () => {
      clearTimeout(timer);
      waiters.delete(wake);
    };
    const finish = () => {
      end();
      answer(res, 200, { rows: changed().map(shown) });
    };
    const wake = () => {
      if (changed().length > 0) finish();
    };
    const timer = setTimeout(finish, waitMs);
    waiters.add(wake);
    res.once('close', end);
    wake();
  };

  const server = createServer((req, res) => {
    const url = new URL(req.url, 'http://store');
    if (url.pathname === '/api/rows-tx')
      readJson(req).then(
        (body) => transact(body, res),
        () => res.destroy(),
      );
    else if (url.pathname === '/api/rows-get') list(url, res);
    else if (url.pathname === '/api/rows-feed') feed(url, res);
    else res.writeHead(404).end();
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));

  return {
    address: `127.0.0.1:${server.address().port}`,
    put: (table, key, value) => {
      const text = Buffer.from(JSON.stringify(value)).toString('base64');
      apply([{ table, part: '', key, value: text }], []);
    },
    remove: (table, key) => apply([], [{ table, part: '', key }]),
    get: (table, key) => {
      const row = rows.get(keyOf({ table, part: '', key }));
      return isThere(row) ? JSON.parse(Buffer.from(row.value, 'base64').toString()) : undefined;
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

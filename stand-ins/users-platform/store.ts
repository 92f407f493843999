/** Stand-in for the platform's store: conditional transactions, change feeds and fault injection. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import * as z from 'zod';

import { PATHS } from '../../platform/names';

interface StoredRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  /** Base64; undefined once the row is removed. */
  readonly value: string | undefined;
  readonly rowVersion: number;
}

const rowKey = { table: z.string(), part: z.string(), key: z.string() };
const transactionSchema = z.object({
  precondition: z.array(z.object({ ...rowKey, rowVersion: z.number() })),
  writes: z.array(z.object({ ...rowKey, value: z.string() })),
  remove: z.array(z.object(rowKey)),
});

/** Snapshot of the store, for a restore from an older copy. */
interface StoreCopy {
  readonly at: number;
  readonly rows: ReadonlyMap<string, StoredRow>;
  readonly version: number;
}

/** Retention of snapshots, milliseconds. */
const COPIES_KEPT_MS = 20_000;

/** Injected faults. */
export interface StoreFaults {
  /** Respond 503 to every call without processing it. */
  isDown: boolean;
  /** Accept calls without ever responding. */
  isSilent: boolean;
  /** Commit transactions, then close their connections without a response. */
  losesAnswers: boolean;
}

export interface StoreStandIn {
  readonly faults: StoreFaults;
  /** Writes a row unconditionally, as operator and servers do. */
  put(table: string, key: string, value: unknown): void;
  remove(table: string, key: string): void;
  get(table: string, key: string): unknown;
  /** Values of a table's rows, those written last at the end. */
  list(table: string): readonly unknown[];
  /** Drops the change history: feeds respond 410 and have to reload. */
  compact(): void;
  /** Restores a copy that is `ageMs` old and starts the next era; later writes are lost. */
  restore(ageMs: number): void;
  era(): number;
  /** Number of calls by path. */
  readonly calls: ReadonlyMap<string, number>;
  close(): void;
}

function decodeValue(value: string): unknown {
  return JSON.parse(Buffer.from(value, 'base64').toString());
}

async function readJson(req: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString());
}

/** Starts the store at `host:port`. */
export async function startStore(host: string, port: number): Promise<StoreStandIn> {
  const rows = new Map<string, StoredRow>();
  const waiters = new Set<() => void>();
  const calls = new Map<string, number>();
  const faults: StoreFaults = { isDown: false, isSilent: false, losesAnswers: false };
  let version = 0;
  let oldest = 0;
  let era = 1;
  let copies: StoreCopy[] = [];

  const keyOf = (table: string, part: string, key: string): string => `${table}\0${part}\0${key}`;

  const set = (table: string, part: string, key: string, value: string | undefined): void => {
    rows.set(keyOf(table, part, key), { table, part, key, value, rowVersion: version });
  };

  const commit = (change: () => void): void => {
    version += 1;
    change();
    const at = performance.now();
    copies = [
      ...copies.filter((copy) => copy.at > at - COPIES_KEPT_MS),
      { at, rows: new Map(rows), version },
    ];
    for (const wake of [...waiters]) wake();
  };

  const answer = (res: ServerResponse, status: number, body: object): void => {
    const text = JSON.stringify({
      ...body,
      rowVersion: version,
      nowMs: Math.round(performance.now()),
    });
    res.writeHead(status, { ...eraHeader(), 'Content-Type': 'application/json' }).end(text);
  };
  const eraHeader = (): Record<string, string> => ({ 'Store-Era': String(era) });

  const shown = ({ value, ...row }: StoredRow): object =>
    value === undefined ? { ...row, deleted: true } : { ...row, value };

  const transact = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const { precondition, writes, remove } = transactionSchema.parse(await readJson(req));
    const holds = precondition.every(({ table, part, key, rowVersion }) => {
      const row = rows.get(keyOf(table, part, key));
      return (row?.value === undefined ? 0 : row.rowVersion) === rowVersion;
    });
    if (!holds) {
      answer(res, 412, { rows: [] });
      return;
    }
    commit(() => {
      for (const { table, part, key, value } of writes) set(table, part, key, value);
      for (const { table, part, key } of remove) set(table, part, key, undefined);
    });
    if (faults.losesAnswers) res.destroy();
    else answer(res, 200, {});
  };

  const list = (url: URL, res: ServerResponse): void => {
    const table = url.searchParams.get('table') ?? '';
    const found = [...rows.values()]
      .filter((row) => row.table === table && row.value !== undefined)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    answer(res, 200, { rows: found.map(shown), hasMore: false });
  };

  const feed = (url: URL, res: ServerResponse): void => {
    const table = url.searchParams.get('table') ?? '';
    const after = Number(url.searchParams.get('after'));
    const waitMs = Number(url.searchParams.get('waitMs'));
    if (after < oldest || after > version) {
      answer(res, 410, { rows: [] });
      return;
    }
    const changed = (): StoredRow[] =>
      [...rows.values()]
        .filter((row) => row.table === table && row.rowVersion > after)
        .sort((a, b) => a.rowVersion - b.rowVersion);
    const finish = (): void => {
      waiters.delete(wake);
      clearTimeout(timer);
      if (faults.isDown) res.writeHead(503, eraHeader()).end();
      else answer(res, 200, { rows: changed().map(shown) });
    };
    const wake = (): void => {
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

  const serve = (req: IncomingMessage, res: ServerResponse): void => {
    const url = new URL(req.url ?? '/', 'http://store');
    calls.set(url.pathname, (calls.get(url.pathname) ?? 0) + 1);
    if (faults.isSilent) return;
    if (faults.isDown) {
      res.writeHead(503, eraHeader()).end();
      return;
    }
    if (url.pathname === PATHS.transaction) void transact(req, res);
    else if (url.pathname === PATHS.rows) list(url, res);
    else if (url.pathname === PATHS.feed) feed(url, res);
    else res.writeHead(404).end();
  };

  const server: Server = createServer(serve);
  await new Promise<void>((resolve) => server.listen(port, host, resolve));

  return {
    faults,
    calls,
    put: (table, key, value) => {
      const text = Buffer.from(JSON.stringify(value)).toString('base64');
      commit(() => {
        set(table, '', key, text);
      });
    },
    remove: (table, key) => {
      commit(() => {
        set(table, '', key, undefined);
      });
    },
    list: (table) =>
      [...rows.values()]
        .filter((row) => row.table === table)
        .sort((a, b) => a.rowVersion - b.rowVersion)
        .flatMap(({ value }) => (value === undefined ? [] : [decodeValue(value)])),
    get: (table, key) => {
      const value = rows.get(keyOf(table, '', key))?.value;
      return value === undefined ? undefined : decodeValue(value);
    },
    restore: (ageMs) => {
      const copy = copies.findLast(({ at }) => at <= performance.now() - ageMs);
      rows.clear();
      for (const [key, row] of copy?.rows ?? []) rows.set(key, row);
      version = copy?.version ?? 0;
      oldest = Math.min(oldest, version);
      era += 1;
      copies = copy ? [copy] : [];
    },
    era: () => era,
    compact: () => {
      oldest = version;
      for (const wake of [...waiters]) wake();
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

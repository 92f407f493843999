import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createAdmin } from '../src/app/admin/admin';
import { hashKey } from '../src/utils/common';
import type { StartDaemon } from '../src/cli/command';
import { COMMANDS, runProgram } from '../src/cli/program';
import { fakeConfig, fakeParts } from './support/admin-parts';
import type { FakeParts } from './support/admin-parts';
import { DOCUMENT, HASHES } from './support/config-documents';

const startDaemon = vi.fn<StartDaemon>();

let server: Server;
let parts: FakeParts;
/** Answers the next requests in place of the daemon. */
let instead: ((res: ServerResponse) => void)[];
let out: string;
let errors: string;

beforeEach(async () => {
  instead = [];
  out = '';
  errors = '';
  parts = fakeParts(fakeConfig(DOCUMENT));
  const handler = createAdmin(parts.deps);
  server = createServer((req, res) => {
    const answer = instead.shift();
    if (answer === undefined) handler(req, res);
    else answer(res);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  vi.spyOn(process.stdout, 'write').mockImplementation((text) => {
    out += String(text);
    return true;
  });
  vi.spyOn(process.stderr, 'write').mockImplementation((text) => {
    errors += String(text);
    return true;
  });
  vi.spyOn(console, 'log').mockImplementation((text) => {
    out += String(text);
  });
});

afterEach(() => {
  vi.restoreAllMocks();
  server.close();
  server.closeAllConnections();
});

function nutmegstack(...args: string[]): Promise<number> {
  const { port } = server.address() as AddressInfo;
  const env = { NUTMEGSTACK_ADMIN: `127.0.0.1:${port}`, NUTMEGSTACK_KEY: 'operator' };
  return runProgram(['node', 'nutmegstack', ...args], env, startDaemon);
}

function output(): unknown {
  return JSON.parse(out) as unknown;
}

describe('the command line', () => {
  it.each(Object.keys(COMMANDS))('explains %s', async (name) => {
    expect(await nutmegstack(name, '--help')).toBe(0);
    expect(out).toContain(`$ nutmegstack ${name}`);
    for (const { flag } of COMMANDS[name]?.flags ?? []) expect(out).toContain(`--${flag}`);
  });

  it.each([
    [['fly']],
    [[]],
    [['apply']],
    [['apply', 'no-such-file.yaml']],
    [['status', '--colour', 'red']],
    [['drain']],
    [['drain', '--daemon', 'e1', '--instance', 'i1']],
    [['keys', 'lose']],
    [['serve', '--listen', 'nowhere']],
  ])('ends %j with 2 without trying anything', async (args) => {
    expect(await nutmegstack(...args)).toBe(2);
    expect(errors).toContain('usage');
    expect(parts.asked).toEqual([]);
  });

  it('prints its version', async () => {
    expect(await nutmegstack('version', '--output', 'json')).toBe(0);
    expect(output()).toMatchObject({ version: '0.1.0' });
  });
});

describe('serve', () => {
  it('says where it listens, and stops gracefully on SIGTERM', async () => {
    let stop: (() => void) | undefined;
    const stopped = new Promise<void>((resolve) => {
      stop = resolve;
    });
    const drain = vi.fn(() => {
      stop?.();
      return stopped;
    });
    const addresses = { callers: '127.0.0.1:1', admin: '127.0.0.1:2', peers: '127.0.0.1:3' };
    startDaemon.mockResolvedValue({ addresses, drain, stopped });
    const settings = ['--id', 'e1', '--zone', 'z', '--platform', '127.0.0.1:4'];
    const ended = nutmegstack('serve', ...settings, '--peer-secret', 'sixteen letters!');
    await vi.waitFor(() => {
      expect(output()).toEqual({ ready: true, role: 'daemon', id: 'e1', addresses });
    });
    expect(drain).not.toHaveBeenCalled();
    process.emit('SIGTERM');
    expect(await ended).toBe(0);
    expect(drain).toHaveBeenCalledOnce();
  });
});

describe('apply', () => {
  it('submits a document on the version in force', async () => {
    expect(await nutmegstack('apply', 'examples/armor.yaml', '--output', 'json')).toBe(0);
    expect(output()).toMatchObject({ version: 2 });
  });

  it('is refused on another version', async () => {
    expect(await nutmegstack('apply', 'examples/armor.yaml', '--if-version', '7')).toBe(1);
    expect(errors).toContain('conflict');
  });

  it('sends the same change again when an answer is lost', async () => {
    const ids: unknown[] = [];
    server.prependListener('request', (req) => ids.push(req.headers['nutmegstack-change-id']));
    instead = [
      (res) => res.writeHead(200).end(JSON.stringify({ version: 1, document: DOCUMENT })),
      (res) => res.destroy(),
    ];
    expect(await nutmegstack('apply', 'examples/armor.yaml')).toBe(0);
    const sent = ids.filter((id) => id !== undefined);
    expect(sent).toHaveLength(2);
    expect(new Set(sent).size).toBe(1);
  });

  it('ends with 3 when no one can tell what became of the change', async () => {
    const unknown = { error: { code: 'store-unknown', message: 'lost', outcome: 'unknown' } };
    instead = [
      (res) => res.writeHead(200).end(JSON.stringify({ version: 1, document: DOCUMENT })),
      ...Array.from({ length: 5 }, () => (res: ServerResponse) => {
        res.writeHead(503).end(JSON.stringify(unknown));
      }),
    ];
    expect(await nutmegstack('apply', 'examples/armor.yaml')).toBe(3);
  });
});

describe('reading commands', () => {
  it('print the configuration as YAML and as JSON', async () => {
    expect(await nutmegstack('get')).toBe(0);
    expect(out).toMatch(/^# version 1\ntemplates:\n/);
    out = '';
    expect(await nutmegstack('get', '--output', 'json')).toBe(0);
    expect(output()).toEqual({ version: 1, document: DOCUMENT });
  });

  it('show what a file would change', async () => {
    expect(await nutmegstack('diff', 'examples/armor.yaml')).toBe(0);
    expect(out).toContain('organisations.brest.replicas.query: 0.8 -> (absent)\n');
    expect(out).toContain(`keys.${HASHES.caller}: {"hash"`);
  });

  it('show every daemon', async () => {
    expect(await nutmegstack('status')).toBe(0);
    expect(out).toBe(
      'DAEMON  ZONE    STATE  VERSION\ne1      rennes  alive  1\ne2      rennes  alive  1\n',
    );
  });

  it('name each wrong field of a file without a daemon', async () => {
    expect(await nutmegstack('check', 'examples/armor.yaml')).toBe(0);
    expect(await nutmegstack('check', 'package.json')).toBe(1);
    expect(errors).toContain('scripts: unknown field');
  });
});

describe('changing commands', () => {
  it('drain daemons and instances', async () => {
    expect(await nutmegstack('drain', '--daemon', 'e2')).toBe(0);
    expect(await nutmegstack('drain', '--instance', 'i1')).toBe(0);
    expect(parts.asked).toEqual(['admin-drain e2', 'instance i1']);
  });

  it('make a key with its hash without a daemon', async () => {
    const args = ['node', 'nutmegstack', 'keys', 'new', '--output', 'json'];
    expect(await runProgram(args, {}, startDaemon)).toBe(0);
    const { key, hash } = output() as { key: string; hash: string };
    expect(hash).toBe(hashKey(key));
  });

  it('add and remove keys, of which the daemon sees hashes alone', async () => {
    const add = ['keys', 'add', '--organisation', 'rennes', '--class', 'pharmacist'];
    expect(await nutmegstack(...add, '--output', 'json')).toBe(0);
    const { key, hash } = output() as { key: string; hash: string };
    const { keys } = parts.deps.config.current();
    expect(keys[hash]).toMatchObject({ organisation: 'rennes', class: 'pharmacist' });
    expect(JSON.stringify(keys)).not.toContain(key);
    expect(await nutmegstack('keys', 'remove', hash)).toBe(0);
    expect(parts.deps.config.current().keys).not.toHaveProperty(hash);
  });

  it('end with 1 when no daemon can be reached', async () => {
    const env = { NUTMEGSTACK_ADMIN: '127.0.0.1:1', NUTMEGSTACK_KEY: 'operator' };
    const args = ['node', 'nutmegstack', 'drain', '--daemon', 'e2'];
    expect(await runProgram(args, env, startDaemon)).toBe(1);
    expect(errors).toContain('unavailable');
  });
});

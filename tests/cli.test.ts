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
/** Responses that replace those of the daemon for the next requests, in order. */
let overrides: ((res: ServerResponse) => void)[];
let stdout: string;
let stderr: string;

beforeEach(async () => {
  overrides = [];
  stdout = '';
  stderr = '';
  parts = fakeParts(fakeConfig(DOCUMENT));
  const handler = createAdmin(parts.deps);
  server = createServer((req, res) => {
    const respond = overrides.shift();
    if (respond === undefined) handler(req, res);
    else respond(res);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  vi.spyOn(process.stdout, 'write').mockImplementation((text) => {
    stdout += String(text);
    return true;
  });
  vi.spyOn(process.stderr, 'write').mockImplementation((text) => {
    stderr += String(text);
    return true;
  });
  vi.spyOn(console, 'log').mockImplementation((text) => {
    stdout += String(text);
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
  return JSON.parse(stdout) as unknown;
}

describe('the command line', () => {
  it.each(Object.keys(COMMANDS))('prints help for %s', async (name) => {
    expect(await nutmegstack(name, '--help')).toBe(0);
    expect(stdout).toContain(`$ nutmegstack ${name}`);
    for (const { flag } of COMMANDS[name]?.flags ?? []) expect(stdout).toContain(`--${flag}`);
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
  ])('exits with 2 on %j without sending a request', async (args) => {
    expect(await nutmegstack(...args)).toBe(2);
    expect(stderr).toContain('usage');
    expect(parts.calls).toEqual([]);
  });

  it('prints its version', async () => {
    expect(await nutmegstack('version', '--output', 'json')).toBe(0);
    expect(output()).toMatchObject({ version: '0.1.0' });
  });
});

describe('serve', () => {
  it('prints its addresses when ready, and drains on SIGTERM', async () => {
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
  it('submits a document against the version in force', async () => {
    expect(await nutmegstack('apply', 'examples/armor.yaml', '--output', 'json')).toBe(0);
    expect(output()).toMatchObject({ version: 2 });
  });

  it('is rejected when another version is in force', async () => {
    expect(await nutmegstack('apply', 'examples/armor.yaml', '--if-version', '7')).toBe(1);
    expect(stderr).toContain('conflict');
  });

  it('retries with the same change id when a response is lost', async () => {
    const ids: unknown[] = [];
    server.prependListener('request', (req) => ids.push(req.headers['nutmegstack-change-id']));
    overrides = [
      (res) => res.writeHead(200).end(JSON.stringify({ version: 1, document: DOCUMENT })),
      (res) => res.destroy(),
    ];
    expect(await nutmegstack('apply', 'examples/armor.yaml')).toBe(0);
    const sent = ids.filter((id) => id !== undefined);
    expect(sent).toHaveLength(2);
    expect(new Set(sent).size).toBe(1);
  });

  it('exits with 3 when the outcome of the change is unknown', async () => {
    const unknown = { error: { code: 'store-unknown', message: 'lost', outcome: 'unknown' } };
    overrides = [
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
    expect(stdout).toMatch(/^# version 1\ntemplates:\n/);
    stdout = '';
    expect(await nutmegstack('get', '--output', 'json')).toBe(0);
    expect(output()).toEqual({ version: 1, document: DOCUMENT });
  });

  it('show what a file would change', async () => {
    expect(await nutmegstack('diff', 'examples/armor.yaml')).toBe(0);
    expect(stdout).toContain('organisations.brest.replicas.query: 0.8 -> (absent)\n');
    expect(stdout).toContain(`keys.${HASHES.caller}: {"hash"`);
  });

  it('show every daemon', async () => {
    expect(await nutmegstack('status')).toBe(0);
    expect(stdout).toBe(
      'DAEMON  ZONE    STATE  VERSION\ne1      rennes  alive  1\ne2      rennes  alive  1\n',
    );
  });

  it('report every invalid field of a file without a daemon', async () => {
    expect(await nutmegstack('check', 'examples/armor.yaml')).toBe(0);
    expect(await nutmegstack('check', 'package.json')).toBe(1);
    expect(stderr).toContain('scripts: unknown field');
  });
});

describe('changing commands', () => {
  it('drain daemons and instances', async () => {
    expect(await nutmegstack('drain', '--daemon', 'e2')).toBe(0);
    expect(await nutmegstack('drain', '--instance', 'i1')).toBe(0);
    expect(parts.calls).toEqual(['admin-drain e2', 'instance i1']);
  });

  it('create a key and its hash without a daemon', async () => {
    const args = ['node', 'nutmegstack', 'keys', 'new', '--output', 'json'];
    expect(await runProgram(args, {}, startDaemon)).toBe(0);
    const { key, hash } = output() as { key: string; hash: string };
    expect(hash).toBe(hashKey(key));
  });

  it('add and remove keys, sending only hashes to the daemon', async () => {
    const add = ['keys', 'add', '--organisation', 'rennes', '--class', 'pharmacist'];
    expect(await nutmegstack(...add, '--output', 'json')).toBe(0);
    const { key, hash } = output() as { key: string; hash: string };
    const { keys } = parts.deps.config.current();
    expect(keys[hash]).toMatchObject({ organisation: 'rennes', class: 'pharmacist' });
    expect(JSON.stringify(keys)).not.toContain(key);
    expect(await nutmegstack('keys', 'remove', hash)).toBe(0);
    expect(parts.deps.config.current().keys).not.toHaveProperty(hash);
  });

  it('exit with 1 when no daemon is reachable', async () => {
    const env = { NUTMEGSTACK_ADMIN: '127.0.0.1:1', NUTMEGSTACK_KEY: 'operator' };
    const args = ['node', 'nutmegstack', 'drain', '--daemon', 'e2'];
    expect(await runProgram(args, env, startDaemon)).toBe(1);
    expect(stderr).toContain('unavailable');
  });
});

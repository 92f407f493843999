import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { copyFile, mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { createInterface } from 'node:readline';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { COMMANDS } from '../../src/cli/program';
import { startPlatform } from '../../stand-ins/platform/platform';
import { freePort, sha256 } from '../support/system';

interface Ended {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

let folder: string;

beforeAll(async () => {
  // Away from the project, so that no node_modules can be found.
  folder = await mkdtemp(join(tmpdir(), 'nutmegstack-binary-'));
  await copyFile('dist/nutmegstack', join(folder, 'nutmegstack'));
});

afterAll(() => rm(folder, { recursive: true }));

function nutmegstack(...args: string[]): Promise<Ended> {
  return new Promise((done) => {
    const opts = { cwd: folder, env: {} };
    execFile(join(folder, 'nutmegstack'), args, opts, (err, stdout, stderr) => {
      const code = err === null ? 0 : Number(err.code);
      done({ code, stdout, stderr });
    });
  });
}

interface Ready {
  readonly addresses: { readonly admin: string };
}

async function firstReady(stream: NodeJS.ReadableStream): Promise<Ready> {
  for await (const line of createInterface({ input: stream })) {
    const parsed = JSON.parse(line) as Partial<Ready> & { readonly ready?: boolean };
    if (parsed.ready === true) return parsed as Ready;
  }
  throw new Error('ended before it was ready');
}

describe('the binary', () => {
  it('prints its version', async () => {
    const { code, stdout, stderr } = await nutmegstack('version', '--output', 'json');
    expect(code).toBe(0);
    expect(stderr).toBe('');
    expect(JSON.parse(stdout)).toMatchObject({ version: '0.1.0' });
  });

  it.each(Object.keys(COMMANDS))('knows %s', async (name) => {
    const { code, stdout } = await nutmegstack(name, '--help');
    expect(code).toBe(0);
    expect(stdout).toContain(`$ nutmegstack ${name}`);
  });

  it('checks a configuration file', async () => {
    expect(await nutmegstack('check', resolve('examples/armor.yaml'))).toMatchObject({
      code: 0,
      stdout: 'valid\n',
    });
    expect((await nutmegstack('check', resolve('package.json'))).code).toBe(1);
  });

  it('serves, answers operators and stops when drained', async () => {
    const platform = await startPlatform();
    const peers = `127.0.0.1:${await freePort()}`;
    const child = spawn(
      join(folder, 'nutmegstack'),
      [
        ...['serve', '--id', 'e1', '--zone', 'z1', '--platform', platform.address],
        ...['--listen', '127.0.0.1:0', '--admin-listen', '127.0.0.1:0', '--peer-listen', peers],
        ...['--bootstrap-key-hash', sha256('first'), '--drain-wait-ms', '0'],
      ],
      { cwd: folder, env: { NUTMEGSTACK_PEER_SECRET: 'sixteen letters!' } },
    );
    const exited = once(child, 'exit');
    const ready = await firstReady(child.stdout);
    const asked = ['--admin', ready.addresses.admin, '--key', 'first'];
    const document = resolve('examples/armor.yaml');
    expect(await nutmegstack('apply', document, ...asked)).toMatchObject({
      code: 0,
      stdout: 'version 1 accepted\n',
    });
    expect((await nutmegstack('diff', document, ...asked)).stdout).toBe('no differences\n');
    expect((await nutmegstack('status', ...asked)).stdout).toMatch(/^e1 +z1 +alive +1$/m);
    expect((await nutmegstack('drain', '--daemon', 'e1', ...asked)).code).toBe(0);
    expect(await exited).toEqual([0, null]);
    await platform.close();
  });

  it('reports every wrong setting and ends with 2', async () => {
    const { code, stderr } = await nutmegstack('serve', '--listen', 'nowhere');
    expect(code).toBe(2);
    expect(stderr).toContain('--listen (NUTMEGSTACK_LISTEN)');
    expect(stderr).toContain('--platform (NUTMEGSTACK_PLATFORM)');
  });
});

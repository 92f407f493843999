/** Runs the built binary from a folder outside the project. */

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

interface ExitResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

let folder: string;

beforeAll(async () => {
  // Outside the project, so that the binary can't resolve anything from its node_modules.
  folder = await mkdtemp(join(tmpdir(), 'nutmegstack-binary-'));
  await copyFile('dist/nutmegstack', join(folder, 'nutmegstack'));
});

afterAll(() => rm(folder, { recursive: true }));

function nutmegstack(...args: string[]): Promise<ExitResult> {
  return new Promise((done) => {
    const opts = { cwd: folder, env: {} };
    execFile(join(folder, 'nutmegstack'), args, opts, (err, stdout, stderr) => {
      const code = err === null ? 0 : Number(err.code);
      done({ code, stdout, stderr });
    });
  });
}

interface ReadyLine {
  readonly addresses: { readonly admin: string };
}

async function readReadyLine(stream: NodeJS.ReadableStream): Promise<ReadyLine> {
  for await (const line of createInterface({ input: stream })) {
    const parsed = JSON.parse(line) as Partial<ReadyLine> & { readonly ready?: boolean };
    if (parsed.ready === true) return parsed as ReadyLine;
  }
  throw new Error('the binary closed its output before it was ready');
}

describe('the binary', () => {
  it('prints its version', async () => {
    const { code, stdout, stderr } = await nutmegstack('version', '--output', 'json');
    expect(code).toBe(0);
    expect(stderr).toBe('');
    expect(JSON.parse(stdout)).toMatchObject({ version: '0.1.0' });
  });

  it.each(Object.keys(COMMANDS))('has the command %s', async (name) => {
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

  it('serves, answers the operator commands and stops once drained', async () => {
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
    const ready = await readReadyLine(child.stdout);
    const adminArgs = ['--admin', ready.addresses.admin, '--key', 'first'];
    const document = resolve('examples/armor.yaml');
    expect(await nutmegstack('apply', document, ...adminArgs)).toMatchObject({
      code: 0,
      stdout: 'version 1 accepted\n',
    });
    expect((await nutmegstack('diff', document, ...adminArgs)).stdout).toBe('no differences\n');
    expect((await nutmegstack('status', ...adminArgs)).stdout).toMatch(/^e1 +z1 +alive +1$/m);
    expect((await nutmegstack('drain', '--daemon', 'e1', ...adminArgs)).code).toBe(0);
    expect(await exited).toEqual([0, null]);
    await platform.close();
  });

  it('reports every invalid setting and exits with status 2', async () => {
    const { code, stderr } = await nutmegstack('serve', '--listen', 'nowhere');
    expect(code).toBe(2);
    expect(stderr).toContain('--listen (NUTMEGSTACK_LISTEN)');
    expect(stderr).toContain('--platform (NUTMEGSTACK_PLATFORM)');
  });
});

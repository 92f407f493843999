/** Runs the built demo as a process and checks its output, its curl command and its shutdown. */

import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

type Line = Readonly<Record<string, unknown>>;

const lines: Line[] = [];
let demo: ChildProcess;
let exited: Promise<unknown[]>;
let stderrText = '';

function linesOfKind(kind: string): Line[] {
  return lines.filter((line) => line.kind === kind);
}

beforeAll(async () => {
  demo = spawn(process.execPath, ['dist/demo.cjs', '--deployment', 'umurage', '--daemons', '4']);
  exited = once(demo, 'exit');
  demo.stderr?.on('data', (part: Buffer) => {
    stderrText += part.toString('utf8');
  });
  await new Promise<void>((resolve, reject) => {
    void exited.then(() => {
      reject(new Error(`the demo exited before it served requests: ${stderrText}`));
    });
    createInterface({ input: demo.stdout ?? process.stdin }).on('line', (text) => {
      const line = JSON.parse(text) as Line;
      lines.push(line);
      if (line.kind === 'serving') resolve();
    });
  });
}, 120_000);

afterAll(() => {
  demo.kill('SIGKILL');
});

describe('the demo', () => {
  it('prints every address and a key for each organisation', () => {
    expect(linesOfKind('platform')).toHaveLength(1);
    expect(linesOfKind('engine')).toHaveLength(3);
    expect(linesOfKind('service')).toHaveLength(3);
    expect(new Set(linesOfKind('daemon').map(({ zone }) => zone)).size).toBe(3);
    expect(new Set(linesOfKind('key').map(({ organisation }) => organisation)).size).toBe(10);
  });

  it('prints a curl command that gets a complete answer', async () => {
    const { command } = linesOfKind('curl')[0] as { command: string };
    const curl = spawn('sh', ['-c', `${command} --silent`]);
    let text = '';
    curl.stdout.on('data', (part: Buffer) => {
      text += part.toString('utf8');
    });
    await once(curl, 'close');
    expect(text.trimEnd().endsWith('data: [DONE]')).toBe(true);
  });

  it('stops everything on Ctrl-C', async () => {
    demo.kill('SIGINT');
    expect(await exited).toEqual([0, null]);
    const address = String(linesOfKind('daemon')[0]?.callers);
    await expect(fetch(`http://${address}/healthz`)).rejects.toThrow();
    expect(lines.at(-1)).toEqual({ kind: 'stopped' });
  });
});

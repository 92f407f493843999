/** `explain`: collects the log lines of one request and their context from several daemons. */

import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, describe, expect, it } from 'vitest';

import { EXIT } from '../src/cli/command';
import type { CommandContext } from '../src/cli/command';
import { explain as explainCommand } from '../src/cli/commands/explain';
import { explain, parseLogLine } from '../src/core/explain/explain';
import type { LogLine } from '../src/core/explain/log-line';

const START = Date.parse('2026-01-01T00:00:00.000Z');
/** How far the clock of daemon b is ahead. */
const AHEAD_MS = 5_000;

function line(seconds: number, daemon: string, message: string, fields: object): string {
  const at = new Date(START + seconds * 1_000 + (daemon === 'b' ? AHEAD_MS : 0)).toISOString();
  return JSON.stringify({ at, level: 'info', message, daemon, ...fields });
}

const GROUP = { group: 'group-1', model: 'large', head: 's1' };
const LOG = [
  line(1, 'a', 'group serves', GROUP),
  line(1.001, 'b', 'group serves', GROUP),
  line(2, 'a', 'group serves', { group: 'group-2', model: 'small', head: 's9' }),
  line(2.001, 'b', 'group serves', { group: 'group-2', model: 'small', head: 's9' }),
  line(8, 'b', 'lease taken', { fencing: 3 }),
  line(9, 'a', 'store lost', { collection: 'servers' }),
  line(9, 'b', 'store lost', { collection: 'servers' }),
  line(10, 'b', 'members asked', { group: 'group-1', lost: 's2 s3' }),
  line(10.2, 'a', 'request ended', {
    requestId: 'r1',
    outcome: 'torn',
    server: 's1',
    ms: 900,
    model: 'large',
  }),
  line(10.3, 'a', 'request ended', { requestId: 'r2', outcome: 'served', server: 's9', ms: 50 }),
  line(30, 'b', 'ending group', { group: 'group-1' }),
];

function read(texts: readonly string[]): LogLine[] {
  return texts.flatMap((text) => parseLogLine(text) ?? []);
}

describe('the explanation of a request', () => {
  it('has its lines and those of the groups and servers involved, on one clock', () => {
    const found = explain(read(LOG), 'r1');
    expect(found.map(({ message, daemon }) => `${daemon} ${message}`)).toEqual([
      'a group serves',
      'b group serves',
      'b lease taken',
      'a store lost',
      'b members asked',
      'a request ended',
    ]);
    const asked = found.find(({ message }) => message === 'members asked');
    expect(Math.abs((asked?.commonAt ?? 0) - (START + 10_000))).toBeLessThanOrEqual(2);
  });

  it('shows the groups of its model if it was sent to none', () => {
    const refused = line(10.2, 'a', 'request ended', {
      requestId: 'r3',
      outcome: 'refused',
      model: 'large',
      ms: 700,
    });
    const found = explain(read([...LOG, refused]), 'r3');
    expect(found.filter(({ fields }) => fields.group === 'group-1')).toHaveLength(3);
    expect(found.some(({ fields }) => fields.group === 'group-2')).toBe(false);
  });

  it('is empty for a request that no line names', () => {
    expect(explain(read(LOG), 'unknown')).toEqual([]);
  });

  it.each([
    '',
    'no JSON',
    '{"message":"without a time"}',
    '{"at":"never","message":"x"}',
    '{"at":',
  ])('skips a line that no daemon wrote: %j', (text) => {
    expect(parseLogLine(text)).toBeUndefined();
  });

  it('parses lines with the prefix of a log collector', () => {
    expect(parseLogLine(`  12.3 front-1 ${LOG[0]}`)).toMatchObject({ daemon: 'a' });
  });
});

describe('the explain command', () => {
  const dir = mkdtempSync(join(tmpdir(), 'nutmegstack-explain-'));
  const files = ['a', 'b'].map((daemon) => {
    const path = join(dir, daemon);
    writeFileSync(path, LOG.filter((text) => text.includes(`"daemon":"${daemon}"`)).join('\n'));
    return path;
  });
  afterAll(() => {
    rmSync(dir, { recursive: true });
  });

  const run = (args: readonly string[], flags: CommandContext['flags'] = {}) =>
    explainCommand({
      args,
      flags,
      env: {},
      startDaemon: () => Promise.reject(new Error('not to be started')),
    });

  it('prints one line per log line, marks own ones, and shows seconds before the end', async () => {
    const { exit, text = '' } = await run(['r1', ...files]);
    expect(exit).toBe(EXIT.done);
    const lines = text.split('\n');
    expect(lines).toHaveLength(6);
    expect(lines.at(-1)).toMatch(/^> +0\.000 s {2}a {2}request ended {2}outcome=torn server=s1/);
  });

  it('shows a shorter context with --before', async () => {
    const { text = '' } = await run(['r1', ...files], { before: '1' });
    expect(text.split('\n')).toHaveLength(3);
  });

  it('reports usage errors, unreadable logs and unknown requests', async () => {
    expect((await run([])).exit).toBe(EXIT.usage);
    expect((await run(['r1', join(dir, 'none')])).exit).toBe(EXIT.usage);
    expect((await run(['r1', ...files], { before: 'long' })).exit).toBe(EXIT.usage);
    expect(await run(['unknown', ...files])).toMatchObject({
      exit: EXIT.refused,
      error: { code: 'not-found' },
    });
  });
});

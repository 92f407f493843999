/** `report`: summarises the logs of several daemons, as JSON, text and SVG. */

import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, describe, expect, it } from 'vitest';

import { EXIT } from '../src/cli/command';
import type { CommandContext } from '../src/cli/command';
import { report as reportCommand } from '../src/cli/commands/report';
import { parseLogLine } from '../src/core/explain/explain';
import { createReport } from '../src/core/report/report';
import type { Report } from '../src/core/report/types';

const START = Date.parse('2026-01-01T00:00:00.000Z');
/** How far the clock of daemon b is ahead. */
const AHEAD_MS = 5_000;

function line(seconds: number, daemon: string, message: string, fields: object): string {
  const at = new Date(START + seconds * 1_000 + (daemon === 'b' ? AHEAD_MS : 0)).toISOString();
  return JSON.stringify({ at, level: 'info', message, daemon, ...fields });
}

function ended(seconds: number, outcome: string, fields: object = {}): string {
  const own = { requestId: `r${seconds}`, model: 'large', ms: 100, outcome };
  return line(seconds, 'a', 'request ended', { ...own, ...fields });
}

const FIRST = { group: 'g1', model: 'large' };
const SECOND = { group: 'g2', model: 'large' };
const LOG = [
  line(0, 'a', 'started', {}),
  line(0.5, 'a', 'forming group', { ...FIRST, members: 's1 s2' }),
  line(2, 'a', 'group serves', { ...FIRST, head: 's1' }),
  line(2, 'b', 'group serves', { ...FIRST, head: 's1' }),
  line(2.5, 'a', 'configuration in force', { version: 4, source: 'store' }),
  line(3.75, 'b', 'configuration in force', { version: 4, source: 'peer a' }),
  ended(3, 'served'),
  ended(3.5, 'served', { ms: 300, targetMs: 150, waitedMs: 40, firstEventMs: 190 }),
  line(3.6, 'a', 'work of a model', {
    ...{ model: 'large', groups: 1, suspects: 0, places: 18, running: 18, queued: 7, free: 0 },
    ...{ daemons: 2, waitingDaemons: 1, waiting: 3 },
  }),
  line(4, 'b', 'store lost', { collection: 'op' }),
  line(4, 'b', 'store lost', { collection: 'servers' }),
  line(6, 'b', 'store regained', { collection: 'op', awayMs: 3_000 }),
  line(6.5, 'a', 'era of the store', { before: 0, era: 1, source: 'load' }),
  line(7, 'a', 'era of the store', { before: 1, era: 2, source: 'poll' }),
  line(7.25, 'b', 'era of the store', { before: 1, era: 2, source: 'peer a' }),
  line(10, 'a', 'group serves no more', { ...FIRST }),
  line(10, 'b', 'group serves no more', { ...FIRST }),
  ended(10.5, 'refused', { reason: 'no group serves the model' }),
  ended(10.75, 'refused', { reason: 'no group serves the model' }),
  line(11, 'a', 'request refused', { requestId: 'x', status: 401, reason: 'unknown API key' }),
  line(11.5, 'a', 'forming group', { ...SECOND, members: 's3 s4' }),
  line(14, 'a', 'group serves', { ...SECOND, head: 's3' }),
  line(14, 'b', 'group serves', { ...SECOND, head: 's3' }),
  line(15, 'b', 'lease taken', { fencing: 2 }),
  ended(16, 'served', { ms: 200 }),
  line(20, 'a', 'stopped', {}),
];

function reportOf(texts: readonly string[]): Report {
  return createReport(texts.flatMap((text) => parseLogLine(text) ?? []));
}

describe('a report of the logs of several daemons', () => {
  const report = reportOf(LOG);

  it('orders all logs on one clock', () => {
    expect(report).toMatchObject({ daemons: ['a', 'b'], startedAt: START, lastsMs: 20_000 });
    expect(report.leaders).toEqual([{ daemon: 'b', at: 15_000 }]);
  });

  it('shows when the store returned from an older copy, and how long until all daemons saw it', () => {
    expect(report.returns).toEqual([{ era: 2, at: 7_000, spreadMs: 250, daemons: 2 }]);
  });

  it('shows how many requests ran in slots, waited for one, or queued in engines', () => {
    expect(report.work).toEqual([
      {
        ...{ at: 3_600, model: 'large', groups: 1, places: 18 },
        ...{ running: 18, queued: 7, free: 0, waiting: 3 },
      },
    ]);
  });

  it('shows how many requests were served, how fast, and why the others were not', () => {
    expect(report.requests).toEqual([
      {
        ...{ name: 'large', ended: 5, served: 3, medianMs: 200, p99Ms: 300 },
        ...{ late: 1, medianLateWaitMs: 40, medianLateFirstMs: 150 },
      },
      {
        ...{ name: 'no route', ended: 1, served: 0, medianMs: 0, p99Ms: 0 },
        ...{ late: 0, medianLateWaitMs: 0, medianLateFirstMs: 0 },
      },
    ]);
    expect(report.reasons).toEqual([
      {
        outcome: 'refused',
        reason: 'no group serves the model',
        count: 2,
        firstAt: 10_500,
        lastAt: 10_750,
      },
      { outcome: 'denied', reason: 'unknown API key', count: 1, firstAt: 11_000, lastAt: 11_000 },
    ]);
    expect(report.seconds.find(({ at }) => at === 10_000)?.outcomes).toEqual({ refused: 2 });
  });

  it('shows how long a model had no group, and which step took the time', () => {
    expect(report.models).toEqual([
      {
        model: 'large',
        formed: 2,
        lost: 1,
        medianFormingMs: 2_500,
        longestFormingMs: 2_500,
        medianUndecidedMs: 1_500,
        unservedMs: 4_000,
      },
    ]);
  });

  it('shows when the store was unavailable, and outages whose end is not in the logs', () => {
    expect(report.outages).toEqual([
      { daemon: 'b', collection: 'op', at: 4_000, ms: 3_000 },
      { daemon: 'b', collection: 'servers', at: 4_000, ms: undefined },
    ]);
  });

  it('shows how long a configuration took to be in force on all daemons', () => {
    expect(report.versions).toEqual([{ version: 4, at: 2_500, spreadMs: 1_250, daemons: 2 }]);
  });
});

describe('the report command', () => {
  const dir = mkdtempSync(join(tmpdir(), 'nutmegstack-report-'));
  const log = join(dir, 'all.log');
  writeFileSync(log, ['not a line of a daemon', ...LOG].join('\n'));
  afterAll(() => {
    rmSync(dir, { recursive: true });
  });

  const run = (args: readonly string[], flags: CommandContext['flags'] = {}) =>
    reportCommand({ args, flags, env: {}, startDaemon: () => Promise.reject(new Error('unused')) });

  it('prints tables and draws the outcomes of requests', async () => {
    const svg = join(dir, 'day.svg');
    const { exit, text } = await run([log], { svg });
    expect(exit).toBe(EXIT.done);
    expect(text).toContain('2 daemons, 20.0 s from 2026-01-01T00:00:00.000Z');
    expect(text).toMatch(/large +2 +1 +1\.5 s +2\.5 s +2\.5 s +4\.0 s/);
    expect(text).toMatch(/4\.0 s +not seen back +b +servers/);
    const drawn = readFileSync(svg, 'utf8');
    expect(drawn).toMatch(/^<svg /);
    for (const outcome of ['served', 'refused', 'denied']) expect(drawn).toContain(outcome);
  });

  it('reports logs that are unreadable or empty, and an SVG path that is not writable', async () => {
    expect((await run([join(dir, 'none.log')])).exit).toBe(EXIT.usage);
    const empty = join(dir, 'empty.log');
    writeFileSync(empty, 'nothing\n');
    expect((await run([empty])).exit).toBe(EXIT.refused);
    expect((await run([log], { svg: join(dir, 'no', 'such.svg') })).exit).toBe(EXIT.usage);
  });
});

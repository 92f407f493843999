/** End to end: a complete system of separate processes, configured through the command line. */

import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import * as z from 'zod';

import { answerText } from '../stand-ins/engine/answer';
import { until } from './support/processes';
import {
  CALLER_KEY,
  chat,
  documentFor,
  OPERATOR_KEY,
  startSystem,
  untilServing,
} from './support/system';
import type { System } from './support/system';

const run = promisify(execFile);
const statusBody = z.object({
  control: z.object({ groups: z.array(z.object({ routable: z.boolean() })) }),
});
const MESSAGES = [{ role: 'user', content: 'is amoxicillin on the shelves of Lorient?' }];

let system: System;

/** Submits the document with the command line tool. */
async function apply(document: object): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'nutmegstack-'));
  const file = join(folder, 'config.yaml');
  await writeFile(file, JSON.stringify(document));
  const admin = system.daemons[0]?.admin ?? '';
  const args = ['dist/nutmegstack.cjs', 'apply', file, '--admin', admin, '--output', 'json'];
  try {
    const { stdout } = await run(process.execPath, args, {
      env: { ...process.env, NUTMEGSTACK_KEY: OPERATOR_KEY },
    });
    return stdout;
  } finally {
    await rm(folder, { recursive: true });
  }
}

function textOf(stream: string): string {
  const events = stream.split('\n\n').filter((event) => event.startsWith('data: {'));
  return events
    .map((event) => {
      const { choices } = JSON.parse(event.slice('data: '.length)) as {
        choices: { delta: { content?: string } }[];
      };
      return choices[0]?.delta.content ?? '';
    })
    .join('');
}

beforeAll(async () => {
  system = await startSystem({ daemons: 3, domains: [4, 4] });
  await apply(documentFor(system, 2));
  await untilServing(system);
});

afterAll(() => system.stop());

describe('a system of separate processes', () => {
  it('answers a chat completion through each daemon', async () => {
    for (const daemon of system.daemons) {
      const res = await chat(daemon, { messages: MESSAGES });
      expect(res.status).toBe(200);
      expect(res.headers.get('nutmegstack-outcome')).toBe('done');
      const { choices } = (await res.json()) as { choices: { message: { content: string } }[] };
      expect(choices[0]?.message.content).toBe(answerText({ model: 'query', messages: MESSAGES }));
    }
  });

  it('streams a complete answer through each daemon', async () => {
    for (const daemon of system.daemons) {
      const res = await chat(daemon, { messages: MESSAGES, stream: true });
      const text = await res.text();
      expect(text.trimEnd().endsWith('data: [DONE]')).toBe(true);
      expect(textOf(text)).toBe(answerText({ model: 'query', messages: MESSAGES }));
    }
  });

  it('makes every group routable on every daemon, from the reports of its peers', async () => {
    const routable = async (admin: string): Promise<readonly boolean[]> => {
      const headers = { authorization: `Bearer ${OPERATOR_KEY}` };
      const res = await fetch(`http://${admin}/admin/v1/status`, { headers });
      const { control } = statusBody.parse(await res.json());
      return control.groups.map((group) => group.routable);
    };
    for (const { admin, id } of system.daemons) {
      await until(async () => {
        const groups = await routable(admin);
        return groups.length === 2 && groups.every(Boolean) ? true : undefined;
      }, `${id} sees both groups`);
    }
  });

  it('runs a non-repeatable service call once, regardless of which daemons receive it', async () => {
    for (const daemon of system.daemons) {
      const res = await fetch(`http://${daemon.callers}/services/ledger/reservations`, {
        method: 'POST',
        headers: { authorization: `Bearer ${CALLER_KEY}`, 'idempotency-key': 'reserve-1' },
        body: '{"line":"amoxicillin"}',
      });
      expect(res.status).toBe(200);
      expect(res.headers.get('nutmegstack-outcome')).toBe('done');
    }
    const record = await fetch(`http://${system.service}/record`);
    const { executions } = (await record.json()) as { executions: Record<string, number> };
    expect(Object.values(executions)).toEqual([1]);
  });

  it('stops a daemon on SIGTERM with exit code 0', async () => {
    expect(await system.daemons.at(-1)?.process.stop()).toBe(0);
  });
});

/** Exported spans of a retried request, and secrecy of prompts and keys in logs and metrics. */

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { callJson } from '../stand-ins/shared/client';
import { listen, readJson, sendJson } from '../stand-ins/shared/server';
import type { Listening } from '../stand-ins/shared/server';
import { until } from './support/processes';
import {
  CALLER_KEY,
  chat,
  documentFor,
  readMetrics,
  startSystem,
  submit,
  untilServing,
} from './support/system';
import type { System } from './support/system';

interface OtlpSpan {
  readonly name: string;
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId?: string;
  readonly status: { readonly code: number };
}

interface OtlpBody {
  readonly resourceSpans: readonly {
    readonly scopeSpans: readonly { readonly spans: readonly OtlpSpan[] }[];
  }[];
}

/** Prefix of the trace ids of the test's own requests. */
const TRACE_PREFIX = '0af7651916cd43dd8448eb211c8031';
const ERROR = 2;
const PROMPT = 'is insulin on the shelves of Quimper?';

const spans: OtlpSpan[] = [];
let collector: Listening;
let system: System;

beforeAll(async () => {
  collector = await listen(
    async (req, res) => {
      const { resourceSpans } = (await readJson(req)) as OtlpBody;
      for (const { scopeSpans } of resourceSpans) {
        for (const scope of scopeSpans) spans.push(...scope.spans);
      }
      sendJson(res, 200, {});
    },
    { host: '127.0.0.1', port: 0 },
  );
  const otlpUrl = `http://${collector.address}/v1/traces`;
  system = await startSystem({
    daemons: 1,
    domains: [2, 2],
    daemonArgs: ['--otlp-url', otlpUrl, '--log-level', 'debug'],
  });
  const [daemon] = system.daemons;
  if (daemon) await submit(daemon, documentFor(system, 2, 2));
  await untilServing(system);
  // A retry needs the second group, which loads after the first.
  await until(
    async () => ((await haveAllGroupsRun()) ? true : undefined),
    'both groups run requests',
  );
});

afterAll(async () => {
  await system.stop();
  await collector.close();
});

let promptCount = 0;

/** Sends a request and returns whether each group has run at least one so far. */
async function haveAllGroupsRun(): Promise<boolean> {
  const [daemon] = system.daemons;
  // A different prompt each time: the same one would be routed to the group that caches its prefix.
  const messages = [{ role: 'user', content: `${promptCount++} ${PROMPT}` }];
  if (daemon) await (await chat(daemon, { messages })).text();
  const ran = system.engines.map(async ({ members }) => {
    const records = await Promise.all(
      members.map(({ address }) => callJson({ address, method: 'GET', path: '/record' })),
    );
    return records.some(({ body }) => (body as { runs: unknown[] }).runs.length > 0);
  });
  return (await Promise.all(ran)).every(Boolean);
}

function traceOf(id: string): OtlpSpan[] {
  return spans.filter(({ traceId }) => traceId === id);
}

/** Whether the trace is complete and contains two attempts. */
function isRetried(trace: readonly OtlpSpan[]): boolean {
  const names = trace.map(({ name }) => name);
  return names.includes('entry') && names.filter((name) => name === 'attempt').length === 2;
}

/** Sends a request within the trace and expects success. */
async function sendTraced(traceId: string): Promise<void> {
  const [daemon] = system.daemons;
  if (daemon === undefined) return;
  const body = { messages: [{ role: 'user', content: `${traceId} ${PROMPT}` }] };
  const res = await chat(daemon, body, { traceparent: `00-${traceId}-b7ad6b7169203331-01` });
  expect(res.status).toBe(200);
  await res.text();
}

describe('a request that was retried', () => {
  it("has a span for each hop, as descendants of the caller's span", async () => {
    // One group answers with the id of another attempt, so its answers are rejected and retried.
    const address = system.engines[0]?.members[0]?.address ?? '';
    const body = { wrongAttempt: 1000 };
    await callJson({ address, method: 'POST', path: '/faults', body });
    for (let i = 10; i < 30; i += 1) await sendTraced(`${TRACE_PREFIX}${i}`);

    const retried = await until(() => {
      const ids = [...new Set(spans.map(({ traceId }) => traceId))];
      return Promise.resolve(ids.map(traceOf).find(isRetried));
    }, 'the spans of a retried request are exported');

    const entry = retried.find(({ name }) => name === 'entry');
    expect(entry?.parentSpanId).toBe('b7ad6b7169203331');
    const below = retried.filter((span) => span !== entry);
    expect(below.every(({ parentSpanId }) => parentSpanId === entry?.spanId)).toBe(true);
    expect(new Set(below.map(({ name }) => name))).toEqual(
      new Set(['admission', 'routing', 'attempt']),
    );
    const attempts = below.filter(({ name }) => name === 'attempt');
    expect(attempts.filter(({ status }) => status.code === ERROR)).toHaveLength(1);
  });
});

describe('logs and metrics', () => {
  it('contain neither prompts nor keys', async () => {
    const [daemon] = system.daemons;
    const logs = daemon?.process.lines.join('\n') ?? '';
    const metrics = await readMetrics(daemon?.admin ?? '');
    for (const text of [logs, metrics, JSON.stringify(spans)]) {
      expect(text).not.toContain('insulin');
      expect(text).not.toContain(CALLER_KEY);
    }
    for (const line of logs.split('\n')) {
      expect(JSON.parse(line)).toMatchObject({ level: expect.any(String) as string });
    }
  });
});

import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import { createLogger } from '../src/adapters/telemetry/logger';
import { createMetrics } from '../src/adapters/telemetry/metrics';
import { createTracer } from '../src/adapters/telemetry/tracer';
import { readJson } from '../stand-ins/shared/server';

describe('metrics', () => {
  it('render counters and gauges with labels in the Prometheus text format', async () => {
    const metrics = createMetrics({ ofProcess: false });
    metrics.count('requests_total', { outcome: 'done' });
    metrics.count('requests_total', { outcome: 'done' }, 2);
    metrics.count('requests_total', { outcome: 'unknown', class: 'urgent' });
    metrics.gauge('in_flight', 7);
    const text = await metrics.render();
    expect(text).toContain('# TYPE requests_total counter');
    expect(text).toContain('requests_total{outcome="done"} 3');
    expect(text).toContain('requests_total{outcome="unknown",class="urgent"} 1');
    expect(text).toContain('in_flight 7');
  });

  it('render latencies as summaries with quantiles, sum and count', async () => {
    const metrics = createMetrics({ ofProcess: false, now: () => 0 });
    for (let ms = 1; ms <= 100; ms += 1) metrics.observe('first_token_ms', ms, { model: 'm' });
    const text = await metrics.render();
    expect(text).toContain('# TYPE first_token_ms summary');
    expect(text).toContain('first_token_ms_count{model="m"} 100');
    expect(text).toContain('first_token_ms_sum{model="m"} 5050');
    const p95 = /first_token_ms\{model="m",quantile="0.95"\} ([\d.]+)/.exec(text)?.[1];
    expect(Math.abs(Number(p95) - 95)).toBeLessThan(1);
  });

  it('drop old latencies from the quantiles, but not from the count', async () => {
    let now = 0;
    const metrics = createMetrics({ ofProcess: false, now: () => now });
    metrics.observe('ms', 500);
    now = 200_000;
    metrics.observe('ms', 5);
    const text = await metrics.render();
    expect(text).toMatch(/ms\{quantile="0.999"\} 5(\.\d+)?\n/);
    expect(text).toContain('ms_count 2');
  });

  it('limit the label sets of a metric and count the rest as overflow', async () => {
    const metrics = createMetrics({ ofProcess: false });
    for (let i = 0; i < 5000; i += 1) metrics.count('c', { id: String(i) });
    const lines = (await metrics.render()).split('\n');
    expect(lines.filter((line) => line.startsWith('c{')).length).toBeLessThanOrEqual(2001);
    expect(lines).toContain('c{overflow="true"} 3000');
  });
});

describe('logger', () => {
  it('writes JSON lines at or above its level, without secret fields', () => {
    const lines: string[] = [];
    const write = (line: string): void => {
      lines.push(line);
    };
    const log = createLogger({ level: 'info', fields: { daemon: 'e1' }, write });
    log.debug('unseen');
    log.info('request ended', { requestId: 'r1', step: 'send', key: 'nk-1' });
    for (let i = 0; i < 20; i += 1) log.warn('again');
    expect(lines).toHaveLength(21);
    const first = JSON.parse(lines[0] ?? '') as Record<string, unknown>;
    expect(first).toMatchObject({
      level: 'info',
      message: 'request ended',
      daemon: 'e1',
      requestId: 'r1',
      step: 'send',
    });
    expect(first).not.toHaveProperty('key');
  });
});

interface OtlpSpan {
  readonly name: string;
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId?: string;
  readonly status: { readonly code: number; readonly message?: string };
}

describe('tracer', () => {
  const CALLER = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';
  const collected: OtlpSpan[] = [];
  const server = createServer((req, res) => {
    void readJson(req).then((body) => {
      const { resourceSpans } = body as {
        resourceSpans: { scopeSpans: { spans: OtlpSpan[] }[] }[];
      };
      collected.push(
        ...resourceSpans.flatMap(({ scopeSpans }) => scopeSpans.flatMap(({ spans }) => spans)),
      );
      res.writeHead(200, { 'content-type': 'application/json' }).end('{}');
    });
  });

  afterEach(() => {
    server.close();
  });

  it('exports spans as descendants of the span of the caller', async () => {
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const otlpUrl = `http://127.0.0.1:${port}/v1/traces`;
    const tracer = createTracer({ otlpUrl, service: 'nutmegstack' });
    const entry = tracer.start('entry', CALLER);
    const attempt = entry.child('attempt');
    expect(attempt.traceparent).toMatch(/^00-0af7651916cd43dd8448eb211c80319c-[\da-f]{16}-01$/);
    attempt.set('peer', '127.0.0.1:1');
    attempt.end('torn');
    entry.end();
    await tracer.close();
    const [first, second] = collected;
    expect(first).toMatchObject({ name: 'attempt', parentSpanId: second?.spanId });
    expect(first?.status).toMatchObject({ code: 2, message: 'torn' });
    expect(second).toMatchObject({ name: 'entry', parentSpanId: 'b7ad6b7169203331' });
  });

  it('propagates the sampling decision of the caller when nothing is exported', () => {
    const tracer = createTracer({ service: 'nutmegstack' });
    expect(tracer.start('entry', CALLER).traceparent).toMatch(/-01$/);
    expect(tracer.start('entry').traceparent).toMatch(/^00-[\da-f]{32}-[\da-f]{16}-00$/);
  });

  it('starts a new trace if the header is malformed', () => {
    const tracer = createTracer({ service: 'nutmegstack' });
    expect(tracer.start('entry', 'rubbish').traceparent).toMatch(/^00-[\da-f]{32}-/);
  });
});

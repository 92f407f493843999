/** Spans and log lines of a request. */

import { afterEach, expect, it } from 'vitest';

import type { Logger } from '../src/ports/runtime';
import type { Span, Tracer } from '../src/ports/telemetry';
import { sendChat } from './support/requests-client';
import { createEngine, refuse, breakConnection } from './support/requests-engine';
import { KEYS, createFixture, fakeGroups, testGroup } from './support/requests-fixture';

const cleanups: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

interface Recorded {
  readonly name: string;
  readonly parent: string;
  readonly attributes: Record<string, unknown>;
}

function recordingTracer(): { readonly tracer: Tracer; readonly spans: Recorded[] } {
  const spans: Recorded[] = [];
  const span = (name: string, parent: string): Span => {
    const recorded: Recorded = { name, parent, attributes: {} };
    spans.push(recorded);
    return {
      traceparent: `00-${'1'.repeat(32)}-${'3'.repeat(16)}-01`,
      set: (attribute, value) => (recorded.attributes[attribute] = value),
      child: (child) => span(child, name),
      end: () => undefined,
    };
  };
  return { spans, tracer: { start: (name, parent = '') => span(name, parent) } };
}

it('a request has a span for each hop, and neither prompt nor API key in logs or spans', async () => {
  const engines = await Promise.all([createEngine(refuse), createEngine(breakConnection)]);
  const groups = fakeGroups(engines.map(({ address }, i) => testGroup(`g${i}`, address)));
  const { tracer, spans } = recordingTracer();
  const lines: string[] = [];
  const log = (...args: unknown[]): void => {
    lines.push(JSON.stringify(args));
  };
  const logger: Logger = { debug: log, info: log, warn: log, error: log };
  const fixture = await createFixture({ groups, tracer, logger });
  cleanups.push(fixture.close, ...engines.map((engine) => engine.close));

  const traceparent = `00-${'a'.repeat(32)}-${'b'.repeat(16)}-01`;
  const messages = [{ role: 'user', content: 'a secret prompt' }];
  const body = JSON.stringify({ model: 'pharmacy', messages });
  const response = await sendChat(fixture.url, {}, { body, headers: { traceparent } });
  expect(response.headers['nutmegstack-outcome']).toBe('unknown');

  expect(spans[0]).toMatchObject({ name: 'entry', parent: traceparent });
  expect(spans.filter(({ name }) => name === 'attempt')).toHaveLength(2);
  const below = spans.slice(1);
  expect(new Set(below.map(({ parent }) => parent))).toEqual(new Set(['entry']));
  expect(new Set(below.map(({ name }) => name))).toEqual(
    new Set(['admission', 'routing', 'attempt']),
  );
  const sent = engines.flatMap(({ calls }) => calls.map(({ req }) => req.headers.traceparent));
  expect(sent.every((each) => each?.includes('3333'))).toBe(true);
  const recordedText = JSON.stringify([lines, spans]);
  expect(lines.length).toBeGreaterThan(0);
  expect(recordedText).not.toContain('secret');
  expect(recordedText).not.toContain(KEYS.armor);
});

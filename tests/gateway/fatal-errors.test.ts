import { afterEach, describe, expect, it } from 'vitest';

import { logFatalErrors } from '../../src/adapters/telemetry/fatal-errors';

interface Line {
  readonly message: string;
  readonly fields: Record<string, unknown>;
}

let stop: () => void = () => undefined;

afterEach(() => {
  stop();
});

function throwAs(origin: NodeJS.UncaughtExceptionOrigin, thrown: unknown): void {
  for (const listener of process.listeners('uncaughtExceptionMonitor'))
    listener(thrown as Error, origin);
}

function startLogging(): Line[] {
  const lines: Line[] = [];
  stop = logFatalErrors(
    {},
    { error: (message, fields) => lines.push({ message, fields: fields ?? {} }) },
  );
  return lines;
}

describe('a fatal error', () => {
  // Guards against a process that ends by an error and looks like one that was killed.
  it('is a log line that says where it was thrown', () => {
    const lines = startLogging();
    throwAs('unhandledRejection', new RangeError('port'));
    expect(lines).toHaveLength(1);
    const [{ message, fields } = { message: '', fields: {} }] = lines;
    expect(message).toBe('fatal error, the process ends');
    expect(fields).toMatchObject({ origin: 'unhandledRejection', name: 'RangeError' });
    expect(fields.frames).toContain('fatal-errors.test');
  });

  it('does not bring what a caller sent into the log', () => {
    const lines = startLogging();
    const thrown = new SyntaxError('Unexpected token, "my secret prompt" is not valid JSON');
    throwAs('uncaughtException', thrown);
    expect(JSON.stringify(lines)).not.toContain('secret prompt');
  });

  it('may be anything that is thrown', () => {
    const lines = startLogging();
    throwAs('uncaughtException', 'text');
    expect(lines[0]?.fields).toMatchObject({ origin: 'uncaughtException' });
  });
});

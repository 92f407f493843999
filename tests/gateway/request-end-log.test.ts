import type { ServerResponse } from 'node:http';

import { describe, expect, it } from 'vitest';

import { createLogger } from '../../src/adapters/telemetry/logger';
import { logRequestEnd } from '../../src/app/gateway/exchange';
import type { Exchange } from '../../src/app/gateway/exchange';
import { at, makeContext } from './support';

/** The log line of a request that its handler gave up, whose response is in this state. */
function lineOf(res: Partial<ServerResponse>): Record<string, unknown> {
  let line: Record<string, unknown> = {};
  const write = (text: string): void => {
    line = JSON.parse(text) as Record<string, unknown>;
  };
  const ctx = makeContext({ logger: createLogger({ write }) });
  const gone = AbortSignal.abort(new Error('end of the shutdown'));
  const exchange = {
    ...{ res, gone, arrivedAt: at(0), readAt: at(0), deadline: at(0), configVersion: 1 },
    ...{ facts: {}, caller: { kind: 'public' }, route: { name: 'r', kind: 'safe' } },
  } as unknown as Exchange;
  logRequestEnd(ctx, exchange, { outcome: 'caller-gone', status: 0, attempts: 1 });
  return line;
}

describe('the log line of a request that was given up', () => {
  // Guards against a caller who is blamed for what the daemon ended itself.
  it('names the answer and the reason if the daemon has answered it', () => {
    expect(lineOf({ writableEnded: true, statusCode: 502 })).toMatchObject({
      ...{ outcome: 'failed', status: 502, reason: 'end of the shutdown' },
    });
    expect(lineOf({ writableEnded: true, statusCode: 503 })).toMatchObject({ outcome: 'refused' });
  });

  it('names the caller if there is no whole answer', () => {
    const expected = { outcome: 'caller-gone', status: 0 };
    expect(lineOf({ writableEnded: false, statusCode: 200 })).toMatchObject(expected);
  });
});

/** Callers of streams in tests without a network. */

import type { Exchange } from '../../src/app/gateway/exchange';
import type { Route } from '../../src/core/gateway/types';
import { later } from '../../src/core/ids';
import type { MonoTime } from '../../src/core/ids';
import { SERVICE, SMALL } from './support';

/** Time of each request until its deadline, milliseconds. */
export const DEADLINE_MS = 20_000;

/** What a caller receives. */
export interface CallerView {
  readonly ids: () => readonly number[];
  readonly text: () => string;
  readonly state: () => 'open' | 'whole' | 'torn';
  readonly status: () => number | undefined;
  /** Closes the caller's connection. */
  readonly leave: () => void;
  /** From now on the caller reads nothing. */
  readonly stopReading: () => void;
}

/** A caller without a network, and its request, which arrives `now`. */
export function createCaller(id: string, route: Route, now: MonoTime) {
  const gone = new AbortController();
  const received: Buffer[] = [];
  let state: 'open' | 'whole' | 'torn' = 'open';
  let status: number | undefined;
  const res = {
    statusCode: 200,
    headersSent: false,
    chunkedEncoding: true,
    writableLength: 0,
    once: () => undefined,
    writeHead: (code: number) => {
      status = code;
      res.headersSent = true;
    },
    write: (bytes: Buffer) => received.push(bytes),
    end: () => {
      state = 'whole';
    },
    destroy: () => {
      state = 'torn';
    },
  };
  const deadline = later(now, DEADLINE_MS);
  const exchange = {
    ...{ req: { headers: {}, rawHeaders: [] }, res, body: Buffer.from(id), route },
    facts: { model: SMALL, promptTokens: 10, requestId: id },
    ...{ service: SERVICE, caller: { kind: 'public' }, priority: 1 },
    ...{ arrivedAt: now, deadline, answerBy: deadline, slotBy: later(now, 1_300) },
    gone: gone.signal,
  } as unknown as Exchange;
  const text = (): string => Buffer.concat(received).toString();
  const ids = (): number[] => [...text().matchAll(/^id: (\d+)$/gm)].map(([, n]) => Number(n));
  const leave = (): void => {
    gone.abort(new Error('caller disconnected'));
  };
  const stopReading = (): void => {
    res.writableLength = Number.MAX_SAFE_INTEGER;
  };
  const seen = { ids, text, state: () => state, status: () => status };
  return { exchange, view: { ...seen, leave, stopReading } };
}

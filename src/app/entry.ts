/** HTTP handler of the callers' address: health and readiness probes, and the request plane. */

import type { IncomingMessage, ServerResponse } from 'node:http';

import type { HttpHandler } from './parts';

/** Options of {@link createEntry}. */
export interface EntryOptions {
  readonly requests: HttpHandler;
  /** Whether this daemon accepts new requests. */
  readonly isReady: () => boolean;
}

type Probe = (req: IncomingMessage, res: ServerResponse) => void;

function answer(res: ServerResponse, status: number, text: string): void {
  res.writeHead(status, { 'content-type': 'text/plain; charset=utf-8' });
  res.end(text);
}

/** Creates a handler that answers the load balancer's probes and delegates all other requests. */
export function createEntry(opts: EntryOptions): HttpHandler {
  const probes: Readonly<Record<string, Probe>> = {
    '/healthz': (_req, res) => {
      answer(res, 200, 'alive\n');
    },
    '/readyz': (_req, res) => {
      const ready = opts.isReady();
      answer(res, ready ? 200 : 503, ready ? 'ready\n' : 'not ready\n');
    },
  };
  return (req, res) => {
    const probe = req.method === 'GET' ? probes[req.url ?? ''] : undefined;
    if (probe === undefined) {
      opts.requests(req, res);
      return;
    }
    probe(req, res);
  };
}

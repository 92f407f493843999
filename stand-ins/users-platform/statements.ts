/** What the stand-in's servers say of themselves in their answers, and a record of the requests that reached them. */

import type { IncomingMessage, ServerResponse } from 'node:http';

import { HEADERS } from '../../platform/names';
import type { ServerName } from '../../src/core/ids';

/** A request as it reached a server, whether it ran there or not. */
export interface Arrival {
  readonly server: ServerName;
  readonly requestId: string;
  /** `performance.now()`. */
  readonly at: number;
}

export interface Statements {
  /** By server: headers that it adds to all its answers. */
  readonly says: Map<ServerName, Readonly<Record<string, string>>>;
  /** Servers that turn every request away, as not run. */
  readonly shedding: Set<ServerName>;
  readonly arrivals: readonly Arrival[];
  /** Records a request, and answers it where the server turns it away. */
  meet(server: ServerName, req: IncomingMessage, res: ServerResponse): 'taken' | 'turned-away';
}

export function createStatements(): Statements {
  const says = new Map<ServerName, Readonly<Record<string, string>>>();
  const shedding = new Set<ServerName>();
  const arrivals: Arrival[] = [];
  return {
    says,
    shedding,
    arrivals,
    meet: (server, req, res) => {
      const requestId = String(req.headers[HEADERS.requestId] ?? '');
      arrivals.push({ server, requestId, at: performance.now() });
      for (const [name, value] of Object.entries(says.get(server) ?? {}))
        res.setHeader(name, value);
      if (!shedding.has(server)) return 'taken';
      res.writeHead(503, { [HEADERS.notExecuted]: '1' }).end();
      return 'turned-away';
    },
  };
}

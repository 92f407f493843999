/** What a route of the administration API is given. */

import type { IncomingMessage } from 'node:http';

import type { Operator } from './auth';
import type { AdminDeps } from './deps';
import type { RouteResult } from './exchange';

export interface RouteContext {
  readonly deps: AdminDeps;
  readonly req: IncomingMessage;
  readonly url: URL;
  readonly operator: Operator;
  /** What the path names, for instance an organisation. */
  readonly name: string;
  readonly maxBodyBytes: number;
}

export type Route = (ctx: RouteContext) => RouteResult;

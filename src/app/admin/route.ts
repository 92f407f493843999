/** Types of the routes of the administration API. */

import type { IncomingMessage } from 'node:http';

import type { Operator } from './auth';
import type { AdminDeps } from './deps';
import type { RouteResult } from './exchange';

/** A request and what is needed to handle it. */
export interface RouteContext {
  readonly deps: AdminDeps;
  readonly req: IncomingMessage;
  readonly url: URL;
  readonly operator: Operator;
  /** Name or id in the path, such as an organisation. */
  readonly name: string;
  readonly maxBodyBytes: number;
}

export type Route = (ctx: RouteContext) => RouteResult;

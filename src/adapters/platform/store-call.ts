/** HTTP calls to the platform's stores: connection pooling and mapping of failures to error codes. */

import { Agent } from 'node:http';
import { errAsync, okAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';

import { isFinalStatus } from '../../core/gateway/final-status';
import { fail } from '../../utils/errors';
import type { StepError } from '../../utils/errors';
import { callHttp } from '../http-call';
import type { HttpReply } from '../http-call';

export interface PlatformOptions {
  /** `host:port` of the platform's service. */
  readonly address: string;
  /** Timeout of a call, milliseconds. */
  readonly timeoutMs?: number;
  /** Maximum number of concurrent connections. */
  readonly maxSockets?: number;
  /** Called with each reply before it is interpreted. */
  readonly onReply?: (reply: HttpReply, step: string) => void;
}

/** One call to a store. */
export interface StoreCall {
  readonly step: string;
  readonly method: string;
  readonly path: string;
  readonly body?: Uint8Array;
  readonly contentType?: string;
  /** Whether the call writes: a lost response then means `store-unknown`. */
  readonly writes: boolean;
  /** Overrides the default timeout, for instance for a long poll, milliseconds. */
  readonly timeoutMs?: number;
  /** Aborts the call. */
  readonly signal?: AbortSignal;
}

/** Errors: `store-unavailable`; `store-unknown` if a write may have taken effect. */
export type CallStore = (call: StoreCall) => ResultAsync<HttpReply, StepError>;

const DEFAULT_TIMEOUT_MS = 2_000;
const DEFAULT_MAX_SOCKETS = 16;
const REFUSED_STATUSES = new Set([429, 503]);
const FIRST_SERVER_ERROR = 500;

/**
 * Closes all idle connections. Pooled connections may die together without an error; after a call without
 * a response, the next one must not use another dead connection and wait for its full timeout again.
 */
function dropIdle(agent: Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}

/** Creates a store client. Lost responses and those with status 429, 5xx or an invalid one become errors. */
export function createStoreCaller(opts: PlatformOptions): CallStore {
  const agent = new Agent({ keepAlive: true, maxSockets: opts.maxSockets ?? DEFAULT_MAX_SOCKETS });
  const timeoutMs = opts.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  return ({ writes, step, ...call }) => {
    const origin = { step, peer: opts.address };
    return callHttp({ agent, address: opts.address, timeoutMs, ...call })
      .mapErr((failure) => {
        dropIdle(agent);
        return writes && failure.maybeSent
          ? fail('store-unknown', 'no response to a write, which may have taken effect', {
              ...origin,
              cause: failure.cause,
            })
          : fail('store-unavailable', 'no response', { ...origin, cause: failure.cause });
      })
      .andThen((reply) => {
        opts.onReply?.(reply, step);
        if (REFUSED_STATUSES.has(reply.status)) {
          return errAsync(
            fail('store-unavailable', `store refused the call with status ${reply.status}`, origin),
          );
        }
        if (reply.status >= FIRST_SERVER_ERROR || !isFinalStatus(reply.status)) {
          const code = writes ? 'store-unknown' : 'store-unavailable';
          return errAsync(fail(code, `store call failed with status ${reply.status}`, origin));
        }
        return okAsync(reply);
      });
  };
}

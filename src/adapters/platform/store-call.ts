/** What the platform's stores have in common: one agent, one reading of failures. */

import { Agent } from 'node:http';
import { errAsync, okAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';

import { fail } from '../../utils/errors';
import type { StepError } from '../../utils/errors';
import { callHttp } from '../http-call';
import type { HttpReply } from '../http-call';

export interface PlatformOptions {
  /** `host:port` of the platform's service. */
  readonly address: string;
  /** A call without an answer after this long is given up, milliseconds. */
  readonly timeoutMs?: number;
  /** Connections at a time. */
  readonly maxSockets?: number;
  /** Sees each reply before anything is made of it. */
  readonly onReply?: (reply: HttpReply, step: string) => void;
}

/** One call of a store. */
export interface StoreCall {
  readonly step: string;
  readonly method: string;
  readonly path: string;
  readonly body?: Uint8Array;
  readonly contentType?: string;
  /** Whether a lost answer leaves it open if something was written. */
  readonly writes: boolean;
  /** In place of the store's own limit, as for a poll that waits, milliseconds. */
  readonly timeoutMs?: number;
  /** Ends the call when it aborts. */
  readonly signal?: AbortSignal;
}

export type CallStore = (call: StoreCall) => ResultAsync<HttpReply, StepError>;

const DEFAULT_TIMEOUT_MS = 2_000;
const DEFAULT_MAX_SOCKETS = 16;
const REFUSED = new Set([429, 503]);

/**
 * Connections may fall silent together, without an error. After a call without an answer the next one
 * takes a new connection: on another silent one it would cost its whole time limit once more.
 */
function dropIdle(agent: Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}

/** A caller of the platform's stores; refusals and lost answers become errors, other replies are left. */
export function createStoreCaller(opts: PlatformOptions): CallStore {
  const agent = new Agent({ keepAlive: true, maxSockets: opts.maxSockets ?? DEFAULT_MAX_SOCKETS });
  const timeoutMs = opts.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  return ({ writes, step, ...call }) => {
    const origin = { step, peer: opts.address };
    return callHttp({ agent, address: opts.address, timeoutMs, ...call })
      .mapErr((failure) => {
        dropIdle(agent);
        return writes && failure.maybeSent
          ? fail('store-unknown', 'no answer to a write', { ...origin, cause: failure.cause })
          : fail('store-unavailable', 'no answer', { ...origin, cause: failure.cause });
      })
      .andThen((reply) => {
        opts.onReply?.(reply, step);
        if (REFUSED.has(reply.status)) {
          return errAsync(fail('store-unavailable', `refused with ${reply.status}`, origin));
        }
        if (reply.status >= 500) {
          const code = writes ? 'store-unknown' : 'store-unavailable';
          return errAsync(fail(code, `failed with ${reply.status}`, origin));
        }
        return okAsync(reply);
      });
  };
}

/** Minimal HTTP client for control traffic, with buffered bodies. Callers' requests use the upstream. */

import { request } from 'node:http';
import type { Agent, ClientRequest, IncomingHttpHeaders } from 'node:http';
import { ResultAsync, errAsync } from 'neverthrow';

import type { HeldBytes } from '../core/gateway/held-bytes';
import { createBodyAccount } from '../core/input-limits';
import { isAddress, parseAddress } from '../utils/address';
import { createTimeout } from '../utils/timeout';
import { limitInput } from './upstream/answer-input';

/** One request. */
export interface HttpCall {
  readonly agent: Agent;
  /** `host:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body?: Uint8Array;
  readonly contentType?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Timeout, milliseconds; the connection is then destroyed. */
  readonly timeoutMs: number;
  /** Aborts the call and destroys its connection. */
  readonly signal?: AbortSignal;
  /** Maximum response body size, bytes. */
  readonly maxBytes?: number;
  /** Counts the body beside others; it may have to give way to them. */
  readonly held?: HeldBytes;
}

export interface HttpReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** A call without a complete response. */
export interface HttpFailure {
  /** False only if the peer certainly never received the request. */
  readonly maybeSent: boolean;
  readonly cause: Error;
}

const DEFAULT_MAX_BYTES = 16 * 1024 * 1024;
const NEVER_CONNECTED = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH']);

function toFailure(cause: Error): HttpFailure {
  const { code } = cause as NodeJS.ErrnoException;
  return { maybeSent: code === undefined || !NEVER_CONNECTED.has(code), cause };
}

/** Creates the request, without sending it; throws if Node can send no such request. */
function createRequest(call: HttpCall): ClientRequest {
  if (!isAddress(call.address)) throw new Error('not a valid address');
  const { agent, method, path, body, signal } = call;
  const headers: Record<string, string> = { ...call.headers };
  if (body !== undefined) {
    headers['content-type'] = call.contentType ?? 'application/json';
    headers['content-length'] = String(body.byteLength);
  }
  const { host, port } = parseAddress(call.address);
  return request({ agent, host, port, method, path, headers, ...(signal && { signal }) });
}

function exchange(call: HttpCall, req: ClientRequest): Promise<HttpReply> {
  return new Promise((resolve, reject) => {
    limitInput(req);
    const limit = createTimeout(call.timeoutMs, () =>
      req.destroy(new Error(`no complete response within ${call.timeoutMs} ms`)),
    );
    const onError = (err: Error): void => {
      limit.clear();
      reject(err);
    };
    const onEarlyClose = (): void => {
      onError(new Error('connection closed without a response'));
    };
    req.on('error', onError);
    // A connection that closes before its response, as after a switch of protocols, may end without an error.
    req.once('close', onEarlyClose);
    req.on('response', (res) => {
      req.off('close', onEarlyClose);
      const chunks: Buffer[] = [];
      const account = createBodyAccount(
        () => performance.now(),
        call.maxBytes ?? DEFAULT_MAX_BYTES,
      );
      const giveUp = (fault: string): void => {
        res.off('data', onData);
        chunks.length = 0;
        req.destroy(new Error(fault));
      };
      const hold = call.held?.open(() => {
        giveUp('the answers that are read hold too much');
      });
      const onData = (chunk: Buffer): void => {
        chunks.push(chunk);
        hold?.add(chunk.byteLength);
        const fault = account.note(chunk.byteLength);
        if (fault !== undefined) giveUp(fault);
      };
      res.once('close', () => hold?.release());
      res.on('data', onData);
      res.on('error', onError);
      res.on('end', () => {
        limit.clear();
        resolve({
          status: res.statusCode ?? 0,
          headers: res.headers,
          body: Buffer.concat(chunks),
        });
      });
    });
    req.end(call.body);
  });
}

function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}

/** Sends one request and buffers the response; never throws, whatever the call holds. */
export function callHttp(call: HttpCall): ResultAsync<HttpReply, HttpFailure> {
  let req: ClientRequest;
  try {
    req = createRequest(call);
  } catch (err) {
    return errAsync({ maybeSent: false, cause: toError(err) });
  }
  return ResultAsync.fromPromise(exchange(call, req), (err) => toFailure(toError(err)));
}

/** HTTP client of the administration API: retries, and fails over to the next daemon address. */

import { randomUUID } from 'node:crypto';
import { request } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import { parseAddress } from '../utils/address';
import { isRecord } from '../utils/is';
import { EXIT } from './command';
import type { CommandContext, CommandError, CommandResult } from './command';
import { flagOf } from './command';

/** Administration addresses, tried in order, and the key that authenticates the operator. */
export interface AdminTarget {
  readonly addresses: readonly string[];
  readonly key: string;
}

/** One request to the administration API. */
export interface AdminCall {
  readonly method: string;
  /** Relative to `/admin/v1/`. */
  readonly path: string;
  readonly body?: unknown;
  /** Sent as `If-Match`: the change is refused unless this version is in force. */
  readonly ifVersion?: number;
  /** Idempotency key: makes a change safe to retry. */
  readonly changeId?: string;
}

/** A daemon's response, or why there is none; `unknown`: the request may have taken effect. */
export type AdminReply =
  | { readonly kind: 'answer'; readonly status: number; readonly body: unknown }
  | { readonly kind: 'not-sent' | 'unknown'; readonly message: string };

const TIMEOUT_MS = 15_000;
const MAX_ATTEMPTS = 5;
const RETRY_DELAY_MS = 500;
/** Connection errors after which no daemon can have received the request. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/** Addresses and key from flags, else environment variables; an error message if one is missing. */
export function readTarget(ctx: CommandContext): AdminTarget | string {
  const admin = flagOf(ctx, 'admin') ?? ctx.env.NUTMEGSTACK_ADMIN;
  const key = flagOf(ctx, 'key') ?? ctx.env.NUTMEGSTACK_KEY;
  if (admin === undefined) return 'no daemon address: set --admin or NUTMEGSTACK_ADMIN';
  if (key === undefined) return 'no operator key: set --key or NUTMEGSTACK_KEY';
  return { addresses: admin.split(',').map((address) => address.trim()), key };
}

function headersOf(key: string, call: AdminCall): Record<string, string> {
  return {
    authorization: `Bearer ${key}`,
    'content-type': 'application/json',
    ...(call.ifVersion === undefined ? {} : { 'if-match': `"${call.ifVersion}"` }),
    ...(call.changeId === undefined ? {} : { 'nutmegstack-change-id': call.changeId }),
  };
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}

/** Sends a call to one daemon, without retries; a connection error resolves as a reply. */
function sendOnce(address: string, key: string, call: AdminCall): Promise<AdminReply> {
  const { host, port } = parseAddress(address);
  const { method } = call;
  const path = `/admin/v1/${call.path}`;
  return new Promise((resolve) => {
    const req = request({ host, port, method, path, headers: headersOf(key, call) }, (res) => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', onError);
      res.on('end', () => {
        const body = parseBody(Buffer.concat(chunks).toString('utf8'));
        resolve({ kind: 'answer', status: res.statusCode ?? 0, body });
      });
    });
    const onError = (err: NodeJS.ErrnoException): void => {
      const kind = NOT_SENT_CODES.has(err.code ?? '') ? 'not-sent' : 'unknown';
      resolve({ kind, message: `${address}: ${err.message}` });
    };
    req.setTimeout(TIMEOUT_MS, () => req.destroy(new Error('the request timed out')));
    req.on('error', onError);
    req.end(call.body === undefined ? undefined : JSON.stringify(call.body));
  });
}

function errorOf(body: unknown): CommandError {
  const error = isRecord(body) ? body.error : undefined;
  if (isRecord(error) && typeof error.code === 'string') return error as unknown as CommandError;
  return { code: 'internal', message: 'the response is not an administration API error' };
}

/**
 * Whether the change may have taken effect: the connection broke, the daemon itself reports the
 * outcome `unknown`, or a 5xx has no error body.
 */
function isUnknown(reply: AdminReply): boolean {
  if (reply.kind !== 'answer') return reply.kind === 'unknown';
  return reply.status >= 500 && isRecord(reply.body) && isRecord(reply.body.error)
    ? reply.body.error.outcome === 'unknown'
    : reply.status >= 500;
}

/** Whether a retry is pointless: the daemon accepted or rejected the call. */
function isFinal(reply: AdminReply): boolean {
  return reply.kind === 'answer' && reply.status < 500;
}

/**
 * Sends a call until a daemon accepts or rejects it. Every attempt of a change carries the same
 * change id, so that it takes effect at most once.
 */
export async function callAdmin(target: AdminTarget, call: AdminCall): Promise<AdminReply> {
  const changeId = call.changeId ?? randomUUID();
  const fullCall = call.method === 'GET' ? call : { ...call, changeId };
  let last: AdminReply = { kind: 'not-sent', message: 'no daemon address was given' };
  let mayHaveApplied = false;
  for (let i = 0; i < Math.max(MAX_ATTEMPTS, target.addresses.length); i += 1) {
    const address = target.addresses[i % target.addresses.length] ?? '';
    if (i >= target.addresses.length) await delay(RETRY_DELAY_MS);
    last = await sendOnce(address, target.key, fullCall);
    if (isFinal(last)) return last;
    mayHaveApplied ||= isUnknown(last);
  }
  const message = last.kind === 'answer' ? errorOf(last.body).message : last.message;
  return mayHaveApplied && call.method !== 'GET' ? { kind: 'unknown', message } : last;
}

/** The command result of a failed call; undefined where it succeeded. */
export function failureOf(reply: AdminReply): CommandResult | undefined {
  if (reply.kind === 'answer') {
    if (reply.status < 300) return undefined;
    return { exit: EXIT.refused, error: errorOf(reply.body) };
  }
  const code = reply.kind === 'unknown' ? 'unknown' : 'unavailable';
  const exit = reply.kind === 'unknown' ? EXIT.unknown : EXIT.refused;
  return { exit, error: { code, message: reply.message } };
}

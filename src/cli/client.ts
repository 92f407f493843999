/** Talks to the administration address of a daemon; to the next one where one cannot be reached. */

import { randomUUID } from 'node:crypto';
import { request } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import { parseAddress } from '../utils/address';
import { isRecord } from '../utils/is';
import { EXIT } from './command';
import type { CommandContext, CommandError, CommandResult } from './command';
import { flagOf } from './command';

/** Daemons to ask and the key to ask with. */
export interface AdminTarget {
  readonly addresses: readonly string[];
  readonly key: string;
}

export interface AdminCall {
  readonly method: string;
  /** Below `/admin/v1/`. */
  readonly path: string;
  readonly body?: unknown;
  readonly ifVersion?: number;
  /** Makes a change safe to send again. */
  readonly changeId?: string;
}

/** A daemon's answer, or why there is none. */
export type AdminReply =
  | { readonly kind: 'answer'; readonly status: number; readonly body: unknown }
  | { readonly kind: 'not-sent' | 'unknown'; readonly message: string };

const TIMEOUT_MS = 15_000;
const TRIES = 5;
const RETRY_DELAY_MS = 500;
const NEVER_SENT: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/** The daemons and the key that flags or variables name; a message where one is missing. */
export function readTarget(ctx: CommandContext): AdminTarget | string {
  const admin = flagOf(ctx, 'admin') ?? ctx.env.NUTMEGSTACK_ADMIN;
  const key = flagOf(ctx, 'key') ?? ctx.env.NUTMEGSTACK_KEY;
  if (admin === undefined) return 'name a daemon by --admin or NUTMEGSTACK_ADMIN';
  if (key === undefined) return 'give a key by --key or NUTMEGSTACK_KEY';
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

function exchange(address: string, key: string, call: AdminCall): Promise<AdminReply> {
  const { host, port } = parseAddress(address);
  const { method } = call;
  const path = `/admin/v1/${call.path}`;
  return new Promise((resolve) => {
    const req = request({ host, port, method, path, headers: headersOf(key, call) }, (res) => {
      const parts: Buffer[] = [];
      res.on('data', (part: Buffer) => parts.push(part));
      res.on('error', onError);
      res.on('end', () => {
        const body = parseBody(Buffer.concat(parts).toString('utf8'));
        resolve({ kind: 'answer', status: res.statusCode ?? 0, body });
      });
    });
    const onError = (err: NodeJS.ErrnoException): void => {
      const kind = NEVER_SENT.has(err.code ?? '') ? 'not-sent' : 'unknown';
      resolve({ kind, message: `${address}: ${err.message}` });
    };
    req.setTimeout(TIMEOUT_MS, () => req.destroy(new Error('no answer in time')));
    req.on('error', onError);
    req.end(call.body === undefined ? undefined : JSON.stringify(call.body));
  });
}

function errorOf(body: unknown): CommandError {
  const error = isRecord(body) ? body.error : undefined;
  if (isRecord(error) && typeof error.code === 'string') return error as unknown as CommandError;
  return { code: 'internal', message: 'the answer is not one of a daemon' };
}

/** Whether the daemon itself cannot tell what became of the change. */
function isUnknown(reply: AdminReply): boolean {
  if (reply.kind !== 'answer') return reply.kind === 'unknown';
  return reply.status >= 500 && isRecord(reply.body) && isRecord(reply.body.error)
    ? reply.body.error.outcome === 'unknown'
    : reply.status >= 500;
}

function isSettled(reply: AdminReply): boolean {
  return reply.kind === 'answer' && reply.status < 500;
}

/**
 * Sends a call until a daemon settles it. A change carries the same change id each time, so that
 * it takes effect once at most.
 */
export async function callAdmin(target: AdminTarget, call: AdminCall): Promise<AdminReply> {
  const changeId = call.changeId ?? randomUUID();
  const whole = call.method === 'GET' ? call : { ...call, changeId };
  let last: AdminReply = { kind: 'not-sent', message: 'no daemon was named' };
  let doubtful = false;
  for (let i = 0; i < Math.max(TRIES, target.addresses.length); i += 1) {
    const address = target.addresses[i % target.addresses.length] ?? '';
    if (i >= target.addresses.length) await delay(RETRY_DELAY_MS);
    last = await exchange(address, target.key, whole);
    if (isSettled(last)) return last;
    doubtful ||= isUnknown(last);
  }
  const message = last.kind === 'answer' ? errorOf(last.body).message : last.message;
  return doubtful && call.method !== 'GET' ? { kind: 'unknown', message } : last;
}

/** What a command comes to when its call did not succeed; undefined where it did. */
export function failureOf(reply: AdminReply): CommandResult | undefined {
  if (reply.kind === 'answer') {
    if (reply.status < 300) return undefined;
    return { exit: EXIT.refused, error: errorOf(reply.body) };
  }
  const code = reply.kind === 'unknown' ? 'unknown' : 'unavailable';
  const exit = reply.kind === 'unknown' ? EXIT.unknown : EXIT.refused;
  return { exit, error: { code, message: reply.message } };
}

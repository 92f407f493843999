/** `status`, `drain`, `keys` and `version`: subcommands for operating daemons. */

import { randomBytes } from 'node:crypto';

import { version as VERSION } from '../../../package.json';
import { hashKey } from '../../utils/common';
import { callAdmin, failureOf, readTarget } from '../client';
import type { AdminTarget } from '../client';
import { done, flagOf, usage } from '../command';
import type { Command, CommandContext, CommandResult } from '../command';

const KEY_BYTES = 24;

interface DaemonStatus {
  readonly id: string;
  readonly zone: string;
  readonly state: string;
  readonly configVersion: number;
}

/** Response body of `GET /admin/v1/status`. */
interface StatusBody {
  readonly daemon: string;
  readonly version: number;
  readonly daemons: readonly DaemonStatus[];
}

/** Aligns columns; the first row is the header. */
function renderTable(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

function renderStatus({ daemons }: StatusBody): string {
  const rows = daemons.map(({ id, zone, state, configVersion }) => [
    id,
    zone,
    state,
    String(configVersion),
  ]);
  return renderTable([['DAEMON', 'ZONE', 'STATE', 'VERSION'], ...rows]);
}

/** `status`: lists every daemon with the configuration version in force on it. */
export const status: Command = async (ctx) => {
  const target = readTarget(ctx);
  if (typeof target === 'string') return usage(target);
  const reply = await callAdmin(target, { method: 'GET', path: 'status' });
  const failure = failureOf(reply);
  if (failure !== undefined) return failure;
  const { body } = reply as { body: StatusBody };
  return done(body, renderStatus(body));
};

/** `drain --daemon id` or `drain --instance id`: takes it out of service gracefully. */
export const drain: Command = async (ctx) => {
  const target = readTarget(ctx);
  if (typeof target === 'string') return usage(target);
  const daemon = flagOf(ctx, 'daemon');
  const instance = flagOf(ctx, 'instance');
  if ((daemon === undefined) === (instance === undefined)) {
    return usage('give either --daemon or --instance');
  }
  const body = daemon === undefined ? { instance } : { daemon };
  const reply = await callAdmin(target, { method: 'POST', path: 'drain', body });
  const failure = failureOf(reply);
  if (failure !== undefined) return failure;
  return done((reply as { body: unknown }).body, `${daemon ?? instance ?? ''} is draining`);
};

type KeyAction = (ctx: CommandContext, target: AdminTarget) => Promise<CommandResult>;

interface KeyEntry {
  readonly hash: string;
  readonly organisation?: string;
  readonly role: string;
  readonly class?: string;
}

const listKeys: KeyAction = async (_ctx, target) => {
  const reply = await callAdmin(target, { method: 'GET', path: 'keys' });
  const failure = failureOf(reply);
  if (failure !== undefined) return failure;
  const { body } = reply as { body: { keys: readonly KeyEntry[] } };
  const rows = body.keys.map((key) => [
    key.hash,
    key.role,
    key.organisation ?? '-',
    key.class ?? '-',
  ]);
  return done(body, renderTable([['HASH', 'ROLE', 'ORGANISATION', 'CLASS'], ...rows]));
};

interface NewKey {
  readonly key: string;
  readonly hash: string;
}

function createKey(): NewKey {
  const key = `nk_${randomBytes(KEY_BYTES).toString('base64url')}`;
  return { key, hash: hashKey(key) };
}

function keyResult({ key, hash }: NewKey): CommandResult {
  return done({ key, hash }, `key ${key}\nhash ${hash}\nThe key is not stored: save it now.`);
}

const addKey: KeyAction = async (ctx, target) => {
  const created = createKey();
  const organisation = flagOf(ctx, 'organisation');
  const callerClass = flagOf(ctx, 'class');
  const body = {
    hash: created.hash,
    role: flagOf(ctx, 'role') ?? 'caller',
    ...(organisation === undefined ? {} : { organisation }),
    ...(callerClass === undefined ? {} : { class: callerClass }),
  };
  const reply = await callAdmin(target, { method: 'POST', path: 'keys', body });
  const failure = failureOf(reply);
  if (failure !== undefined) return failure;
  return keyResult(created);
};

const removeKey: KeyAction = async (ctx, target) => {
  const hash = ctx.args[1];
  if (hash === undefined) return usage('the hash of the key is missing');
  const path = `keys/${encodeURIComponent(hash)}`;
  const reply = await callAdmin(target, { method: 'DELETE', path });
  return failureOf(reply) ?? done({ removed: hash }, `key ${hash} removed`);
};

const KEY_ACTIONS: Readonly<Record<string, KeyAction>> = {
  list: listKeys,
  add: addKey,
  remove: removeKey,
};

/** `keys list`, `keys add`, `keys remove <hash>`, and `keys new`, which needs no daemon. */
export const keys: Command = async (ctx) => {
  const name = ctx.args[0] ?? 'list';
  if (name === 'new') return keyResult(createKey());
  const action = Object.hasOwn(KEY_ACTIONS, name) ? KEY_ACTIONS[name] : undefined;
  if (action === undefined) return usage('unknown action: keys supports list, add, remove and new');
  const target = readTarget(ctx);
  return typeof target === 'string' ? usage(target) : action(ctx, target);
};

/** `version`: prints the version of this program. */
export const version: Command = () =>
  Promise.resolve(done({ version: VERSION, node: process.version }, VERSION));

/** `apply`, `get`, `diff` and `check`: subcommands for configuration documents. */

import { readFile } from 'node:fs/promises';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { stringify } from 'yaml';

import { parseDocument } from '../../adapters/config-file';
import { checkDocument, formatFieldErrors } from '../../core/config/check';
import type { Json } from '../../core/json';
import { callAdmin, failureOf, readTarget } from '../client';
import type { AdminTarget } from '../client';
import { done, flagOf, refused, usage } from '../command';
import type { Command, CommandContext, CommandResult } from '../command';
import { diffPaths, renderDifference } from '../diff';

/** Response body of `GET /admin/v1/config`. */
interface ConfigBody {
  readonly version: number;
  readonly document: Json;
}

async function readFileDocument(ctx: CommandContext): Promise<Result<Json, CommandResult>> {
  const [file] = ctx.args;
  if (file === undefined) return err(usage('the configuration file is missing'));
  const text = await readFile(file, 'utf8').catch(() => undefined);
  if (text === undefined) return err(usage(`cannot read ${file}`));
  return parseDocument(text).mapErr(({ code, message, step }) => refused({ code, message, step }));
}

/** The version in force; 0 before the first configuration. */
async function currentVersion(target: AdminTarget): Promise<number | CommandResult> {
  const reply = await callAdmin(target, { method: 'GET', path: 'config' });
  if (reply.kind === 'answer' && reply.status === 404) return 0;
  return failureOf(reply) ?? (reply as { body: ConfigBody }).body.version;
}

/** The version that the change replaces: of `--if-version`, else the one in force. */
async function expectedVersion(
  ctx: CommandContext,
  target: AdminTarget,
): Promise<number | CommandResult> {
  const text = flagOf(ctx, 'if-version');
  if (text === undefined) return currentVersion(target);
  const version = Number(text);
  return Number.isSafeInteger(version) ? version : usage('--if-version must be a whole number');
}

async function submit(
  ctx: CommandContext,
  target: AdminTarget,
  document: Json,
): Promise<CommandResult> {
  const organisation = flagOf(ctx, 'organisation');
  const version = await expectedVersion(ctx, target);
  if (typeof version !== 'number') return version;
  const changeId = flagOf(ctx, 'change-id');
  const reply = await callAdmin(target, {
    method: organisation === undefined ? 'PUT' : 'PATCH',
    path:
      organisation === undefined ? 'config' : `organisations/${encodeURIComponent(organisation)}`,
    body: document,
    ...(version === 0 ? {} : { ifVersion: version }),
    ...(changeId === undefined ? {} : { changeId }),
  });
  const failure = failureOf(reply);
  if (failure !== undefined) return failure;
  const { body } = reply as { body: { version: number } };
  return done(body, `version ${body.version} accepted`);
}

/** `apply <file>`: submits a document, or amends the parameters of one organisation. */
export const apply: Command = async (ctx) => {
  const target = readTarget(ctx);
  if (typeof target === 'string') return usage(target);
  const document = await readFileDocument(ctx);
  return document.isErr() ? document.error : submit(ctx, target, document.value);
};

async function fetchConfig(ctx: CommandContext): Promise<Result<ConfigBody, CommandResult>> {
  const target = readTarget(ctx);
  if (typeof target === 'string') return err(usage(target));
  const version = flagOf(ctx, 'config-version');
  const query = version === undefined ? '' : `?version=${encodeURIComponent(version)}`;
  const reply = await callAdmin(target, { method: 'GET', path: `config${query}` });
  const failure = failureOf(reply);
  return failure === undefined ? ok((reply as { body: ConfigBody }).body) : err(failure);
}

/** `get`: prints the configuration in force, or an earlier version. */
export const get: Command = async (ctx) => {
  const fetched = await fetchConfig(ctx);
  if (fetched.isErr()) return fetched.error;
  const { version, document } = fetched.value;
  return done(fetched.value, `# version ${version}\n${stringify(document).trimEnd()}`);
};

/** `diff <file>`: prints what applying the file would change. */
export const diff: Command = async (ctx) => {
  const document = await readFileDocument(ctx);
  if (document.isErr()) return document.error;
  const fetched = await fetchConfig(ctx);
  if (fetched.isErr()) return fetched.error;
  const differences = diffPaths(fetched.value.document, document.value);
  const text = differences.map(renderDifference).join('\n');
  const value = { version: fetched.value.version, differences };
  return done(value, text === '' ? 'no differences' : text);
};

/** `check <file>`: validates a document locally, without a daemon. */
export const check: Command = async (ctx) => {
  const document = await readFileDocument(ctx);
  if (document.isErr()) return document.error;
  const checked = checkDocument(document.value);
  if (checked.isOk()) return done({ valid: true }, 'valid');
  const fields = checked.error;
  return refused({ code: 'bad-request', message: formatFieldErrors(fields), fields });
};

/** HTTP client for the platform's table service. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as z from 'zod';

import type { Json, ScanPage, Table } from '../../ports/platform';
import { fail } from '../../utils/errors';
import type { ErrorCode, StepError } from '../../utils/errors';
import type { HttpReply } from '../http-call';
import { createStoreCaller } from './store-call';
import type { PlatformOptions } from './store-call';

const jsonSchema: z.ZodType<Json> = z.json();
const rowSchema = z.object({ key: z.string(), version: z.number().int(), value: jsonSchema });
const rowsReplySchema = z.object({ rows: z.array(rowSchema) });
const scanReplySchema = z.object({ rows: z.array(rowSchema), after: z.string().optional() });
const commitReplySchema = z.object({ versions: z.record(z.string(), z.number().int()) });
const conflictReplySchema = z.object({ conflict: z.string() });

function encode(value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value));
}

function parseBody<T>(
  schema: z.ZodType<T>,
  reply: HttpReply,
  step: string,
  code: ErrorCode = 'store-unavailable',
): Result<T, StepError> {
  try {
    return ok(schema.parse(JSON.parse(reply.body.toString('utf8'))));
  } catch (cause) {
    return err(fail(code, 'invalid response from the table service', { step, cause }));
  }
}

/** Creates a table service client. */
export function createTable(opts: PlatformOptions): Table {
  const call = createStoreCaller(opts);
  const post = (step: string, path: string, body: unknown, writes: boolean) =>
    call({ step, method: 'POST', path, body: encode(body), writes });
  return {
    read: (keys) =>
      post('table-read', '/table/read', { keys }, false)
        .andThen((reply) => parseBody(rowsReplySchema, reply, 'table-read'))
        .map(({ rows }) => rows),
    scan: (prefix, after) =>
      post('table-scan', '/table/scan', { prefix, after }, false)
        .andThen((reply) => parseBody(scanReplySchema, reply, 'table-scan'))
        .map(({ rows, after: rest }): ScanPage =>
          rest === undefined ? { rows } : { rows, after: rest },
        ),
    commit: (transaction) =>
      post('table-commit', '/table/commit', transaction, true).andThen((reply) => {
        if (reply.status !== 409)
          return parseBody(commitReplySchema, reply, 'table-commit', 'store-unknown');
        return parseBody(conflictReplySchema, reply, 'table-commit').andThen(({ conflict }) =>
          err(
            fail('conflict', `row ${conflict} has changed`, {
              step: 'table-commit',
              peer: opts.address,
            }),
          ),
        );
      }),
  };
}

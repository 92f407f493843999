/** The platform's table service over HTTP. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as z from 'zod';

import type { Json, ScanPage, Table } from '../../ports/platform';
import { fail } from '../../utils/errors';
import type { ErrorCode, StepError } from '../../utils/errors';
import type { HttpReply } from '../http-call';
import { createStoreCaller } from './store-call';
import type { PlatformOptions } from './store-call';

const json: z.ZodType<Json> = z.json();
const row = z.object({ key: z.string(), version: z.number().int(), value: json });
const rowsReply = z.object({ rows: z.array(row) });
const scanReply = z.object({ rows: z.array(row), after: z.string().optional() });
const commitReply = z.object({ versions: z.record(z.string(), z.number().int()) });
const conflictReply = z.object({ conflict: z.string() });

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
    return err(fail(code, 'unreadable answer', { step, cause }));
  }
}

/** A client of the table service. */
export function createTable(opts: PlatformOptions): Table {
  const call = createStoreCaller(opts);
  const post = (step: string, path: string, body: unknown, writes: boolean) =>
    call({ step, method: 'POST', path, body: encode(body), writes });
  return {
    read: (keys) =>
      post('table-read', '/table/read', { keys }, false)
        .andThen((reply) => parseBody(rowsReply, reply, 'table-read'))
        .map(({ rows }) => rows),
    scan: (prefix, after) =>
      post('table-scan', '/table/scan', { prefix, after }, false)
        .andThen((reply) => parseBody(scanReply, reply, 'table-scan'))
        .map(({ rows, after: rest }): ScanPage =>
          rest === undefined ? { rows } : { rows, after: rest },
        ),
    commit: (transaction) =>
      post('table-commit', '/table/commit', transaction, true).andThen((reply) => {
        if (reply.status !== 409)
          return parseBody(commitReply, reply, 'table-commit', 'store-unknown');
        return parseBody(conflictReply, reply, 'table-commit').andThen(({ conflict }) =>
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

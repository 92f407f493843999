/** Stores and replays answers: small ones in the claim's row, large ones in the object store. */

import type { StoredAnswer, StoredBody } from '../../core/ledger/rows';
import type { RequestContext } from './context';
import type { DoneEnding, Ending, StreamEnd, BufferedAnswer } from './ending';
import { doneEnding, failedEnding } from './ending';
import { fail } from '../../utils/errors';

/** Headers that are stored with an answer. */
const STORED_HEADERS = ['content-type', 'content-encoding', 'location', 'etag'];

function toBuffered(end: StreamEnd): BufferedAnswer | undefined {
  if (end.captured === undefined) return undefined;
  const body = Buffer.concat([...end.captured, end.last]);
  return { kind: 'whole', status: 200, headers: { 'content-type': end.contentType }, body };
}

function storedHeadersOf({ headers }: BufferedAnswer): Record<string, string> {
  const kept = STORED_HEADERS.filter((name) => headers[name] !== undefined);
  return Object.fromEntries(kept.map((name) => [name, String(headers[name])]));
}

async function storeBody(
  ctx: RequestContext,
  objectKey: string,
  body: Uint8Array,
): Promise<StoredBody> {
  if (body.byteLength <= ctx.settings.maxRowAnswerBytes) {
    return { kind: 'row', base64: Buffer.from(body).toString('base64') };
  }
  const put = await ctx.objects.put(objectKey, body);
  return put.isOk() ? { kind: 'object', key: objectKey } : { kind: 'none' };
}

/** Converts an answer to its stored form. A body that could not be stored is omitted. */
export async function storeAnswer(
  ctx: RequestContext,
  objectKey: string,
  ending: DoneEnding,
): Promise<StoredAnswer> {
  const answer = ending.answer.kind === 'whole' ? ending.answer : toBuffered(ending.answer);
  if (answer === undefined) return { status: 200, headers: {}, body: { kind: 'none' } };
  const body = await storeBody(ctx, objectKey, answer.body);
  return { status: answer.status, headers: storedHeadersOf(answer), body };
}

type BodyReaders = {
  readonly [K in StoredBody['kind']]: (
    ctx: RequestContext,
    body: Extract<StoredBody, { kind: K }>,
  ) => Promise<Uint8Array | undefined>;
};

const BODY_READERS: BodyReaders = {
  row: (_ctx, { base64 }) => Promise.resolve(Buffer.from(base64, 'base64')),
  object: async (ctx, { key }) => (await ctx.objects.get(key)).unwrapOr(undefined),
  none: () => Promise.resolve(undefined),
};

/**
 * Creates the ending of a request from its stored answer. The request did run, so a missing
 * body yields an `exposed` failure, never `not-run`.
 */
export async function replayAnswer(ctx: RequestContext, stored: StoredAnswer): Promise<Ending> {
  const read = BODY_READERS[stored.body.kind] as (
    ctx: RequestContext,
    body: StoredBody,
  ) => Promise<Uint8Array | undefined>;
  const body = await read(ctx, stored.body);
  if (body !== undefined) {
    return doneEnding({ kind: 'whole', status: stored.status, headers: stored.headers, body });
  }
  const error = fail(
    'in-progress',
    'the request with this idempotency key already ran, but its stored answer is unavailable',
    { step: 'claim' },
  );
  return failedEnding({ error, exposure: 'exposed' });
}

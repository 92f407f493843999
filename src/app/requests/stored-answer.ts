/** Stored answers: small ones in the claim's row, large ones in the object store. */

import type { StoredAnswer, StoredBody } from '../../core/ledger/rows';
import type { RequestContext } from './context';
import type { DoneEnding, Ending, StreamEnd, BufferedAnswer } from './ending';
import { doneEnding, failedEnding } from './ending';
import { fail } from '../../utils/errors';

/** Headers of an answer that are stored with it. */
const STORED_HEADERS = ['content-type', 'content-encoding', 'location', 'etag'];

function wholeOf(end: StreamEnd): BufferedAnswer | undefined {
  if (end.captured === undefined) return undefined;
  const body = Buffer.concat([...end.captured, end.last]);
  return { kind: 'whole', status: 200, headers: { 'content-type': end.contentType }, body };
}

function headersOf({ headers }: BufferedAnswer): Record<string, string> {
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

/** Makes an answer ready to be kept in a row; a body that could not be stored is left out. */
export async function storeAnswer(
  ctx: RequestContext,
  objectKey: string,
  ending: DoneEnding,
): Promise<StoredAnswer> {
  const whole = ending.answer.kind === 'whole' ? ending.answer : wholeOf(ending.answer);
  if (whole === undefined) return { status: 200, headers: {}, body: { kind: 'none' } };
  const body = await storeBody(ctx, objectKey, whole.body);
  return { status: whole.status, headers: headersOf(whole), body };
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

/** The ending of a request whose answer was stored. It ran, whatever becomes of the answer. */
export async function replayAnswer(ctx: RequestContext, stored: StoredAnswer): Promise<Ending> {
  const read = BODY_READERS[stored.body.kind] as (
    ctx: RequestContext,
    body: StoredBody,
  ) => Promise<Uint8Array | undefined>;
  const body = await read(ctx, stored.body);
  if (body !== undefined) {
    return doneEnding({ kind: 'whole', status: stored.status, headers: stored.headers, body });
  }
  const error = fail('in-progress', 'ran before; its answer cannot be had', { step: 'claim' });
  return failedEnding({ error, exposure: 'exposed' });
}

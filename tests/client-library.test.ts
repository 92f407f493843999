/** Runs the OpenAI client library against a daemon. */

import OpenAI, {
  AuthenticationError,
  BadRequestError,
  InternalServerError,
  NotFoundError,
} from 'openai';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { answerOf, answerText } from '../stand-ins/engine/answer';
import type { MemberRecord } from '../stand-ins/engine/record';
import { callJson } from '../stand-ins/shared/client';
import { until } from './support/processes';
import { CALLER_KEY, documentFor, startSystem, submit, untilServing } from './support/system';
import type { System } from './support/system';

const QUESTION = { role: 'user', content: 'is ibuprofen on the shelves of Brest?' } as const;
const CHAT = { model: 'query', messages: [QUESTION] };

let system: System;

beforeAll(async () => {
  system = await startSystem({ daemons: 1 });
  const [daemon] = system.daemons;
  if (daemon) expect((await submit(daemon, documentFor(system))).status).toBe(200);
  await untilServing(system);
});

afterAll(() => system.stop());

function client(apiKey = CALLER_KEY): OpenAI {
  const baseURL = `http://${system.daemons[0]?.callers ?? ''}/v1`;
  return new OpenAI({ apiKey, baseURL, maxRetries: 0 });
}

async function rejectionOf(promise: Promise<unknown>): Promise<unknown> {
  return promise.then(
    () => undefined,
    (err: unknown) => err,
  );
}

function setFaults(faults: object): Promise<unknown> {
  const address = system.engines[0]?.members[0]?.address ?? '';
  return callJson({ address, method: 'POST', path: '/faults', body: faults });
}

async function readRuns(): Promise<MemberRecord['runs']> {
  const address = system.engines[0]?.members[0]?.address ?? '';
  const { body } = await callJson({ address, method: 'GET', path: '/record' });
  return (body as MemberRecord).runs;
}

describe('the OpenAI client library', () => {
  it('lists the models', async () => {
    const ids: string[] = [];
    for await (const { id } of client().models.list()) ids.push(id);
    expect(ids).toEqual(['query']);
  });

  it('gets a complete answer', async () => {
    const { choices, usage } = await client().chat.completions.create(CHAT);
    expect(choices[0]?.message.content).toBe(answerText(CHAT));
    expect(choices[0]?.finish_reason).toBe('stop');
    expect(usage?.completion_tokens).toBe(answerOf(CHAT).tokens.length);
  });

  it('streams an answer with its token usage', async () => {
    const stream = await client().chat.completions.create({
      ...CHAT,
      stream: true,
      stream_options: { include_usage: true },
    });
    let text = '';
    let tokens: number | undefined;
    for await (const { choices, usage } of stream) {
      text += choices[0]?.delta.content ?? '';
      tokens = usage?.completion_tokens ?? tokens;
    }
    expect(text).toBe(answerText(CHAT));
    expect(tokens).toBe(answerOf(CHAT).tokens.length);
  });

  it('completes a plain prompt', async () => {
    const body = { model: 'query', prompt: 'shelves of Lorient' };
    const { choices } = await client().completions.create(body);
    expect(choices[0]?.text).toBe(answerText(body));
  });

  it('maps each error to its own error class', async () => {
    const { completions } = client().chat;
    const unauthorized = client('nobody').chat.completions.create(CHAT);
    expect(await rejectionOf(unauthorized)).toBeInstanceOf(AuthenticationError);
    const unknown = completions.create({ ...CHAT, model: 'unknown' });
    expect(await rejectionOf(unknown)).toMatchObject({ status: 404, code: 'model-not-found' });
    expect(await rejectionOf(completions.create({ ...CHAT, model: 'unknown' }))).toBeInstanceOf(
      NotFoundError,
    );
    const malformed = completions.create({ model: 'query' } as never);
    expect(await rejectionOf(malformed)).toBeInstanceOf(BadRequestError);
  });

  it('throws when a stream is interrupted', async () => {
    await setFaults({ truncate: 10, resumable: false });
    const stream = await client().chat.completions.create({ ...CHAT, stream: true });
    const readStream = async (): Promise<void> => {
      for await (const part of stream) expect(part.object).toBe('chat.completion.chunk');
    };
    expect(await rejectionOf(readStream())).toBeInstanceOf(Error);
    await setFaults({ truncate: 0, resumable: true });
  });

  it('cancels an aborted request through to the engine', async () => {
    await setFaults({ tokenMs: 20 });
    const stream = await client().chat.completions.create({
      model: 'query',
      messages: [{ role: 'user', content: 'tokens=100000' }],
      stream: true,
    });
    for await (const part of stream) {
      expect(part.choices).toHaveLength(1);
      stream.controller.abort();
    }
    const cancelledAt = async () => (await readRuns()).at(-1)?.end;
    expect(await until(cancelledAt, 'the engine to cancel the stream')).toBeGreaterThan(0);
    await setFaults({ tokenMs: 2 });
  });

  it('maps a refusal to a server error with Retry-After', async () => {
    await Promise.all(
      (system.engines[0]?.members ?? []).map(({ address }) =>
        callJson({ address, method: 'POST', path: '/faults', body: { down: true } }),
      ),
    );
    // Until the group is dissolved, a request sent to it may have run, and its outcome isn't `not-run`.
    const refusedRequest = async () => {
      const err = await rejectionOf(client().chat.completions.create(CHAT));
      const isRefusal = err instanceof InternalServerError;
      return isRefusal && err.headers.get('nutmegstack-outcome') === 'not-run' ? err : undefined;
    };
    const err = await until(refusedRequest, 'the group to be dissolved');
    expect(Number(err.headers.get('retry-after'))).toBeGreaterThan(0);
  });
});

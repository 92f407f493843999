/** Model calls: complete answers, and accurate outcomes where there is none. */

import { firstValueFrom, Subject } from 'rxjs';
import { afterEach, describe, expect, it } from 'vitest';

import { chatBody, errorOf, sendChat } from './support/requests-client';
import {
  END_MARK,
  answerNormally,
  createEngine,
  echoedHeaders,
  frame,
  refuse,
  startSse,
  breakConnection,
  completionBody,
} from './support/requests-engine';
import type { Script, ScriptedEngine } from './support/requests-engine';
import { KEYS, createFixture, fakeGroups, testGroup } from './support/requests-fixture';
import type { Fixture } from './support/requests-fixture';

const cleanups: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

interface Setup extends Fixture {
  readonly engines: readonly ScriptedEngine[];
}

/** Starts a request plane with one engine per list of scripts. */
async function setUp(...scripts: Script[][]): Promise<Setup> {
  const engines = await Promise.all(scripts.map((list) => createEngine(...list)));
  const groups = fakeGroups(engines.map((engine, i) => testGroup(`g${i}`, engine.address)));
  const fixture = await createFixture({ groups });
  cleanups.push(fixture.close, ...engines.map((engine) => engine.close));
  return { ...fixture, engines };
}

const callsOf = (setup: Setup): number =>
  setup.engines.reduce((sum, engine) => sum + engine.calls.length, 0);

describe('model calls', () => {
  it('relays a complete stream, with the outcome as a trailer', async () => {
    const { url } = await setUp([answerNormally]);
    const response = await sendChat(url, { stream: true });
    expect(response.text).toBe(frame('hello ') + frame('world', 'stop') + END_MARK);
    expect(response).toMatchObject({ status: 200, isComplete: true });
    expect(response.trailers['nutmegstack-outcome']).toBe('done');
  });

  it('relays an answer that is not streamed', async () => {
    const { url } = await setUp([answerNormally]);
    const response = await sendChat(url);
    expect(response).toMatchObject({
      status: 200,
      isComplete: true,
      text: completionBody('hello world'),
    });
    expect(response.headers['nutmegstack-outcome']).toBe('done');
  });

  it('tries another group when one refuses or disconnects before the first byte', async () => {
    for (const bad of [refuse, breakConnection]) {
      const setup = await setUp([bad], [bad], [answerNormally]);
      const response = await sendChat(setup.url, { stream: true });
      expect(response).toMatchObject({ status: 200, isComplete: true });
    }
  });

  it('reports not-run with Retry-After when every group refused', async () => {
    const { url } = await setUp([refuse], [refuse]);
    const response = await sendChat(url);
    expect(response.headers['nutmegstack-outcome']).toBe('not-run');
    expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
  });

  it('reports unknown when the only attempt was sent and lost', async () => {
    const { url } = await setUp([breakConnection]);
    const response = await sendChat(url);
    expect(response.headers['nutmegstack-outcome']).toBe('unknown');
    expect(errorOf(response)).toMatchObject({ code: 'backend-lost', step: 'first-byte' });
  });

  it('never retries a non-repeatable call after any byte was sent', async () => {
    const setup = await setUp([breakConnection], [breakConnection]);
    const headers = { 'nutmegstack-repeatable': 'false' };
    const response = await sendChat(setup.url, {}, { headers });
    expect(response.headers['nutmegstack-outcome']).toBe('unknown');
    expect(callsOf(setup)).toBe(1);
  });

  const broken: Record<string, Script> = {
    'interrupted in the middle': (call) => {
      startSse(call);
      call.res.write(frame('hello '), () => call.res.destroy());
    },
    'without a finish reason': (call) => {
      startSse(call);
      call.res.end(frame('hello ') + END_MARK);
    },
    'without the end mark': (call) => {
      startSse(call);
      call.res.end(frame('hello ', 'stop'));
    },
    'with bytes after the end mark': (call) => {
      startSse(call);
      call.res.end(frame('hello ', 'stop') + END_MARK + frame('more', 'stop') + END_MARK);
    },
  };

  it.each(Object.entries(broken))(
    'ends a stream %s with an error event and without the end mark',
    async (_, script) => {
      const { url } = await setUp([
        async (call) => {
          await script(call);
        },
      ]);
      const response = await sendChat(url, { stream: true });
      expect(response.text).not.toContain('[DONE]');
      if (response.status === 200) {
        expect(response.isComplete).toBe(false);
        expect(response.text).toContain('event: error');
      }
      expect(response.text).toContain('"outcome":"unknown"');
    },
  );

  // Guards against an error that is cut short and looks whole, with a length of the daemon's own.
  it('does not pass on an error in the request that ends with its connection', async () => {
    const { url } = await setUp([
      ({ req, res }) => {
        res.useChunkedEncodingByDefault = false;
        res.writeHead(400, { ...echoedHeaders(req), 'content-type': 'application/json' });
        res.end('{"error":');
      },
    ]);
    const response = await sendChat(url);
    expect(response.text).not.toBe('{"error":');
    expect(response.headers['nutmegstack-outcome']).toBe('unknown');
  });

  it('rejects an answer for another attempt, group or epoch', async () => {
    for (const name of ['nutmegstack-attempt', 'nutmegstack-group', 'nutmegstack-epoch']) {
      const { url } = await setUp([
        ({ req, res }) => {
          res.writeHead(200, { ...echoedHeaders(req), [name]: 'another' });
          res.end(completionBody('not yours'));
        },
      ]);
      const response = await sendChat(url);
      expect(response.text).not.toContain('not yours');
      expect(response.headers['nutmegstack-outcome']).toBe('unknown');
    }
  });

  it('closes the connection to the engine when the caller disconnects', async () => {
    const disconnects = new Subject<undefined>();
    const disconnected = firstValueFrom(disconnects);
    const { url } = await setUp([
      (call) => {
        startSse(call);
        call.res.write(frame('hello '));
        call.res.once('close', () => {
          disconnects.next(undefined);
        });
      },
    ]);
    const controller = new AbortController();
    const res = await fetch(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${KEYS.armor}` },
      body: chatBody({ stream: true }),
      signal: controller.signal,
    });
    await res.body?.getReader().read();
    controller.abort();
    await disconnected;
  });
});

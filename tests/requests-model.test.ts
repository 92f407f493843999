/** Model calls: whole answers, and honest ends where there is none. */

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

/** A request plane before one engine per list of scripts. */
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
  it('passes a stream on whole, with the outcome as a trailer', async () => {
    const { url } = await setUp([answerNormally]);
    const seen = await sendChat(url, { stream: true });
    expect(seen.text).toBe(frame('hello ') + frame('world', 'stop') + END_MARK);
    expect(seen).toMatchObject({ status: 200, isComplete: true });
    expect(seen.trailers['nutmegstack-outcome']).toBe('done');
  });

  it('passes an answer on that is not streamed', async () => {
    const { url } = await setUp([answerNormally]);
    const seen = await sendChat(url);
    expect(seen).toMatchObject({
      status: 200,
      isComplete: true,
      text: completionBody('hello world'),
    });
    expect(seen.headers['nutmegstack-outcome']).toBe('done');
  });

  it('tries another group when one cannot be reached, refuses or breaks before the first byte', async () => {
    for (const bad of [refuse, breakConnection]) {
      const setup = await setUp([bad], [bad], [answerNormally]);
      const seen = await sendChat(setup.url, { stream: true });
      expect(seen).toMatchObject({ status: 200, isComplete: true });
    }
  });

  it('says not-run when every group refused, and when to come back', async () => {
    const { url } = await setUp([refuse], [refuse]);
    const seen = await sendChat(url);
    expect(seen.headers['nutmegstack-outcome']).toBe('not-run');
    expect(Number(seen.headers['retry-after'])).toBeGreaterThan(0);
  });

  it('says unknown when the only attempt was sent and lost', async () => {
    const { url } = await setUp([breakConnection]);
    const seen = await sendChat(url);
    expect(seen.headers['nutmegstack-outcome']).toBe('unknown');
    expect(errorOf(seen)).toMatchObject({ code: 'backend-lost', step: 'first-byte' });
  });

  it('never sends a call again that is not repeatable once a byte left', async () => {
    const setup = await setUp([breakConnection], [breakConnection]);
    const headers = { 'nutmegstack-repeatable': 'false' };
    const seen = await sendChat(setup.url, {}, { headers });
    expect(seen.headers['nutmegstack-outcome']).toBe('unknown');
    expect(callsOf(setup)).toBe(1);
  });

  const broken: Record<string, Script> = {
    'torn in the middle': (call) => {
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
    'ends a stream %s with an error event and no clean end',
    async (_, script) => {
      const { url } = await setUp([
        async (call) => {
          await script(call);
        },
      ]);
      const seen = await sendChat(url, { stream: true });
      expect(seen.text).not.toContain('[DONE]');
      if (seen.status === 200) {
        expect(seen.isComplete).toBe(false);
        expect(seen.text).toContain('event: error');
      }
      expect(seen.text).toContain('"outcome":"unknown"');
    },
  );

  it('takes no answer that is for another attempt, group or epoch', async () => {
    for (const name of ['nutmegstack-attempt', 'nutmegstack-group', 'nutmegstack-epoch']) {
      const { url } = await setUp([
        ({ req, res }) => {
          res.writeHead(200, { ...echoedHeaders(req), [name]: 'another' });
          res.end(completionBody('not yours'));
        },
      ]);
      const seen = await sendChat(url);
      expect(seen.text).not.toContain('not yours');
      expect(seen.headers['nutmegstack-outcome']).toBe('unknown');
    }
  });

  it('stops the engine when the caller goes away', async () => {
    const left = new Subject<undefined>();
    const gone = firstValueFrom(left);
    const { url } = await setUp([
      (call) => {
        startSse(call);
        call.res.write(frame('hello '));
        call.res.once('close', () => {
          left.next(undefined);
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
    await gone;
  });
});

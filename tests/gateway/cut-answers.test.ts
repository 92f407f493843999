import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import { createUpstream } from '../../src/adapters/upstream/upstream';
import type { Upstream } from '../../src/adapters/upstream/upstream';
import { startRawServer } from '../support/endless-server';
import type { EndlessServer } from '../support/endless-server';
import { readAnswer } from '../support/read-answer';

const HEAD = 'HTTP/1.1 200 OK\r\nX-A: b\r\n';
const CHUNKS = '5\r\nwhole\r\n0\r\n';
const MANY_HEADERS = 'X-More: 1\r\n'.repeat(70);

/** Whole answers, whose ends their own framing shows. */
const FRAMED: Readonly<Record<string, string>> = {
  'a length': `${HEAD}Content-Length: 5\r\n\r\nwhole`,
  'a length and Connection: close': `${HEAD}Connection: close\r\nContent-Length: 5\r\n\r\nwhole`,
  'a length in HTTP/1.0': 'HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole',
  'a length behind many headers': `${HEAD}${MANY_HEADERS}Content-Length: 5\r\n\r\nwhole`,
  'a length behind an interim head': `HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n${HEAD}Content-Length: 5\r\n\r\nwhole`,
  chunks: `${HEAD}Transfer-Encoding: chunked\r\n\r\n${CHUNKS}\r\n`,
  'chunks and a trailer': `${HEAD}Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n${CHUNKS}X-Sum: 1\r\n\r\n`,
};
const UNFRAMED = `${HEAD}\r\nwhole`;

const ENDS = {
  'an end': (socket: Socket) => socket.end(),
  'a close': (socket: Socket) => socket.destroy(),
  'a reset': (socket: Socket) => socket.resetAndDestroy(),
};
type End = keyof typeof ENDS;
const CASES = Object.entries(FRAMED).flatMap(([form, whole]) =>
  (Object.keys(ENDS) as End[]).map((end) => ({ form, whole, end })),
);
/** Calls at the same time. */
const BATCH = 40;

let upstream: Upstream;
const servers: EndlessServer[] = [];

afterEach(() => {
  upstream.close();
  for (const server of servers.splice(0)) server.close();
});

/** Whether the answer that is cut at `at` counts as whole, and how its end is known; undefined without an answer. */
async function cutAt(whole: string, at: number, end: End) {
  const server = await startRawServer((socket) => {
    socket.write(whole.slice(0, at), () => setImmediate(ENDS[end], socket));
  });
  servers.push(server);
  const sent = await upstream.send({
    ...{ address: server.address, method: 'GET', path: '/', headers: ['Host', 'a.example'] },
    ...{ body: Buffer.alloc(0), ownConnection: false, beforeSend: () => undefined },
    signal: new AbortController().signal,
  });
  if (sent.kind !== 'answered') return undefined;
  const { isWhole, text } = await readAnswer(sent);
  return { at, framing: sent.framing, isWhole, text };
}

async function cutEverywhere(whole: string, end: End) {
  upstream = createUpstream();
  const places = Array.from({ length: whole.length }, (_, at) => at);
  const answers = [];
  while (places.length > 0) {
    const batch = places.splice(0, BATCH).map((at) => cutAt(whole, at, end));
    answers.push(...(await Promise.all(batch)));
  }
  return answers.filter((answer) => answer !== undefined);
}

describe('an answer that is cut within its head or its body', () => {
  // Guards against an empty or short body that counts as a whole answer (MIXED, ORDER).
  it.each(CASES)('is not whole with $form, cut by $end', async ({ whole, end }) => {
    const answers = await cutEverywhere(whole, end);
    expect(answers.filter(({ isWhole }) => isWhole)).toEqual([]);
  });

  it.each(['an end', 'a close'] as const)(
    'is in doubt without a length, cut by %s',
    async (end) => {
      const answers = await cutEverywhere(UNFRAMED, end);
      expect(answers.length).toBe('whole'.length);
      for (const { framing } of answers) expect(framing).toBe('close');
    },
  );

  it('is not whole without a length, cut by a reset', async () => {
    const answers = await cutEverywhere(UNFRAMED, 'a reset');
    expect(answers.filter(({ isWhole }) => isWhole)).toEqual([]);
  });
});

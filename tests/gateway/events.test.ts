import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { createEventReader } from '../../src/core/gateway/events';

function read(chunks: readonly string[]): {
  texts: string[];
  ids: (number | undefined)[];
  rest: boolean;
} {
  const reader = createEventReader();
  const events = chunks.flatMap((chunk) => reader.push(Buffer.from(chunk)));
  return {
    texts: events.map(({ bytes }) => bytes.toString()),
    ids: events.map(({ id }) => id),
    rest: reader.hasPartialEvent(),
  };
}

describe('an event stream', () => {
  it('is split into complete events', () => {
    const parsed = read(['id: 1\ndata: a\n', '\nid: 2\ndata: b']);
    expect(parsed.texts).toEqual(['id: 1\ndata: a\n\n']);
    expect(parsed.ids).toEqual([1]);
    expect(parsed.rest).toBe(true);
  });

  it('may use CRLF line ends and start an event with another field', () => {
    const parsed = read(['x-version: 3\r\nid:7\r\ndata: a\r\n\r\n']);
    expect(parsed.ids).toEqual([7]);
    expect(parsed.rest).toBe(false);
  });

  it('may contain events without an id, or with one that is not a number', () => {
    expect(read(['data: a\n\nid: x\ndata: b\n\n']).ids).toEqual([undefined, undefined]);
  });

  it('yields the same events however its bytes are split into chunks', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 3\ndata: c\n\n';
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: text.length - 1 }), { maxLength: 8 }),
        (cuts) => {
          const edges = [0, ...[...new Set(cuts)].sort((a, b) => a - b), text.length];
          const chunks = edges.slice(1).map((end, i) => text.slice(edges[i], end));
          const parsed = read(chunks);
          expect(parsed.ids).toEqual([1, 2, 3]);
          expect(parsed.texts.join('')).toBe(text);
        },
      ),
      { seed: 7, numRuns: 200 },
    );
  });
});

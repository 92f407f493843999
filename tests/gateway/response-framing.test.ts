import { describe, expect, it } from 'vitest';

import { framingOf } from '../../src/core/gateway/response-framing';
import type { FramedResponse } from '../../src/core/gateway/response-framing';

const response = (part: Partial<FramedResponse>): FramedResponse => ({
  ...{
    method: 'POST',
    status: 200,
    version: '1.1',
    contentLength: undefined,
    transferEncoding: undefined,
  },
  ...part,
});

describe('the end of a response', () => {
  it.each([
    ['length', { contentLength: '0' }],
    ['chunks', { transferEncoding: 'chunked' }],
    ['chunks', { transferEncoding: 'Chunked' }],
    ['close', {}],
    ['close', { status: 500 }],
    ['close', { version: '1.0' }],
    ['length', { version: '1.0', contentLength: '5' }],
    [undefined, { version: '1.0', transferEncoding: 'chunked' }],
    [undefined, { transferEncoding: 'gzip, chunked' }],
    [undefined, { transferEncoding: 'chunked, chunked' }],
    [undefined, { transferEncoding: '' }],
    ['none', { method: 'HEAD', contentLength: '5' }],
    ['none', { status: 204 }],
    ['none', { status: 304, contentLength: '5' }],
  ] as const)('is known by %s (%j)', (framing, part) => {
    expect(framingOf(response(part))).toBe(framing);
  });
});

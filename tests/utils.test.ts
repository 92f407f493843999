import { describe, expect, it } from 'vitest';

import { parseAddress } from '../src/utils/address';
import { compareText, hashParts } from '../src/utils/common';

describe('hashParts', () => {
  it('distinguishes parts with the same concatenation', () => {
    expect(hashParts('ab', 'c')).not.toBe(hashParts('a', 'bc'));
  });
});

describe('compareText', () => {
  it('orders by code unit', () => {
    expect(['b', 'a', 'B'].sort(compareText)).toEqual(['B', 'a', 'b']);
  });
});

describe('parseAddress', () => {
  it.each([
    ['10.0.0.1:80', { host: '10.0.0.1', port: 80 }],
    ['[::1]:7302', { host: '::1', port: 7302 }],
  ])('splits %s into host and port', (address, parts) => {
    expect(parseAddress(address)).toEqual(parts);
  });
});

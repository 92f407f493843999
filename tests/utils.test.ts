import { describe, expect, it } from 'vitest';

import { parseAddress } from '../src/utils/address';
import { compareText, hashParts } from '../src/utils/common';

describe('hashParts', () => {
  it('keeps parts apart', () => {
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
  ])('takes %s apart', (address, parts) => {
    expect(parseAddress(address)).toEqual(parts);
  });
});

import { describe, expect, it } from 'vitest';

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

import { describe, expect, it } from 'vitest';

import { dialect } from '../../platform/ingress';
import { HEADERS } from '../../platform/names';

const read = (text: string) => dialect.parseRequest({ [HEADERS.promptParts]: text }).sharedParts;

describe('the parts of a prompt that requests share', () => {
  it('are all but the last one, in order', () => {
    expect(read('5c1e07a2:800,91bd3f06:410,e4402b7d:250')).toEqual(['5c1e07a2', '91bd3f06']);
    expect(read('5c1e07a2:800, 91bd3f06:410')).toEqual(['5c1e07a2']);
  });

  it('are none if the prompt has one part, or names none', () => {
    expect(read('e4402b7d:250')).toBeUndefined();
    expect(read('')).toBeUndefined();
    expect(dialect.parseRequest({}).sharedParts).toBeUndefined();
  });

  // Guards against a caller whose header makes the daemon keep whatever it contains.
  it('leave out what is no part, and are bounded in number and length', () => {
    expect(read(`${'x'.repeat(500)}:1,a:b,:3,good:10,last:1`)).toEqual(['good']);
    const many = Array.from({ length: 1_000 }, (_, n) => `p${n}:1`).join(',');
    expect(read(many)).toHaveLength(32);
  });
});

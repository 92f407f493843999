import { describe, expect, it } from 'vitest';

import { mayEndInTime } from '../../src/core/gateway/stop-admission';
import { at } from './support';

describe('a request at a daemon that stops', () => {
  it.each([
    { title: 'no stop', stopBy: undefined, usualMs: 60_000, isTaken: true },
    { title: 'its own time ends before', stopBy: 9_000, usualMs: 60_000, isTaken: true },
    { title: 'usual ones are short', stopBy: 3_000, usualMs: 500, isTaken: true },
    { title: 'nothing is known', stopBy: 3_000, usualMs: 0, isTaken: true },
    { title: 'a slow one would be cut', stopBy: 3_000, usualMs: 1_100, isTaken: false },
    { title: 'the end has come', stopBy: 900, usualMs: 0, isTaken: false },
  ])('is taken: $isTaken ($title)', ({ stopBy, usualMs, isTaken }) => {
    const by = stopBy === undefined ? undefined : at(stopBy);
    const request = { now: at(1_000), stopBy: by, answerBy: at(8_000), usualMs };
    expect(mayEndInTime(request)).toBe(isTaken);
  });
});

import { describe, expect, it } from 'vitest';

import { summarizeWork } from '../../src/core/gateway/work';
import { LARGE, SMALL } from './support';

describe('the work of a model', () => {
  it('tells requests in places from those that wait in engines and those that wait in daemons', () => {
    const groups = [
      { model: LARGE, running: 25, batchSize: 18, isSuspect: false },
      { model: LARGE, running: 10, batchSize: 18, isSuspect: false },
      { model: LARGE, running: 2, batchSize: 18, isSuspect: true },
    ];
    const waiting = [{ model: LARGE, daemons: 4, requests: 9 }];
    expect(summarizeWork(groups, waiting)).toEqual([
      {
        ...{ model: LARGE, groups: 3, suspects: 1, places: 54 },
        ...{ running: 30, queued: 7, free: 8, waitingDaemons: 4, waiting: 9 },
      },
    ]);
  });

  it('is told of a model without groups where requests wait for it', () => {
    const found = summarizeWork([], [{ model: SMALL, daemons: 1, requests: 2 }]);
    expect(found).toMatchObject([{ model: SMALL, groups: 0, places: 0, waiting: 2 }]);
  });
});

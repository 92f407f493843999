import { describe, expect, it } from 'vitest';

import { summarizeServers, summarizeWork } from '../../src/core/gateway/work';
import { inGroup, LARGE, makeServer, SERVICE, SMALL } from './support';

describe('the load of a model', () => {
  it('distinguishes requests in slots, requests queued in engines and requests waiting in daemons', () => {
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

  it('includes a model without groups that has waiting requests', () => {
    const found = summarizeWork([], [{ model: SMALL, daemons: 1, requests: 2 }]);
    expect(found).toMatchObject([{ model: SMALL, groups: 0, places: 0, waiting: 2 }]);
  });
});

describe('the servers of a service', () => {
  it('are counted by state', () => {
    const servers = [
      makeServer('1', inGroup('group-1', 0, 'open')),
      makeServer('2', inGroup('group-1', 1, 'ready')),
      makeServer('3', inGroup('standby-2', 0, 'ready')),
      makeServer('4', inGroup('group-3', 0, 'joining')),
      makeServer('5', inGroup('group-4', 0, 'broken')),
      makeServer('6'),
      makeServer('7', { isDraining: true }),
    ];
    expect(summarizeServers(servers)).toEqual([
      {
        ...{ service: SERVICE, servers: 7, leaving: 1, ready: 2 },
        ...{ joining: 1, standby: 1, ending: 1, idle: 1 },
      },
    ]);
  });
});

import { describe, expect, it } from 'vitest';

import { ONE_MODEL, replay } from './late-order-worlds';
import type { Scenario } from './late-order-worlds';
import { SMALL } from './support';

const FULL_SMALL = new Map([[SMALL, 0.95]]);

const LOST: Scenario = {
  ...{ engine: ONE_MODEL, offeredLoad: FULL_SMALL, servers: 2, from: 3_200, until: 7_500 },
  step: ({ fleet, member, sinceMs }) => {
    const lost = sinceMs === 0 ? member(SMALL) : undefined;
    if (lost !== undefined) fleet.kill(lost);
    if (sinceMs === 1_200) fleet.add('d0');
  },
};

const JOIN = 'join group-65537 to s000@0';
const OPEN = 'open group-65537 to s000@0';
const LEAVE = 'leave group-65537 to s000@0';

describe('a head that may have orders on their way', () => {
  // Guards against the answer to an earlier order to leave that is taken for the answer to the present one (TWO).
  it('is not given away again until it has left again', () => {
    const run = replay(LOST, [
      `${JOIN} is not answered`,
      `${OPEN} is not answered`,
      `3900 ${JOIN} is carried out`,
      `4100 ${OPEN} is carried out`,
      `${LEAVE} is not answered`,
    ]);
    expect(run.violations).toEqual([]);
  });
});

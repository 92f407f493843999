import { describe, expect, it } from 'vitest';

import { createRandom } from '../../src/adapters/runtime';
import { mayTake, mostRunning, roomIn } from '../../src/core/gateway/room';

const BUSY = {
  ...{ running: 12, batchSize: 18, unread: 0, maxUnread: 8_000 },
  ...{ usualPrompt: 1_000, readMeanwhile: 4 },
};

describe('the room in a group', () => {
  it('is what its places leave, and a few requests that take each place as it becomes free', () => {
    expect(roomIn(BUSY)).toBe(mostRunning(18) - 12);
    expect(mostRunning(18)).toBeGreaterThan(18);
    expect(mostRunning(18)).toBeLessThan(24);
  });

  it('is what can be read, where prompts wait to be read', () => {
    expect(roomIn({ ...BUSY, unread: 7_000, readMeanwhile: 1 })).toBe(2);
    expect(roomIn({ ...BUSY, unread: 9_000, readMeanwhile: 0 })).toBe(0);
  });

  it('is none in an overfull group', () => {
    expect(roomIn({ ...BUSY, running: 40 })).toBe(0);
  });
});

describe('what a daemon may take of the room', () => {
  const use = { room: 20, lot: 0, sent: 0, ended: 0 };

  it('is all while there is enough for everybody', () => {
    expect(mayTake({ ...use, sent: 15 }, { here: 5, elsewhere: 10 })).toBe(Infinity);
  });

  it('is its part by need while there is not, less what it took', () => {
    expect(mayTake(use, { here: 10, elsewhere: 30 })).toBe(5);
    expect(mayTake({ ...use, sent: 5 }, { here: 10, elsewhere: 30 })).toBe(0);
  });

  it('grows with most of the places that its own streams gave back', () => {
    expect(mayTake({ ...use, room: 0, ended: 5 }, { here: 10, elsewhere: 30 })).toBe(4);
  });

  it('adds up to the room over all daemons, however many wait', () => {
    const random = createRandom(3);
    const daemons = 70;
    const [room, rounds] = [12, 200];
    let taken = 0;
    for (let n = 0; n < daemons * rounds; n++) {
      const lot = random.next();
      taken += mayTake({ ...use, room, lot }, { here: 2, elsewhere: 2 * (daemons - 1) });
    }
    expect(taken / rounds).toBeGreaterThan(0.95 * room);
    expect(taken / rounds).toBeLessThan(1.05 * room);
  });
});

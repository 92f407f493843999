import { describe, expect, it } from 'vitest';

import { refuseEarly, returnAfter } from '../../src/core/gateway/early-refusal';
import type { ServiceView } from '../../src/core/gateway/early-refusal';

const LEFT = { slackMs: 200, slotMs: 1_300 };
/** 100 slots that serve 50 requests per second; a quarter of the class arrives here. */
const FULL: ServiceView = {
  ...{ slots: 100, running: 100, holdMs: 2_000, hasPeerLoads: true },
  urgent: { waiting: 0, perSecond: 0 },
  own: { waiting: 4, perSecond: 40 },
  lessUrgent: { waiting: 0, perSecond: 0 },
  ...{ localShare: 0.25, localAhead: 4, remoteUrgent: 0 },
};
const SATURATED: ServiceView = {
  ...FULL,
  urgent: { waiting: 20, perSecond: 60 },
  remoteUrgent: 20,
};

describe('a request that found no slot', () => {
  it('is refused if more urgent requests need all slots until its caller gives up', () => {
    expect(refuseEarly(SATURATED, LEFT)).toEqual({ expectedWaitMs: Infinity, ahead: 9 });
    expect(refuseEarly({ ...SATURATED, localAhead: 0, remoteUrgent: 0 }, LEFT)).toBeDefined();
  });

  it('waits if it will be served late, but is refused if not even that', () => {
    const late = { ...FULL, own: { waiting: 4, perSecond: 30 } };
    expect(refuseEarly(late, LEFT)).toBeUndefined();
    expect(refuseEarly({ ...late, localAhead: 40 }, LEFT)?.expectedWaitMs).toBeGreaterThan(1_300);
  });

  // Guards against late requests that wait for a slot which timely ones of a less urgent class take.
  it('is refused if it would be late and all classes together need all slots', () => {
    const late = { ...FULL, own: { waiting: 4, perSecond: 30 } };
    const lessUrgent = { waiting: 0, perSecond: 40 };
    expect(refuseEarly({ ...late, lessUrgent }, LEFT)?.expectedWaitMs).toBe(Infinity);
    expect(refuseEarly({ ...late, lessUrgent }, { ...LEFT, slackMs: 400 })).toBeUndefined();
  });

  it('waits if it is the first of its class and the class is served', () => {
    expect(
      refuseEarly({ ...FULL, own: { waiting: 9, perSecond: 90 }, localAhead: 0 }, LEFT),
    ).toBeUndefined();
  });

  // Guards against refusals while there is room: these count as errors of the gateway.
  it.each([
    ['nothing waits', { urgent: { waiting: 0, perSecond: 60 }, own: { waiting: 0, perSecond: 9 } }],
    ['slots are free', { running: 49 }],
    ["the others' load is unknown", { hasPeerLoads: false }],
    ['the holding time is unknown', { holdMs: undefined }],
  ])('waits while %s', (_, more) => {
    expect(refuseEarly({ ...SATURATED, ...more }, LEFT)).toBeUndefined();
  });
});

describe('the time at which a refused caller returns', () => {
  it('is when the requests ahead were served, or grows with the load, and is spread', () => {
    expect(returnAfter(FULL, { expectedWaitMs: 1_500, ahead: 9 })).toEqual({
      minMs: 1_500,
      spreadMs: 1_500,
    });
    const never = { expectedWaitMs: Infinity, ahead: 9 };
    const { minMs } = returnAfter(SATURATED, never);
    expect(minMs).toBeGreaterThan(1_500);
    expect(returnAfter({ ...SATURATED, own: { waiting: 9, perSecond: 999 } }, never).minMs).toBe(
      4_000,
    );
  });
});

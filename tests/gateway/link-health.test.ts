import { describe, expect, it } from 'vitest';

import { isLinkUnresponsive, noteLinkSend } from '../../src/core/gateway/link-health';
import type { LinkActivity } from '../../src/core/gateway/link-health';
import { at } from './support';

const SETTLE_MS = 3_000;
const EVERY_MS = 200;

/** A peer is told something every 200 ms; instants at which its link is made anew. */
function renewals(heardAt: (now: number) => number | undefined, untilMs: number): number[] {
  const found: number[] = [];
  let conversation: LinkActivity | undefined;
  for (let now = 0; now <= untilMs; now += EVERY_MS) {
    conversation = noteLinkSend(conversation, at(now), SETTLE_MS);
    const heard = heardAt(now);
    if (
      !isLinkUnresponsive(
        conversation,
        heard === undefined ? undefined : at(heard),
        at(now),
        SETTLE_MS,
      )
    )
      continue;
    found.push(now);
    conversation = undefined;
  }
  return found;
}

describe('a peer that is told something several times a second', () => {
  it('keeps its link while it is heard of, however seldom within the limit', () => {
    expect(renewals((now) => now - (now % 1_400), 30_000)).toEqual([]);
  });

  it('gets a new link once it is silent, and further ones at that interval', () => {
    const [first = 0, second = 0] = renewals(() => 0, 10_000);
    expect(first).toBeLessThan(SETTLE_MS * 0.6);
    expect(second - first).toBeGreaterThanOrEqual(SETTLE_MS / 2);
  });

  it('is not missed where it never spoke', () => {
    expect(renewals(() => undefined, 30_000)).toEqual([]);
  });

  it('is given time after a pause in which it was told nothing', () => {
    const old = noteLinkSend(undefined, at(0), SETTLE_MS);
    const anew = noteLinkSend(old, at(60_000), SETTLE_MS);
    expect(isLinkUnresponsive(anew, at(100), at(60_000), SETTLE_MS)).toBe(false);
  });
});

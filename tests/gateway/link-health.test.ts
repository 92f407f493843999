import { describe, expect, it } from 'vitest';

import { isLinkUnresponsive, noteLinkSend } from '../../src/core/gateway/link-health';
import type { LinkActivity } from '../../src/core/gateway/link-health';
import { at } from './support';

const SETTLE_MS = 3_000;
const EVERY_MS = 200;

/** Sends to a peer every 200 ms; returns the times at which its link is replaced. */
function linkReplacements(heardAt: (now: number) => number | undefined, untilMs: number): number[] {
  const replacedAt: number[] = [];
  let activity: LinkActivity | undefined;
  for (let now = 0; now <= untilMs; now += EVERY_MS) {
    activity = noteLinkSend(activity, at(now), SETTLE_MS);
    const heard = heardAt(now);
    if (
      !isLinkUnresponsive(activity, heard === undefined ? undefined : at(heard), at(now), SETTLE_MS)
    )
      continue;
    replacedAt.push(now);
    activity = undefined;
  }
  return replacedAt;
}

describe('a peer that is sent messages several times per second', () => {
  it('keeps its link while it is heard from within the limit, however rarely', () => {
    expect(linkReplacements((now) => now - (now % 1_400), 30_000)).toEqual([]);
  });

  it('gets a new link once it is unresponsive, and more at that interval', () => {
    const [first = 0, second = 0] = linkReplacements(() => 0, 10_000);
    expect(first).toBeLessThan(SETTLE_MS * 0.6);
    expect(second - first).toBeGreaterThanOrEqual(SETTLE_MS / 2);
  });

  it('does not count as unresponsive if it was never heard from', () => {
    expect(linkReplacements(() => undefined, 30_000)).toEqual([]);
  });

  it('is given time to respond after a pause in sending', () => {
    const before = noteLinkSend(undefined, at(0), SETTLE_MS);
    const resumed = noteLinkSend(before, at(60_000), SETTLE_MS);
    expect(isLinkUnresponsive(resumed, at(100), at(60_000), SETTLE_MS)).toBe(false);
  });
});

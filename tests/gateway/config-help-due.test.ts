import { describe, expect, it } from 'vitest';

import {
  createHelpBudget,
  helpDueAt,
  noteLag,
  spendHelp,
} from '../../src/core/gateway/config-help';
import type { HelpParams, LaggingPeer } from '../../src/core/gateway/config-help';
import { at } from './support';

const CONFIG_MS = 3_000;
const LARGE_BYTES = 291_000;
const LONG_AGO = at(-20_000);
const PARAMS: HelpParams = {
  ...{ answeredAt: LONG_AGO, isStoreLost: false, bytes: LARGE_BYTES },
  ...{ configMs: CONFIG_MS, rank: 0 },
};
const LAG: LaggingPeer = { version: 4, since: at(0), seenAt: at(0) };

describe('a peer that lacks a version', () => {
  // Guards against help while the store's own answer is on its way over a slow link.
  it('is helped after the time that its own poll needs, well before the version is due', () => {
    const polling = helpDueAt(LAG, PARAMS);
    const pausing = helpDueAt(LAG, { ...PARAMS, answeredAt: at(-100) });
    expect(polling).toBeGreaterThan(LARGE_BYTES / 400);
    expect(pausing).toBeGreaterThan(polling);
    expect(pausing).toBeLessThan(CONFIG_MS / 2);
  });

  // Guards against a daemon that waits for a store which does not answer it.
  it('is helped sooner if the store does not answer it, and at once if it has no version', () => {
    const lost = helpDueAt(LAG, { ...PARAMS, isStoreLost: true });
    expect(lost).toBeLessThan(helpDueAt(LAG, PARAMS));
    expect(helpDueAt({ ...LAG, version: 0 }, PARAMS)).toBe(0);
  });

  // Guards against copies from many daemons that are sent before the first has arrived.
  it('is helped by further daemons only once the help of the first could be seen', () => {
    const dueAts = [0, 1, 3, 120].map((rank) => helpDueAt(LAG, { ...PARAMS, rank }));
    const [first = 0, second = 0, fourth = 0, last = 0] = dueAts;
    expect(second - first).toBeGreaterThan(LARGE_BYTES / 700 + 400);
    expect(fourth).toBeGreaterThan(second);
    expect(last).toBeLessThan(15_000);
  });

  it('lags from the first report on that shows no progress', () => {
    const first = noteLag(undefined, 4, 5, at(1_000));
    expect(first).toMatchObject({ since: 1_000 });
    const same = noteLag(first, 4, 7, at(1_400));
    expect(same).toMatchObject({ since: 1_000 });
    expect(noteLag(same, 6, 7, at(1_800))).toMatchObject({ version: 6, since: 1_800 });
    expect(noteLag(same, 7, 7, at(1_800))).toBeUndefined();
  });

  // Guards against all daemons that help a leader together when it is heard again.
  it('is observed anew after it was not heard', () => {
    const first = noteLag(undefined, 4, 5, at(0));
    expect(noteLag(first, 4, 5, at(9_000))).toMatchObject({ since: 9_000 });
  });
});

describe('the budget for help', () => {
  // Guards against a link full of help when many daemons lag.
  it('bounds the bytes of a daemon over time, however large a version is', () => {
    for (const bytes of [20_000, LARGE_BYTES, 1_500_000]) {
      let budget = createHelpBudget(at(0));
      let sent = 0;
      const forMs = 20_000;
      for (let now = 0; now < forMs; now += 5) {
        const remaining = spendHelp(budget, bytes, at(now));
        if (!remaining) continue;
        budget = remaining;
        sent += bytes;
      }
      expect(sent).toBeLessThanOrEqual(300 * forMs + 300_000 + bytes);
      expect(sent).toBeGreaterThan(0.8 * 300 * forMs);
    }
  });
});

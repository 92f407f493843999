import { afterAll, beforeEach, expect, it } from 'vitest';

import { createFleetProvider, expectUnharmed, PAUSE_MS } from './paused-fleet';
import type { PausedFleet } from './paused-fleet';

const SEED = 54;
/**
 * Until the group of a server that ended is served again: 1.40 to 1.66 s were measured before silence
 * needed evidence (at loads of 15 to 20 on 8 cores), and 0.3 s are allowed for that.
 */
const REPLACED_MS = 1_960;

const provider = createFleetProvider(30_400, SEED);
let fleet: PausedFleet;

beforeEach(async () => {
  fleet = await provider.intact();
});

afterAll(provider.close);

// Guards against groups that end beside a real loss, and against a loss that is found later.
it('streams are torn by the end of a server alone, beside a pause, and its group is soon replaced', async () => {
  const lost = fleet.pick(fleet.groups().filter(({ domain }) => domain === 'd0'));
  let replacedMs: Promise<number> | undefined;
  const outcome = await fleet.play(PAUSE_MS, async () => {
    replacedMs = fleet.endMember(lost);
    await fleet.pauseServers({ domain: 'd1', isPlain: false }, PAUSE_MS);
  });
  expect(await replacedMs).toBeLessThan(REPLACED_MS);
  expectUnharmed({ ...outcome, ended: outcome.ended.filter((id) => id !== lost.id) });
});

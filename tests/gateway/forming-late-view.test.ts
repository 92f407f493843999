import { describe, expect, it } from 'vitest';

import { createEngineFleet } from '../../stand-ins/users-platform/engines';
import { createLeader } from './leader';
import { FLEET, LARGE, SMALL } from './support';

const STEP_MS = 50;
const START_MS = 4_000;
/** Longer than any group has to become complete. */
const AWAY_MS = 30_000;
const SETTLE_MS = 8_000;

describe('a leader that reads no entries for longer than groups have to become complete', () => {
  // Guards against groups that are ended under the streams that other daemons have sent to them meanwhile.
  it('ends none of the groups that were completed meanwhile', () => {
    for (let ms = 0; ms < START_MS; ms += STEP_MS) {
      const fleet = createEngineFleet({ ...FLEET, domains: [11, 11], hasTraffic: false });
      const leader = createLeader(fleet);
      leader.run(ms);
      const forming = [...leader.state().formations.keys()];
      fleet.advance(AWAY_MS);
      const opened = [...fleet.servers.values()].flatMap(({ joined }) =>
        joined?.state === 'open' ? [joined.group] : [],
      );
      leader.run(STEP_MS);
      const ended = [...leader.state().retirements.keys()];
      expect(ended.filter((group) => opened.includes(group))).toEqual([]);
      if (forming.length === 0) continue;
      leader.run(SETTLE_MS);
      expect([fleet.serving(LARGE), fleet.serving(SMALL)]).toEqual([2, 2]);
      expect(fleet.violations).toEqual([]);
    }
  });
});

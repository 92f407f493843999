import { describe, expect, it } from 'vitest';

import { findFreePorts } from '../support/free-ports';
import type { Attempt } from './planned-callers';
import { outcomeOf } from './planned-judge';
import { soakPlanned } from './planned';
import { SOAK_PORTS } from './world';

const ATTEMPT: Attempt = {
  ...{ requestId: 'a', kind: 'safe', caller: 'kept', daemon: 'daemon-0', isKept: true },
  ...{ sentAt: 1_000, endedAt: 1_500, end: 'closed', reply: undefined },
};
const LATE = { endedAt: 8_960 };
const REPLY = { status: 200, headers: {}, text: 'id: 1', isWhole: false };

describe('the judge of planned work', () => {
  // Guards against a clause of the rule that counts nothing.
  it.each([
    { is: 'lost: passed on, no answer (kept)', isPassedOn: true, more: {} },
    { is: 'lost: passed on, no answer (new)', isPassedOn: true, more: { isKept: false } },
    { is: 'lost: passed on, torn', isPassedOn: true, more: { reply: REPLY } },
    { is: 'lost: whole, not passed on, ended late', isPassedOn: false, more: {} },
    { is: 'not counted: ended within the slack', isPassedOn: false, more: { endedAt: 1_200 } },
    { is: 'not counted: not sent whole', isPassedOn: false, more: { sentAt: undefined } },
    { is: 'lost: passed on, cut shortly before its deadline', isPassedOn: true, more: LATE },
    { is: 'not counted: at its deadline', isPassedOn: true, more: { endedAt: 9_001 } },
  ])('tells "$is"', ({ is, isPassedOn, more }) => {
    expect(outcomeOf({ ...ATTEMPT, ...more }, isPassedOn, [])).toBe(is);
  });

  it('excuses only what its daemon stopped within the last sixth of the grace', () => {
    const stop = { name: 'stop', daemon: 'daemon-0', at: 500 };
    const late = { ...ATTEMPT, endedAt: 7_400 };
    expect(outcomeOf(late, true, [stop])).toBe('not counted: in the last sixth of the grace');
    expect(outcomeOf({ ...late, endedAt: 7_000 }, true, [stop])).toMatch(/^lost/);
    expect(outcomeOf({ ...late, sentAt: 3_600 }, true, [stop])).toMatch(/^lost/);
    expect(outcomeOf(late, true, [{ ...stop, daemon: 'daemon-1' }])).toMatch(/^lost/);
  });
});

describe('daemons under stops, SIGHUPs and configurations alone', () => {
  // Guards against requests that a stop or a change of the configuration loses without any fault beside it.
  it('lose no request (seed 1)', async () => {
    const firstPort = await findFreePorts(SOAK_PORTS);
    const options = { seed: 1, daemons: 4, callers: 1, durationMs: 5_000, firstPort };
    const { faults, counts } = await soakPlanned(options);
    expect(faults).toEqual([]);
    // A run without answers proves nothing.
    expect(counts['200']).toBeGreaterThan(100);
  });
});

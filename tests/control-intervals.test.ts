import { describe, expect, it } from 'vitest';

import { CONTROL_SETTINGS, INITIAL_SIZE, intervalsFor } from '../src/app/control/settings';

const CURRENT_SIZE = {
  ...INITIAL_SIZE,
  probedInstances: 20,
  peers: 7,
  listedInstances: 70,
  groupMembers: 64,
  isLister: false,
};
const PLANNED_SIZE = {
  probedInstances: 23,
  peers: 670,
  listedInstances: 7_500,
  groupMembers: 7_504,
  isLister: false,
};
const GROUP_MEMBER_BYTES = 120;

describe('intervals of the control plane', () => {
  it('reads groups every two seconds in a fleet of the current size', () => {
    expect(intervalsFor(CONTROL_SETTINGS, CURRENT_SIZE).pollMs).toBe(CONTROL_SETTINGS.pollMs);
  });

  it('keeps reads of groups within the byte and scan limits in a fleet of the planned size', () => {
    const { pollMs } = intervalsFor(CONTROL_SETTINGS, PLANNED_SIZE);
    const bytesPerSecond = (PLANNED_SIZE.groupMembers * GROUP_MEMBER_BYTES * 1_000) / pollMs;
    expect(bytesPerSecond).toBeLessThanOrEqual(CONTROL_SETTINGS.pollBytesPerSecond);
    const scansPerSecond = (PLANNED_SIZE.peers * 1_000) / pollMs;
    expect(scansPerSecond).toBeLessThanOrEqual(CONTROL_SETTINGS.scansPerSecond);
  });

  it('does not read leases less often because of the bytes of groups, since takeovers wait on it', () => {
    const { leaseMs } = intervalsFor(CONTROL_SETTINGS, PLANNED_SIZE);
    expect(leaseMs).toBeLessThan(5_000);
    expect((PLANNED_SIZE.peers * 1_000) / leaseMs).toBeLessThanOrEqual(
      CONTROL_SETTINGS.scansPerSecond,
    );
  });
});

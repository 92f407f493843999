import { describe, expect, it } from 'vitest';

import { CONTROL_SETTINGS, INITIAL_SIZE, intervalsFor } from '../src/app/control/settings';

const TODAY = {
  ...INITIAL_SIZE,
  probedInstances: 20,
  peers: 7,
  listedInstances: 70,
  groupMembers: 64,
  isLister: false,
};
const PLANNED = {
  probedInstances: 23,
  peers: 670,
  listedInstances: 7_500,
  groupMembers: 7_504,
  isLister: false,
};
const GROUP_MEMBER_BYTES = 120;

describe('the pace of the control plane', () => {
  it('reads groups every two seconds at the size of today', () => {
    expect(intervalsFor(CONTROL_SETTINGS, TODAY).pollMs).toBe(CONTROL_SETTINGS.pollMs);
  });

  it('keeps reading groups within its bytes and scans at the size planned for', () => {
    const { pollMs } = intervalsFor(CONTROL_SETTINGS, PLANNED);
    const bytesPerSecond = (PLANNED.groupMembers * GROUP_MEMBER_BYTES * 1_000) / pollMs;
    expect(bytesPerSecond).toBeLessThanOrEqual(CONTROL_SETTINGS.pollBytesPerSecond);
    const scansPerSecond = (PLANNED.peers * 1_000) / pollMs;
    expect(scansPerSecond).toBeLessThanOrEqual(CONTROL_SETTINGS.scansPerSecond);
  });

  it('reads leases no seldomer for that, since their takeover waits on it', () => {
    const { leaseMs } = intervalsFor(CONTROL_SETTINGS, PLANNED);
    expect(leaseMs).toBeLessThan(5_000);
    expect((PLANNED.peers * 1_000) / leaseMs).toBeLessThanOrEqual(CONTROL_SETTINGS.scansPerSecond);
  });
});

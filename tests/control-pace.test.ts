import { describe, expect, it } from 'vitest';

import { CONTROL_SETTINGS, NO_LOAD, paceOf } from '../src/app/control/settings';

const TODAY = { ...NO_LOAD, probed: 20, peers: 7, listed: 70, grouped: 64, isLister: false };
const PLANNED = { probed: 23, peers: 670, listed: 7_500, grouped: 7_504, isLister: false };
const GROUP_MEMBER_BYTES = 120;

describe('the pace of the control plane', () => {
  it('reads groups every two seconds at the size of today', () => {
    expect(paceOf(CONTROL_SETTINGS, TODAY).pollMs).toBe(CONTROL_SETTINGS.pollMs);
  });

  it('keeps reading groups within its bytes and scans at the size planned for', () => {
    const { pollMs } = paceOf(CONTROL_SETTINGS, PLANNED);
    const bytesPerSecond = (PLANNED.grouped * GROUP_MEMBER_BYTES * 1_000) / pollMs;
    expect(bytesPerSecond).toBeLessThanOrEqual(CONTROL_SETTINGS.pollBytesPerSecond);
    const scansPerSecond = (PLANNED.peers * 1_000) / pollMs;
    expect(scansPerSecond).toBeLessThanOrEqual(CONTROL_SETTINGS.scansPerSecond);
  });

  it('reads leases no seldomer for that, since their takeover waits on it', () => {
    const { leaseMs } = paceOf(CONTROL_SETTINGS, PLANNED);
    expect(leaseMs).toBeLessThan(5_000);
    expect((PLANNED.peers * 1_000) / leaseMs).toBeLessThanOrEqual(CONTROL_SETTINGS.scansPerSecond);
  });
});

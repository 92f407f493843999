import { readFileSync } from 'node:fs';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { ENDLESS_ANSWERS, ENDLESS_STREAMS } from '../../stand-ins/users-platform/endless';
import type { EndlessShape } from '../../stand-ins/users-platform/endless';
import { isServed, startFixture } from './gateway-fixture';
import type { GatewayFixture } from './gateway-fixture';

const FIRST_PORT = 28_700;
const PER_S = 30;
const SPOILED_PER_S = 100;
const PLAY_MS = 2_000;
const WAIT_MS = 3_000;
/** A process above this is killed. */
const MEMORY_MB = 350;

let fixture: GatewayFixture;

beforeAll(async () => {
  fixture = await startFixture({
    ...{ firstPort: FIRST_PORT, daemons: 1, plainServers: 3, waitMs: WAIT_MS },
  });
});

afterAll(() => {
  fixture.close();
});

/** The most memory that the daemon has used so far. */
function peakMb(): number {
  const status = readFileSync(`/proc/${fixture.pid(0)}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) / 1_024;
}

const CASES: readonly (readonly [string, string, EndlessShape | undefined])[] = [
  ...Object.entries(ENDLESS_ANSWERS).map(
    ([name, shape]) => ['/unsafe/endless', name, shape] as const,
  ),
  ['/stream/endless', 'an event without end', ENDLESS_STREAMS['an event without end']],
];

describe('many answers without end at a time', () => {
  // Guards against a daemon that keeps them all, runs out of memory and ends with the requests of all callers (LOST).
  it.each(CASES)('leave the daemon its memory (%s, %s)', async (path, _, shape) => {
    if (!shape) throw new Error('no such shape');
    const pid = fixture.pid(0);
    fixture.platform.statements.endless.set(path, shape);
    const [others] = await Promise.all([
      fixture.sendRequests('/safe/x', PER_S, PLAY_MS),
      fixture.sendRequests(path, SPOILED_PER_S, PLAY_MS),
    ]);
    fixture.platform.statements.endless.delete(path);
    expect(peakMb()).toBeLessThan(MEMORY_MB);
    expect(fixture.pid(0)).toBe(pid);
    expect(others.filter((sent) => !isServed(sent))).toEqual([]);
  });
});

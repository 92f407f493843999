import { describe, expect, it } from 'vitest';

import type { ObservedState } from '../../src/adapters/upstream/forward-client';
import { createServerChecks } from '../../src/app/gateway/quarantine/server-checks';
import type { RunTarget, ServerChecks } from '../../src/app/gateway/quarantine/server-checks';
import { brandAs } from '../../src/core/ids';
import type { DomainId, EpochTime, GroupId, InstanceId } from '../../src/core/ids';
import type { BackendServer } from '../../src/core/gateway/types';
import { at, instance, makeContext, makeServer } from './support';

const TARGET: RunTarget = {
  server: instance('i1'),
  address: '127.0.0.1:1',
  group: brandAs<GroupId>('g1'),
  domain: brandAs<DomainId>('d1'),
};
const TICK_MS = 50;

interface World {
  readonly checks: ServerChecks;
  readonly ended: Map<InstanceId, BackendServer>;
  readonly lost: GroupId[];
  state: ObservedState;
  isInterrupted: boolean;
  /** Number of checks. */
  checked: number;
  run(ms: number): Promise<void>;
}

function setUp(state: ObservedState): World {
  let now = 1_000;
  const clock = { now: () => at(now), epoch: () => brandAs<EpochTime>(now) };
  const world = {
    ended: new Map<InstanceId, BackendServer>(),
    lost: [] as GroupId[],
    ...{ state, isInterrupted: true, checked: 0 },
  };
  const checks = createServerChecks(makeContext({ clock }), {
    serverRegistry: { ended: world.ended },
    findState: () => {
      world.checked += 1;
      return Promise.resolve(world.state);
    },
    isInterrupted: () => world.isInterrupted,
    onLost: (group) => {
      world.lost.push(group);
      checks.forget(group);
    },
  });
  const run = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      now += TICK_MS;
      checks.tick();
      await Promise.resolve();
      await Promise.resolve();
    }
  };
  return Object.assign(world, { checks, run });
}

describe('the check of a server whose connection broke', () => {
  // Guards against striking a request for the pause of a server, of its host, or for a link.
  it.each(['unreachable', 'unknown'] as const)('counts no end while it is %s', async (state) => {
    const world = setUp(state);
    world.checks.check(TARGET);
    await world.run(2_000);
    expect(world.lost).toEqual([]);
  });

  // Guards against missing an end that could not be told from a failed link at first.
  it.each(['unreachable', 'unknown'] as const)('is repeated if it was %s', async (state) => {
    const world = setUp(state);
    world.checks.check(TARGET);
    await world.run(TICK_MS);
    world.state = 'refused';
    await world.run(1_000);
    expect(world.lost).toEqual([TARGET.group]);
  });

  // Guards against missing an end that breaks connections first and closes the port a moment later.
  it('is repeated soon if the port was still open', async () => {
    const world = setUp('listening');
    world.checks.check(TARGET);
    await world.run(TICK_MS);
    world.state = 'refused';
    await world.run(300);
    expect(world.lost).toEqual([TARGET.group]);
  });

  // Guards against connections without need: a server that runs on is new to none of its callers.
  it('is repeated only once if the server runs on', async () => {
    const world = setUp('listening');
    world.checks.check(TARGET);
    await world.run(2_000);
    expect(world.checked).toBe(2);
    expect(world.lost).toEqual([]);
  });

  it('counts an end once the server refuses', async () => {
    const world = setUp('refused');
    world.checks.check(TARGET);
    await world.run(TICK_MS);
    expect(world.lost).toEqual([TARGET.group]);
  });

  // Guards against missing the end of a server that is out of reach: its entry tells.
  it('counts an end once another incarnation is registered', async () => {
    const world = setUp('unreachable');
    world.checks.check(TARGET);
    await world.run(TICK_MS);
    world.ended.set(TARGET.server, makeServer('i1'));
    await world.run(TICK_MS);
    expect(world.lost).toEqual([TARGET.group]);
  });

  // Guards against checks without end, and against many a second.
  it('is not repeated more than twice a second, nor for runs that no longer count', async () => {
    const world = setUp('unreachable');
    world.checks.check(TARGET);
    await world.run(2_000);
    expect(world.checked).toBeLessThanOrEqual(5);
    world.isInterrupted = false;
    await world.run(TICK_MS);
    const { checked } = world;
    await world.run(2_000);
    expect(world.checked).toBe(checked);
  });
});

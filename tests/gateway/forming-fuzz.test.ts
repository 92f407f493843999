import { setImmediate } from 'node:timers/promises';

import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { createEngineFleet } from '../../stand-ins/users-platform/engines';
import type { EngineFleet } from '../../stand-ins/users-platform/engines';
import { createLeader } from './leader';
import { FLEET, LARGE, SMALL } from './support';

type Leader = ReturnType<typeof createLeader>;

interface Fault {
  readonly kind:
    'kill' | 'restart' | 'cut' | 'heal' | 'drain' | 'late' | 'in-time' | 'leader' | 'add';
  readonly which: number;
  readonly afterMs: number;
}

const FAULT_KINDS = [
  'kill',
  'cut',
  'heal',
  'drain',
  'late',
  'in-time',
  'leader',
  'add',
  'restart',
] as const;

const fault: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom(...FAULT_KINDS),
  which: fc.nat(40),
  afterMs: fc.integer({ min: 50, max: 3_000 }),
});

function pick(fleet: EngineFleet, which: number) {
  const ids = [...fleet.servers.keys()];
  return ids[which % ids.length] ?? fleet.add('d0');
}

const APPLY: Readonly<
  Record<Fault['kind'], (fleet: EngineFleet, leader: Leader, which: number) => void>
> = {
  kill: (fleet, _, which) => {
    fleet.kill(pick(fleet, which));
  },
  cut: (fleet, _, which) => {
    fleet.cut(pick(fleet, which), true);
  },
  restart: (fleet, _, which) => {
    fleet.restart(pick(fleet, which));
  },
  heal: (fleet, _, which) => {
    fleet.cut(pick(fleet, which), false);
  },
  drain: (fleet, _, which) => {
    fleet.drain(pick(fleet, which));
  },
  late: (fleet) => {
    fleet.setLate(true);
  },
  'in-time': (fleet) => {
    fleet.setLate(false);
  },
  leader: (_, leader) => {
    leader.replace();
  },
  add: (fleet, _, which) => {
    fleet.add(`d${which % 2}`);
  },
};

// Each run yields to the event loop, since the test runner aborts a worker that does not respond.
describe('groups under any series of faults', () => {
  it('never serve while incomplete, and share no server', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(fault, { maxLength: 25 }), fc.nat(), async (faults, salt) => {
        await setImmediate();
        const fleet = createEngineFleet({ ...FLEET, domains: [11, 11], hasTraffic: true });
        const lateMs = (n: number): number =>
          (n * 7919 + salt) % 2 === 0 ? 2_000 + ((n * 613) % 10_000) : 0;
        const leader = createLeader(fleet, { hasTraffic: true, lateMs });
        leader.run(40_000);
        for (const { kind, which, afterMs } of faults) {
          APPLY[kind](fleet, leader, which);
          leader.run(afterMs);
        }
        expect(fleet.violations).toEqual([]);
      }),
      { seed: 23, numRuns: 40 },
    );
  });

  it('never serve while incomplete, even when models take groups from each other', async () => {
    const work = fc.record({
      large: fc.double({ min: 0, max: 4, noNaN: true }),
      small: fc.double({ min: 0, max: 4, noNaN: true }),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.array(fault, { maxLength: 25 }),
        fc.nat(),
        work,
        async (faults, salt, { large, small }) => {
          await setImmediate();
          const fleet = createEngineFleet({ ...FLEET, domains: [11, 13], hasTraffic: true });
          const lateMs = (n: number): number =>
            (n * 7919 + salt) % 3 === 0 ? 2_000 + ((n * 613) % 10_000) : 0;
          const offeredLoad = new Map([
            [LARGE, large],
            [SMALL, small],
          ]);
          const leader = createLeader(fleet, { hasTraffic: true, lateMs, offeredLoad });
          leader.run(40_000);
          for (const { kind, which, afterMs } of faults) {
            APPLY[kind](fleet, leader, which);
            leader.run(afterMs);
          }
          expect(fleet.violations).toEqual([]);
        },
      ),
      { seed: 41, numRuns: 40 },
    );
  });

  it('serve again once the faults are over and enough servers remain', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(fault, { maxLength: 8 }), async (faults) => {
        await setImmediate();
        const fleet = createEngineFleet({ ...FLEET, domains: [14], hasTraffic: true });
        const leader = createLeader(fleet, { hasTraffic: true });
        leader.run(40_000);
        for (const { kind, which, afterMs } of faults) {
          if (kind === 'kill' || kind === 'leader') APPLY[kind](fleet, leader, which % 3);
          leader.run(afterMs);
        }
        leader.run(60_000);
        expect(fleet.serving(LARGE) + fleet.serving(SMALL)).toBeGreaterThanOrEqual(2);
        expect(fleet.violations).toEqual([]);
      }),
      { seed: 29, numRuns: 25 },
    );
  });
});

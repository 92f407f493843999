import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { fakeTime } from './fake-time';
import type { CallerView } from './stream-caller';
import { createStreamWorld, groupOf, LAST_EVENT } from './stream-fixture';
import type { ServerRun, StreamWorld } from './stream-fixture';

fakeTime();

const HEADS = ['s0', 's1', 's2'];
const MAX_ATTEMPTS = 3;
const RETRIES = 2;

/** One stream, and what its servers made so far. */
interface Play {
  readonly world: StreamWorld;
  readonly nextIds: Map<ServerRun, number>;
  /** Whether a server or its connection ended. */
  hasLost: boolean;
}

/** The run whose connection is open. */
const openRun = ({ world }: Play): ServerRun | undefined => world.runs.find((run) => !run.isClosed);

/** Each run goes on from where it was resumed. */
const nextIdOf = ({ nextIds }: Play, run: ServerRun): number =>
  nextIds.get(run) ?? (run.lastEventId === undefined ? 0 : Number(run.lastEventId) + 1);

function findLost(play: Play, evidence: 'silent' | 'ended'): void {
  const run = openRun(play);
  if (!run) return;
  if (evidence === 'ended') play.hasLost = true;
  play.world.registry.suspect(groupOf(run.head), 'lost', 'found by leader-1');
  play.world.registry.evacuate({ ...play.world.stallOf(run.head), evidence });
}

/** What may happen to a stream. */
const STEPS: Readonly<Record<string, (play: Play, n: number) => Promise<void> | void>> = {
  send: (play, n) => {
    const run = openRun(play);
    if (!run) return;
    const first = nextIdOf(play, run);
    const ids = Array.from({ length: 1 + (n % 2) }, (_, i) => first + i);
    const made = ids.filter((id) => id < LAST_EVENT);
    if (made.length === 0) return;
    play.nextIds.set(run, first + made.length);
    run.send(...made);
  },
  sendPart: (play) => {
    const run = openRun(play);
    if (run) run.sendPart(nextIdOf(play, run));
  },
  pass: ({ world }, n) => world.pass(n * 50),
  passLong: ({ world }, n) => world.pass(500 + n * 50),
  findSilent: (play) => {
    findLost(play, 'silent');
  },
  findEnded: (play, n) => {
    if (n < 3) findLost(play, 'ended');
  },
  breakConnection: (play, n) => {
    const run = n < 3 ? openRun(play) : undefined;
    if (!run) return;
    play.hasLost = true;
    run.close();
  },
  fill: ({ world }, n) => {
    world.setFull(HEADS[n % 3] ?? '', n > 4);
  },
};

const step = fc.record({
  name: fc.constantFrom(...Object.keys(STEPS)),
  n: fc.nat(9),
});

/** Lets the servers that still run finish. */
async function finish(play: Play): Promise<void> {
  for (let tries = 0; tries <= MAX_ATTEMPTS; tries++) {
    const run = openRun(play);
    if (run) run.finishFrom(nextIdOf(play, run));
    await play.world.pass(100);
  }
}

function check({ world, hasLost }: Play, caller: CallerView): void {
  const ids = caller.ids();
  expect(ids).toEqual(Array.from({ length: ids.length }, (_, id) => id));
  const isServed = caller.state() === 'whole' && caller.status() === 200;
  if (isServed) expect(ids).toHaveLength(LAST_EVENT + 1);
  if (!hasLost) expect(isServed).toBe(true);
  // A failure before the first event, with a status of its own.
  if (caller.state() === 'whole' && !isServed) expect(ids).toEqual([]);
  expect(world.runs.length).toBeLessThanOrEqual(MAX_ATTEMPTS);
  expect(world.runs.length - 1).toBeLessThanOrEqual(RETRIES - world.retriesLeft());
  const heads = world.runs.map(({ head }) => head);
  expect(new Set(heads).size).toBe(heads.length);
}

describe('a stream among silences, findings, full groups and broken connections', () => {
  // Guards against gaps, duplicates and joined runs after moves (ORDER), answers that are cut although no
  // server ended (LOST), and sends beyond the attempts and retries that may be used (BUDGET).
  it('is answered in order, whole unless a server ended, within its attempts and retries', async () => {
    let moved = 0;
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 25 }), async (steps) => {
        const world = createStreamWorld({
          ...{ groups: 3, retries: RETRIES, route: { maxAttempts: MAX_ATTEMPTS } },
        });
        const caller = await world.request();
        const play: Play = { world, nextIds: new Map(), hasLost: false };
        for (const { name, n } of steps) {
          await STEPS[name]?.(play, n);
          await world.pass(0);
        }
        await finish(play);
        check(play, caller);
        if (!play.hasLost && world.runs.length > 1) moved += 1;
      }),
      { seed: 53, numRuns: 300 },
    );
    expect(moved).toBeGreaterThan(30);
  });
});

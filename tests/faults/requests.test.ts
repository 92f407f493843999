/**
 * Fault matrix of a request that must run at most once: every fault at every step. After the fault
 * the request is retried through both daemons. The service must have run it at most once, and never
 * when a caller received `not-run`.
 */

import { afterEach, beforeAll, describe, expect, it } from 'vitest';

import { FAULTS, FAULT_RUNS } from './requests-cells';
import type { Cell, Fault } from './requests-cells';
import {
  DEADLINE_MS,
  STEPS,
  bundleDaemon,
  createWorld,
  reserve,
  startDaemon,
} from './requests-world';
import type { Step, Told, World } from './requests-world';

const cleanups: (() => Promise<void> | void)[] = [];

beforeAll(bundleDaemon);

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

async function start(step: Step): Promise<Cell> {
  const world = await createWorld();
  const daemons = [await startDaemon(world, 0), await startDaemon(world, 1)] as const;
  cleanups.push(
    ...daemons.map(
      ({ child }) =>
        () =>
          void child.kill('SIGKILL'),
    ),
    world.close,
  );
  world.gates.set(0, step);
  const first = reserve(daemons[0], DEADLINE_MS);
  return { world, step, daemons, first, held: await world.nextHeld(), again: [] };
}

/** Sends the request through both daemons after the fault; a dead daemon yields `broken`. */
async function sendThroughBoth({ daemons }: Cell): Promise<readonly Told[]> {
  const replies: Told[] = [];
  for (const daemon of daemons) replies.push(await reserve(daemon, 5_000));
  return replies;
}

function check(world: World, replies: readonly Told[]): void {
  expect(world.runs.length).toBeLessThanOrEqual(1);
  const ran = new Set(world.runs.map(({ requestId }) => requestId));
  for (const each of replies) {
    if (each === 'broken' || !each.isComplete) continue;
    const id = String(each.headers['nutmegstack-request-id']);
    const outcome = each.headers['nutmegstack-outcome'];
    expect(['done', 'not-run', 'unknown']).toContain(outcome);
    if (outcome === 'not-run') expect(ran.has(id)).toBe(false);
    if (outcome === 'done') expect(each.text).toBe(world.runs[0]?.answer);
  }
}

async function runCell(step: Step, fault: Fault): Promise<void> {
  const cell = await start(step);
  await FAULT_RUNS[fault](cell);
  const replies = [await cell.first, ...(await Promise.all(cell.again))];
  check(cell.world, replies);
  replies.push(...(await sendThroughBoth(cell)));
  check(cell.world, replies);
}

describe.each(STEPS)('a request at the step %s', (step) => {
  it.each(FAULTS)(
    'runs at most once, and reports its outcome correctly, under %s',
    async (fault) => {
      await runCell(step, fault);
    },
  );
});

/** Faults of the request matrix, injected while a request waits at a step. */

import { DEADLINE_MS, cutOff, reserve } from './requests-world';
import type { DaemonProcess, Held, Step, Told, World } from './requests-world';

export const FAULTS = [
  'kill',
  'freeze',
  'partition',
  'lost-answer',
  'slow',
  'late',
  'crossed',
  'store-down',
  'two-at-once',
] as const;

export type Fault = (typeof FAULTS)[number];

/** One running cell of the fault matrix. */
export interface Cell {
  readonly world: World;
  readonly step: Step;
  readonly daemons: readonly [DaemonProcess, DaemonProcess];
  /** The request under fault, sent through the first daemon. */
  readonly first: Promise<Told>;
  /** The operation of that request that waits at the step. */
  readonly held: Held;
  /** All retries so far. */
  readonly again: Promise<Told>[];
}

/** Exceeds the request deadline and the platform client's timeout. */
const PAST_DEADLINE_MS = DEADLINE_MS + 200;

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Retries the request through the second daemon and waits for the result. */
async function retry(cell: Cell): Promise<void> {
  const told = reserve(cell.daemons[1], DEADLINE_MS);
  cell.again.push(told);
  await told;
}

/** Runs each fault, from the moment the request is held until every held operation is released. */
export const FAULT_RUNS: Readonly<Record<Fault, (cell: Cell) => Promise<void>>> = {
  kill: async (cell) => {
    cell.daemons[0].child.kill('SIGKILL');
    await retry(cell);
    cell.held.release('pass');
  },

  freeze: async (cell) => {
    cell.daemons[0].child.kill('SIGSTOP');
    cell.held.release('pass');
    await retry(cell);
    await pause(PAST_DEADLINE_MS);
    cell.daemons[0].child.kill('SIGCONT');
  },

  partition: async (cell) => {
    cutOff(cell.world, 0);
    cell.held.release('cut-after');
    await cell.first;
    await retry(cell);
    cell.world.cutOff.delete(0);
  },

  'lost-answer': async (cell) => {
    cell.held.release('cut-after');
    await cell.first;
  },

  slow: async (cell) => {
    await retry(cell);
    await pause(PAST_DEADLINE_MS);
    cell.held.release('pass');
  },

  late: async (cell) => {
    cell.held.release('late');
    await cell.first;
    await retry(cell);
    cell.world.landLate();
  },

  crossed: async (cell) => {
    cell.world.gates.set(1, cell.step);
    const other = reserve(cell.daemons[1], DEADLINE_MS);
    cell.again.push(other);
    const otherHeld = await Promise.race([cell.world.nextHeld(), other.then(() => undefined)]);
    cell.world.gates.delete(1);
    otherHeld?.release('pass');
    await other;
    cell.held.release('pass');
  },

  'store-down': async (cell) => {
    cell.world.storeDown.add(0).add(1);
    cell.held.release('pass');
    await cell.first;
    await retry(cell);
    cell.world.storeDown.clear();
  },

  'two-at-once': async (cell) => {
    cell.daemons[0].child.kill('SIGSTOP');
    cell.world.storeDown.add(1);
    cell.held.release('cut-after');
    await retry(cell);
    await pause(PAST_DEADLINE_MS);
    cell.world.storeDown.clear();
    cell.daemons[0].child.kill('SIGCONT');
  },
};

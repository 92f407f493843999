/** Model-based fuzzing of configuration against the oracle in `config-world.ts`. */

import fc from 'fast-check';

import {
  advance,
  applyLate,
  amend,
  checkInvariants,
  checkConvergence,
  createWorld,
  deliver,
  fetch,
  advanceClock,
  poll,
  restart,
  setPartitioned,
  submit,
  submitAgain,
} from './config-world';
import type { ConfigWorld, Fault } from './config-world';
import type { FuzzOptions } from './options';

type ConfigCommand = fc.Command<object, ConfigWorld>;

const MAX_COMMANDS = 80;

function command(name: string, run: (world: ConfigWorld) => void): ConfigCommand {
  return {
    check: () => true,
    run: (_, world) => {
      run(world);
      checkInvariants(world);
    },
    toString: () => name,
  };
}

const index = fc.nat({ max: 20 });
const share = fc.integer({ min: 1, max: 9 });
const fault = fc.constantFrom<Fault>(
  'none',
  'none',
  'none',
  'down',
  'lost-answer',
  'lost-request',
  'late',
);
const delivery = fc.constantFrom('once', 'once', 'again', 'lost', 'damaged');
const source = fc.constantFrom('table', 'table', 'peer', 'damaged-peer');

const advances = fc.tuple(index, fault).map(([i, how]) =>
  command(`advance(${i}, ${how})`, (world) => {
    advance(world, i, how);
  }),
);

const commands: fc.Arbitrary<ConfigCommand>[] = [
  advances,
  advances,
  advances,
  fc.tuple(index, share, fc.boolean()).map(([i, n, v]) =>
    command(`submit(${i}, ${n}, ${v})`, (world) => {
      submit(world, i, n, v);
    }),
  ),
  fc.tuple(index, index).map(([i, d]) =>
    command(`submitAgain(${i}, ${d})`, (world) => {
      submitAgain(world, i, d);
    }),
  ),
  fc.tuple(index, delivery).map(([i, how]) =>
    command(`deliver(${i}, ${how})`, (world) => {
      deliver(world, i, how);
    }),
  ),
  fc.tuple(index, index, source).map(([i, n, from]) =>
    command(`fetch(${i}, ${n}, ${from})`, (world) => {
      fetch(world, i, n, from);
    }),
  ),
  fc.tuple(index, share).map(([i, n]) =>
    command(`amend(${i}, ${n})`, (world) => {
      amend(world, i, n);
    }),
  ),
  fc.tuple(index, fc.boolean()).map(([i, isPartitioned]) =>
    command(`partition(${i}, ${isPartitioned})`, (world) => {
      setPartitioned(world, i, isPartitioned);
    }),
  ),
  index.map((i) =>
    command(`poll(${i})`, (world) => {
      poll(world, i);
    }),
  ),
  index.map((i) =>
    command(`applyLate(${i})`, (world) => {
      applyLate(world, i);
    }),
  ),
  index.map((i) =>
    command(`restart(${i})`, (world) => {
      restart(world, i);
    }),
  ),
  index.map((i) =>
    command(`advanceClock(${i * 300})`, (world) => {
      advanceClock(world, i * 300);
    }),
  ),
];

/** Throws with the seed and the shrunk sequence of steps if the oracle finds a violation. */
export function fuzzConfig({ seed, runs }: FuzzOptions): void {
  const history = fc.commands(commands, { maxCommands: MAX_COMMANDS, size: 'max' });
  const property = fc.property(history, (steps) => {
    const world = createWorld();
    fc.modelRun(() => ({ model: {}, real: world }), steps);
    checkConvergence(world);
  });
  fc.assert(property, { seed, numRuns: runs });
}

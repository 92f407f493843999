/** Stateful fuzzing of configuration against the oracle in `config-world.ts`. */

import fc from 'fast-check';

import { ConfigWorld } from './config-world';
import type { Fault } from './config-world';

export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
}

type ConfigCommand = fc.Command<object, ConfigWorld>;

const MAX_COMMANDS = 80;

function command(name: string, run: (world: ConfigWorld) => void): ConfigCommand {
  return {
    check: () => true,
    run: (_, world) => {
      run(world);
      world.checkAlways();
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

const advance = fc.tuple(index, fault).map(([i, how]) =>
  command(`advance(${i}, ${how})`, (world) => {
    world.advance(i, how);
  }),
);

const commands: fc.Arbitrary<ConfigCommand>[] = [
  advance,
  advance,
  advance,
  fc.tuple(index, share, fc.boolean()).map(([i, n, v]) =>
    command(`submit(${i}, ${n}, ${v})`, (world) => {
      world.submit(i, n, v);
    }),
  ),
  fc.tuple(index, index).map(([i, d]) =>
    command(`submitAgain(${i}, ${d})`, (world) => {
      world.submitAgain(i, d);
    }),
  ),
  fc.tuple(index, delivery).map(([i, how]) =>
    command(`deliver(${i}, ${how})`, (world) => {
      world.deliver(i, how);
    }),
  ),
  fc.tuple(index, index, source).map(([i, n, from]) =>
    command(`fetch(${i}, ${n}, ${from})`, (world) => {
      world.fetch(i, n, from);
    }),
  ),
  fc.tuple(index, share).map(([i, n]) =>
    command(`change(${i}, ${n})`, (world) => {
      world.change(i, n);
    }),
  ),
  fc.tuple(index, fc.boolean()).map(([i, cut]) =>
    command(`cut(${i}, ${cut})`, (world) => {
      world.setCut(i, cut);
    }),
  ),
  index.map((i) =>
    command(`poll(${i})`, (world) => {
      world.poll(i);
    }),
  ),
  index.map((i) =>
    command(`arriveLate(${i})`, (world) => {
      world.arriveLate(i);
    }),
  ),
  index.map((i) =>
    command(`restart(${i})`, (world) => {
      world.restart(i);
    }),
  ),
  index.map((i) =>
    command(`pass(${i * 300})`, (world) => {
      world.pass(i * 300);
    }),
  ),
];

/** Throws with the seed and the shrunk list of steps if anything the oracle forbids happens. */
export function fuzzConfig({ seed, runs }: FuzzOptions): void {
  const history = fc.commands(commands, { maxCommands: MAX_COMMANDS, size: 'max' });
  const property = fc.property(history, (steps) => {
    const world = new ConfigWorld();
    fc.modelRun(() => ({ model: {}, real: world }), steps);
    world.checkConverges();
  });
  fc.assert(property, { seed, numRuns: runs });
}

/** Stateful fuzzing of membership and gossip; the invariants are in `membership-world.ts`. */

import fc from 'fast-check';

import {
  checkConverges,
  createWorld,
  kill,
  leave,
  pause,
  publish,
  resume,
  run,
  setCut,
  start,
} from './membership-world';
import type { MembershipWorld } from './membership-world';
import type { FuzzOptions } from './options';

type MembershipCommand = fc.Command<object, MembershipWorld>;

const MAX_COMMANDS = 30;
const LOSS_RATES = [0, 0, 0.1, 0.3, 0.9];

function command(name: string, act: (world: MembershipWorld) => void): MembershipCommand {
  return {
    check: () => true,
    run: (_, world) => {
      act(world);
    },
    toString: () => name,
  };
}

const node = fc.nat({ max: 4 });

const advance = fc
  .tuple(fc.integer({ min: 1, max: 40 }), fc.constantFrom(...LOSS_RATES))
  .map(([ticks, loss]) =>
    command(`run(${ticks}, ${loss})`, (world) => {
      run(world, ticks, loss);
    }),
  );

function onNode(
  name: string,
  act: (world: MembershipWorld, index: number) => void,
): fc.Arbitrary<MembershipCommand> {
  return node.map((i) =>
    command(`${name}(${i})`, (world) => {
      act(world, i);
    }),
  );
}

const commands: fc.Arbitrary<MembershipCommand>[] = [
  advance,
  advance,
  advance,
  onNode('start', start),
  onNode('kill', kill),
  onNode('pause', pause),
  onNode('resume', resume),
  onNode('publish', publish),
  onNode('leave', leave),
  onNode('cut', (world, i) => {
    setCut(world, i, true);
  }),
  onNode('heal', (world, i) => {
    setCut(world, i, false);
  }),
];

/** Throws with the seed and the shrunk list of steps if an invariant is violated. */
export function fuzzMembership({ seed, runs }: FuzzOptions): void {
  const history = fc.commands(commands, { maxCommands: MAX_COMMANDS, size: 'max' });
  const property = fc.property(fc.nat(), history, (chance, steps) => {
    const world = createWorld(chance);
    fc.modelRun(() => ({ model: {}, real: world }), steps);
    checkConverges(world);
  });
  fc.assert(property, { seed, numRuns: runs });
}

/** Model-based fuzzing of claims against an oracle that is independent of their implementation. */

import fc from 'fast-check';

import {
  ONCE_WITHIN_MS,
  answer,
  answerOf,
  createWorld,
  giveUp,
  kill,
  applyLate,
  resume,
  send,
  submit,
  sweep,
} from './ledger-world';
import type { Run, SendFault, Submission, World, WriteFault } from './ledger-world';
import type { FuzzOptions } from './options';

const DAEMONS = 3;

/** No other request with the key of `run` was sent while its claim had to be valid. */
function checkOnce(world: World, run: Run): void {
  const other = world.runs.find(
    ({ sub, sentAt }) =>
      sub !== run.sub && sub.key === run.sub.key && Math.abs(sentAt - run.sentAt) < ONCE_WITHIN_MS,
  );
  if (other !== undefined) throw new Error(`${run.sub.id} and ${other.sub.id} both ran`);
}

/** A replayed answer is one of a run with the same key and body. */
function checkReplay(world: World, sub: Submission): void {
  const isOfKey = ({ sub: { key, body, id } }: Run): boolean =>
    key === sub.key && body === sub.body && sub.replayed === answerOf(id);
  if (!world.runs.some(isOfKey))
    throw new Error(`${sub.id} got a replayed answer of another key or body`);
}

/** Invariants after every step, on what ran and what the callers got. */
function check(world: World): void {
  for (const run of world.runs) {
    checkOnce(world, run);
    if (run.sub.callerOutcome === 'not-run')
      throw new Error(`${run.sub.id} ran, but its caller got not-run`);
    const again = world.runs.some((other) => other !== run && other.sub === run.sub);
    if (again) throw new Error(`${run.sub.id} ran twice`);
  }
  for (const sub of world.submissions) {
    if (sub.callerOutcome === 'replayed') checkReplay(world, sub);
  }
}

/** After all faults end, a key whose holder is alive and sent nothing can be used again. */
function checkSettled(world: World): void {
  // A write applied after its released row was swept blocks the key until the claim expires.
  if (world.sweptEarly) return;
  for (const { row } of world.table.values()) {
    const holder = world.submissions.find((sub) => sub.id === row.attempt);
    const isAlive = holder !== undefined && !world.dead.has(holder.daemon);
    if (isAlive && row.state === 'claimed' && holder.callerOutcome === 'not-run') {
      throw new Error(`${holder.id} left its key claimed`);
    }
  }
}

function settle(world: World): void {
  for (const daemon of world.frozen) resume(world, daemon);
  while (world.lateWrites.length + world.lateRuns.length > 0) applyLate(world);
  for (let round = 0; round < 40; round += 1) {
    for (const sub of world.submissions) answer(world, sub, 'none');
  }
  check(world);
  checkSettled(world);
}

/** Has no model state: the oracle checks the record of the simulation after each step. */
function command(name: string, run: (world: World) => void): fc.Command<object, World> {
  return {
    check: () => true,
    run: (_model, world) => {
      run(world);
      check(world);
    },
    toString: () => name,
  };
}

/** Acts on a submission for which `fits` holds, else on any: an unexpected call must do no harm. */
function onSome(
  world: World,
  pick: number,
  fits: (sub: Submission) => boolean,
  act: (sub: Submission) => void,
): void {
  const fitting = world.submissions.filter(fits);
  const all = fitting.length > 0 ? fitting : world.submissions;
  const sub = all.at(-1 - (pick % Math.max(1, all.length)));
  if (sub !== undefined) act(sub);
}

const daemonId = fc.nat(DAEMONS - 1);
const pick = fc.nat(2);
const writeFault = fc.oneof(
  { weight: 6, arbitrary: fc.constant<WriteFault>('none') },
  {
    weight: 3,
    arbitrary: fc.constantFrom<WriteFault>('lost-answer', 'lost-request', 'late', 'down'),
  },
);
const sendFault = fc.constantFrom<SendFault>(
  'none',
  'lost-answer',
  'lost-answer',
  'late',
  'refused',
);
const key = fc.constantFrom('k1', 'k1', 'k1', 'k2');
const body = fc.constantFrom('b1', 'b1', 'b1', 'b2');

const submits = fc.tuple(daemonId, key, body).map(([d, k, b]) =>
  command(`submit(d${d}, ${k}, ${b})`, (world) => {
    if (!world.dead.has(d) && !world.frozen.has(d)) submit(world, d, k, b);
  }),
);

const answers = fc.tuple(pick, writeFault).map(([at, fault]) =>
  command(`answer(-${at}, ${fault})`, (world) => {
    const fits = (sub: Submission): boolean => sub.pending !== undefined;
    onSome(world, at, fits, (sub) => {
      answer(world, sub, fault);
    });
  }),
);

const sends = fc.tuple(pick, sendFault).map(([at, fault]) =>
  command(`send(-${at}, ${fault})`, (world) => {
    const fits = ({ state, callerOutcome }: Submission): boolean =>
      callerOutcome === undefined && (state.phase === 'held' || state.phase === 'sent');
    onSome(world, at, fits, (sub) => {
      send(world, sub, fault);
    });
  }),
);

const givesUp = pick.map((at) =>
  command(`giveUp(-${at})`, (world) => {
    const fits = ({ callerOutcome }: Submission): boolean => callerOutcome === undefined;
    onSome(world, at, fits, (sub) => {
      giveUp(world, sub);
    });
  }),
);

const freezes = daemonId.map((d) =>
  command(`freeze(d${d})`, (world) => {
    if (!world.dead.has(d)) world.frozen.add(d);
  }),
);

const resumes = daemonId.map((d) =>
  command(`resume(d${d})`, (world) => {
    resume(world, d);
  }),
);

const kills = daemonId.map((d) =>
  command(`kill(d${d})`, (world) => {
    if (world.dead.size < DAEMONS - 1) kill(world, d);
  }),
);

const advances = fc.constantFrom(300, 300, 1_000, 21_000).map((ms) =>
  command(`advance(${ms})`, (world) => {
    world.now += ms;
  }),
);

const appliesLate = fc.constant(command('landLate', applyLate));
const sweeps = fc.constant(command('sweep', sweep));

/** Commands that are listed more than once are drawn more often. */
const COMMANDS = [
  ...[submits, submits, submits],
  ...[answers, answers, answers, answers, answers, answers],
  ...[sends, sends, sends],
  ...[givesUp, freezes, resumes, resumes, kills, advances, appliesLate, sweeps],
];

/** Throws with the seed and the shrunk sequence of steps if an invariant is violated. */
export function fuzzLedger({ seed, runs }: FuzzOptions): void {
  const histories = fc.commands(COMMANDS, { maxCommands: 60, size: 'max' });
  fc.assert(
    fc.property(histories, (commands) => {
      const world = createWorld();
      fc.modelRun(() => ({ model: {}, real: world }), commands);
      settle(world);
    }),
    { seed, numRuns: runs },
  );
}

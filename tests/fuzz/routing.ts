/** Model-based fuzzing of routing against an oracle that only counts attempts. */

import fc from 'fast-check';

import type { RoutableGroup } from '../../src/core/groups/types';
import { brandAs } from '../../src/core/ids';
import type { AttemptId, GroupId, MonoTime, OrganisationId } from '../../src/core/ids';
import {
  chooseGroup,
  createRouting,
  onCacheEvents,
  onEnd,
  onFirstToken,
  onLoadReport,
  onSent,
} from '../../src/core/routing/routing';
import { ROUTING_POLICIES } from '../../src/core/routing/policies';
import type { RoutingPolicyName, RoutingState } from '../../src/core/routing/types';
import type { FuzzOptions } from './options';
import { at, routableGroup, seeded } from './admission-fixtures';

/** The model: the group of each attempt in flight, and the time. */
interface Oracle {
  readonly sent: Map<string, string>;
  now: number;
  seq: number;
}

interface System {
  readonly state: RoutingState;
}

const NAMES = ['g1', 'g2', 'g3', 'g4', 'g5', 'g6'];
const MAX_PREFIXES = 4;
const POLICIES = Object.keys(ROUTING_POLICIES) as RoutingPolicyName[];

function check(holds: boolean, what: string): void {
  if (!holds) throw new Error(what);
}

interface Action extends fc.Command<Oracle, System> {
  toString(): string;
}

function action(text: string, step: (oracle: Oracle, system: System) => void): Action {
  const run = (oracle: Oracle, system: System): void => {
    step(oracle, system);
    checkInvariants(oracle, system);
  };
  return { check: () => true, run, toString: () => text };
}

/** Invariants that hold after every step. */
function checkInvariants(oracle: Oracle, { state }: System): void {
  for (const [id, group] of state.groups) {
    const own = [...oracle.sent.values()].filter((sentTo) => sentTo === id).length;
    check(
      group.load.inFlight === own,
      `in flight on ${id}: ${group.load.inFlight}, expected ${own}`,
    );
    check(group.load.peerLoad >= 0, 'the load of other daemons is negative');
    check(group.waiting.size <= own, 'more attempts await a first token than are in flight');
  }
  check(state.attempts.size === oracle.sent.size, 'attempts that ended are still tracked');
  check(state.prefixes.size <= MAX_PREFIXES, 'more prefixes are kept than the limit');
  const ejected = [...state.groups.values()].filter(({ ejectedUntil }) => {
    return ejectedUntil !== undefined && ejectedUntil > oracle.now;
  });
  const most = Math.floor(NAMES.length * state.opts.maxEjectedShare);
  check(ejected.length <= most, 'more groups are ejected than allowed');
}

interface Send {
  readonly offered: readonly string[];
  readonly stale: readonly string[];
  readonly tried: readonly string[];
  readonly keys: readonly string[];
  readonly organisation: string;
}

function sendAction(send: Send): Action {
  return action(`send(${JSON.stringify(send)})`, (oracle, { state }) => {
    const { keys, organisation, tried, stale } = send;
    const groups: RoutableGroup[] = send.offered.map((id) => {
      const until = stale.includes(id) ? oracle.now : oracle.now + 1;
      return routableGroup(id, { routableUntil: brandAs<MonoTime>(until) });
    });
    const exclude = new Set(tried.map((id) => brandAs<GroupId>(id)));
    const org = brandAs<OrganisationId>(organisation);
    const req = { groups, exclude, prefixKeys: keys, organisation: org };
    const { group } = chooseGroup(state, req, at(oracle.now, seeded(oracle.seq)));
    const available = send.offered.filter((id) => !stale.includes(id) && !tried.includes(id));
    check(
      (group === undefined) === (available.length === 0),
      'no group was chosen although one is available',
    );
    if (group === undefined) return;
    check(available.includes(group.id), 'a stale or already tried group was chosen');
    oracle.seq += 1;
    const attempt = brandAs<AttemptId>(`a${oracle.seq}`);
    const event = { attempt, group: group.id, streams: true, prefixKeys: keys, organisation: org };
    onSent(state, event, at(oracle.now));
    oracle.sent.set(attempt, group.id);
  });
}

function attemptAction(pick: number, ends: boolean): Action {
  return action(`attempt(${pick}, ${ends ? 'ends' : 'first token'})`, (oracle, { state }) => {
    const ids = [...oracle.sent.keys()];
    const id = ids[pick % Math.max(1, ids.length)];
    if (id === undefined) return;
    const attempt = brandAs<AttemptId>(id);
    onFirstToken(state, { attempt }, at(oracle.now));
    if (!ends) return;
    onEnd(state, { attempt, tokens: 10 }, at(oracle.now + 1));
    onEnd(state, { attempt, tokens: 10 }, at(oracle.now + 2));
    oracle.sent.delete(id);
  });
}

function advanceAction(ms: number): Action {
  return action(`advance(${ms})`, (oracle) => {
    oracle.now += ms;
  });
}

function reportAction(id: string, inFlight: number): Action {
  return action(`report(${id}, ${inFlight})`, (oracle, { state }) => {
    onLoadReport(state, { group: brandAs<GroupId>(id), inFlight, queued: 0 }, at(oracle.now));
  });
}

function cacheAction(id: string, seq: number, kind: 'stored' | 'evicted', key: string): Action {
  return action(`cache(${id}, ${seq}, ${kind}, ${key})`, (oracle, { state }) => {
    const events = [{ seq, kind, prefix: `a\0${key}` }];
    onCacheEvents(state, { group: brandAs<GroupId>(id), events }, at(oracle.now));
  });
}

const NAME = fc.constantFrom(...NAMES);
const KEY = fc.constantFrom('k1', 'k2', 'k3');
const SOME = fc.subarray(NAMES);

const ACTIONS = [
  fc
    .record({
      offered: fc.subarray(NAMES, { minLength: 3 }),
      stale: SOME,
      tried: SOME,
      keys: fc.subarray(['k1', 'k2', 'k3']),
      organisation: fc.constantFrom('a', 'b'),
    })
    .map(sendAction),
  fc
    .record({
      offered: fc.constant(NAMES),
      stale: fc.constant([]),
      tried: fc.constant([]),
      keys: fc.subarray(['k1', 'k2']),
      organisation: fc.constantFrom('a', 'b'),
    })
    .map(sendAction),
  fc.tuple(fc.nat(30), fc.boolean()).map(([pick, ends]) => attemptAction(pick, ends)),
  fc.integer({ min: 0, max: 5_000 }).map(advanceAction),
  fc.tuple(NAME, fc.nat(20)).map(([id, inFlight]) => reportAction(id, inFlight)),
  fc
    .tuple(NAME, fc.nat(20), fc.constantFrom('stored' as const, 'evicted' as const), KEY)
    .map(([id, seq, kind, key]) => cacheAction(id, seq, kind, key)),
];

/** Throws with the seed and the shrunk sequence of steps if an invariant is violated. */
export function fuzzRouting({ seed, runs }: FuzzOptions): void {
  const property = fc.property(
    fc.constantFrom(...POLICIES),
    fc.commands(ACTIONS, { maxCommands: 80, size: 'max' }),
    (policy, commands) => {
      const opts = { policy, maxPrefixes: MAX_PREFIXES, firstTokenSamples: 1, judgeEveryMs: 1 };
      fc.modelRun(
        () => ({
          model: { sent: new Map(), now: 0, seq: 0 },
          real: { state: createRouting(opts) },
        }),
        commands,
      );
    },
  );
  fc.assert(property, { seed, numRuns: runs });
}

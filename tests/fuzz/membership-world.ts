/**
 * Simulates the membership reducers of several daemons and the messages between them, which may be
 * lost or delayed, and checks the invariants.
 */

import { createRandom } from '../../src/adapters/runtime';
import { brandAs, later } from '../../src/core/ids';
import type { DaemonId, EpochTime, MonoTime, ZoneId } from '../../src/core/ids';
import { reduceMembership } from '../../src/core/membership/membership';
import { createMembershipState } from '../../src/core/membership/state';
import type { MembershipState } from '../../src/core/membership/state';
import { MEMBERSHIP_DEFAULTS } from '../../src/core/membership/types';
import type { MembershipEffect, MembershipEvent, Message } from '../../src/core/membership/types';
import type { Random } from '../../src/ports/runtime';

interface Node {
  readonly id: DaemonId;
  readonly address: string;
  /** Absent while the process is down. */
  state: MembershipState | undefined;
  paused: boolean;
  cut: boolean;
  /** Events queued until the process is resumed. */
  waiting: MembershipEvent[];
}

interface Flying {
  readonly from: Node;
  readonly to: string;
  readonly message: Message;
}

export interface MembershipWorld {
  readonly nodes: readonly Node[];
  readonly random: Random;
  readonly seeds: number;
  /** Highest incarnation that each daemon has assigned itself. */
  readonly incarnations: Map<DaemonId, number>;
  flying: Flying[];
  /** Pairs of daemons, `from>to`, between which messages are lost. */
  readonly blocked: Set<string>;
  /** Called with each message that a daemon sends. */
  onSend: (from: DaemonId, message: Message) => void;
  now: MonoTime;
  published: number;
}

const NODES = 5;

const TICK_MS = 200;
const START_EPOCH = brandAs<EpochTime>(1_800_000_000_000);
const ENTRY_TTL_MS = 3_600_000;
const SETTLE_TICKS = 400;
const KEYS = 3;

/** Starts `count` nodes; all know the addresses of the first `seeds` nodes from the start. */
export function createWorld(seed: number, count = NODES, seeds = count): MembershipWorld {
  const nodes = Array.from({ length: count }, (_, i): Node => ({
    id: brandAs<DaemonId>(`daemon-${i}`),
    address: `10.0.0.${i}:1`,
    state: undefined,
    paused: false,
    cut: false,
    waiting: [],
  }));
  const world: MembershipWorld = {
    nodes,
    random: createRandom(seed),
    seeds,
    incarnations: new Map(),
    flying: [],
    blocked: new Set(),
    onSend: () => undefined,
    now: brandAs<MonoTime>(0),
    published: 0,
  };
  nodes.forEach((_, i) => {
    start(world, i);
  });
  return world;
}

function check(condition: boolean, message: string): void {
  if (!condition) throw new Error(message);
}

function nodeAt(world: MembershipWorld, index: number): Node {
  const node = world.nodes[index % world.nodes.length];
  if (!node) throw new RangeError(`node ${index} does not exist`);
  return node;
}

function epochOf(world: MembershipWorld): EpochTime {
  return later(START_EPOCH, world.now);
}

/** Checks that versions of entries and members never decrease on a daemon while its process runs. */
function checkForward(
  world: MembershipWorld,
  before: MembershipState,
  after: MembershipState,
): void {
  for (const [key, entry] of before.entries) {
    const held = after.entries.get(key)?.version ?? Infinity;
    check(held >= entry.version, `${after.self.id} decreased the version of ${key}`);
  }
  for (const [id, member] of after.members) {
    const highest = world.incarnations.get(id) ?? 0;
    check(
      member.incarnation <= highest,
      `${after.self.id} has an incarnation of ${id} that it never assigned`,
    );
    const old = before.members.get(id);
    const revived = old?.state === 'dead' && member.state !== 'dead';
    check(
      !revived || member.incarnation > old.incarnation,
      `${id} is no longer dead without a higher incarnation`,
    );
  }
}

function noteIncarnation(world: MembershipWorld, state: MembershipState): void {
  const { id, incarnation } = state.self;
  world.incarnations.set(id, Math.max(incarnation, world.incarnations.get(id) ?? 0));
}

function dispatch(world: MembershipWorld, node: Node, event: MembershipEvent): void {
  if (!node.state) return;
  if (node.paused) {
    node.waiting.push(event);
    return;
  }
  const ctx = {
    now: world.now,
    epoch: epochOf(world),
    random: world.random,
    settings: MEMBERSHIP_DEFAULTS,
  };
  const before = node.state;
  const step = reduceMembership(before, event, ctx);
  node.state = step.state;
  noteIncarnation(world, step.state);
  checkForward(world, before, step.state);
  for (const effect of step.effects) perform(world, node, effect);
}

function perform(world: MembershipWorld, from: Node, effect: MembershipEffect): void {
  if (effect.kind !== 'send') return;
  world.onSend(from.id, effect.message);
  world.flying.push({ from, to: effect.address, message: effect.message });
}

function deliver(world: MembershipWorld, { from, to, message }: Flying): void {
  const target = world.nodes.find(({ address }) => address === to);
  if (!target || target.cut || from.cut) return;
  if (world.blocked.has(`${from.id}>${target.id}`)) return;
  if (!target.state) {
    dispatch(world, from, { kind: 'unreachable', address: to });
    return;
  }
  dispatch(world, target, { kind: 'message', from: from.id, address: from.address, message });
}

/** Starts the process of a daemon that is down. */
export function start(world: MembershipWorld, index: number): void {
  const node = nodeAt(world, index);
  if (node.state) return;
  const identity = { id: node.id, address: node.address, zone: brandAs<ZoneId>('rennes') };
  node.state = createMembershipState(identity, MEMBERSHIP_DEFAULTS, world.now, epochOf(world));
  noteIncarnation(world, node.state);
  const addresses = world.nodes.slice(0, world.seeds).map(({ address }) => address);
  dispatch(world, node, { kind: 'candidates', addresses });
}

export function kill(world: MembershipWorld, index: number): void {
  const node = nodeAt(world, index);
  node.state = undefined;
  node.paused = false;
  node.waiting = [];
}

export function pause(world: MembershipWorld, index: number): void {
  nodeAt(world, index).paused = true;
}

export function resume(world: MembershipWorld, index: number): void {
  const node = nodeAt(world, index);
  node.paused = false;
  // A resumed process runs its timers before it reads its sockets.
  dispatch(world, node, { kind: 'tick' });
  for (const event of node.waiting.splice(0)) dispatch(world, node, event);
}

export function setCut(world: MembershipWorld, index: number, cut: boolean): void {
  nodeAt(world, index).cut = cut;
}

export function leave(world: MembershipWorld, index: number): void {
  dispatch(world, nodeAt(world, index), { kind: 'leave' });
}

export function publish(world: MembershipWorld, index: number, ttlMs = ENTRY_TTL_MS): void {
  const node = nodeAt(world, index);
  world.published += 1;
  const key = `key-${world.published % KEYS}`;
  const expiresAt = later(epochOf(world), ttlMs);
  const event = {
    kind: 'publish',
    topic: 'topic',
    key,
    value: world.published,
    expiresAt,
  } as const;
  dispatch(world, node, event);
}

/** Advances time; each message is lost or delayed by a tick, each with probability `loss`. */
export function run(world: MembershipWorld, ticks: number, loss: number): void {
  for (let i = 0; i < ticks; i += 1) {
    world.now = later(world.now, TICK_MS);
    for (const node of world.nodes) if (!node.paused) dispatch(world, node, { kind: 'tick' });
    deliverSome(world, loss);
  }
}

/** Delivers the messages of one tick and the responses to them, in random order. */
function deliverSome(world: MembershipWorld, loss: number): void {
  const held: Flying[] = [];
  while (world.flying.length > 0) {
    const at = Math.floor(world.random.next() * world.flying.length);
    const [message] = world.flying.splice(at, 1);
    const chance = world.random.next();
    if (!message || chance < loss) continue;
    if (chance < loss * 2) held.push(message);
    else deliver(world, message);
  }
  world.flying = held;
}

function viewOf(state: MembershipState): string {
  return [...state.members.values()]
    .filter((member) => member.state !== 'dead')
    .map((member) => `${member.id} ${member.state}`)
    .sort()
    .join();
}

function entriesOf(state: MembershipState): string {
  return [...state.entries.values()]
    .filter((entry) => entry.topic === 'topic')
    .map((entry) => `${entry.key} ${entry.origin} ${entry.version}`)
    .sort()
    .join();
}

/** Ends all faults and checks that all daemons converge to the correct view. */
export function checkConverges(world: MembershipWorld): void {
  world.nodes.forEach((node, i) => {
    node.cut = false;
    resume(world, i);
  });
  run(world, SETTLE_TICKS, 0);
  const live = world.nodes.flatMap(({ state }) => state ?? []);
  const expected = live
    .map(({ self }) => `${self.id} ${self.state}`)
    .sort()
    .join();
  for (const state of live) {
    check(viewOf(state) === expected, `${state.self.id} sees ${viewOf(state)}, not ${expected}`);
    const first = live[0] ?? state;
    check(
      entriesOf(state) === entriesOf(first),
      `${state.self.id} has other entries than the first daemon`,
    );
  }
}

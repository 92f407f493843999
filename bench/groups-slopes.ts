/** Measures time and memory of the control plane's reducers by the size of their state. */

import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { createDomain, reduceDomain } from '../src/core/groups/domain';
import type { DomainState, ModelPlan } from '../src/core/groups/domain-types';
import { hashCandidates, rankOf } from '../src/core/groups/rank';
import { openSlots } from '../src/core/groups/slots';
import type { EngineReport, GroupRow, InstanceInfo } from '../src/core/groups/types';
import { toWatchEntry, selectRoutable } from '../src/app/control/watches';
import { createWatch, reduceWatch } from '../src/core/groups/watch';
import type { WatchState } from '../src/core/groups/watch';
import type {
  DomainId,
  FencingNumber,
  GroupId,
  InstanceId,
  ModelId,
  MonoTime,
  ZoneId,
} from '../src/core/ids';

/** One measured point: `us` is the time of one `unit`, `bytes` the memory of the complete state. */
export interface SlopeRow {
  readonly role: 'holder' | 'observer' | 'entry' | 'peer';
  readonly unit: string;
  readonly size: number;
  readonly us: number;
  /** Absent if no state is kept. */
  readonly bytes?: number;
}

const MEMBERS = 16;
const MODEL = 'm' as ModelId;
const NOW = 1_000 as MonoTime;
const NO_HOOKS = { missing: () => undefined, expiring: () => undefined };
const FRESH_UNTIL = 1e9 as MonoTime;
const SERVER_SIZES = [750, 1_500, 3_000, 7_500] as const;
const DOMAIN_SIZES = [16, 32, 64, 128] as const;
/** A single domain can't be distinguished from heap noise. */
const DOMAIN_COPIES = 20;
const PEER_SIZES = [7, 70, 335, 670] as const;
const ROUNDS = 7;
const HOLDS = 5;
const US_PER_MS = 1_000;

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

function heapBytes(): number {
  collect();
  return process.memoryUsage().heapUsed;
}

/** Builds state and measures its heap use: the median, as earlier garbage may be collected meanwhile. */
function hold<T>(make: () => T): { readonly held: T; readonly bytes: number } {
  let held = make();
  const sizes = Array.from({ length: HOLDS }, () => {
    const before = heapBytes();
    const another = make();
    const bytes = heapBytes() - before;
    held = another;
    return bytes;
  });
  return { held, bytes: Math.max(0, sizes.sort((a, b) => a - b)[Math.floor(HOLDS / 2)] ?? 0) };
}

/** Median over rounds of the time per run, microseconds. */
function timeOf(runs: number, work: (i: number) => void): number {
  for (let i = 0; i < runs; i++) work(i);
  const rounds = Array.from({ length: ROUNDS }, () => {
    const start = performance.now();
    for (let i = 0; i < runs; i++) work(i);
    return ((performance.now() - start) * US_PER_MS) / runs;
  });
  const median = rounds.sort((a, b) => a - b)[Math.floor(ROUNDS / 2)] ?? 0;
  return Math.round(median * 100) / 100;
}

function idOf(n: number): InstanceId {
  return `i-${String(n).padStart(6, '0')}` as InstanceId;
}

function addressOf(n: number): string {
  return `10.${n >> 16}.${(n >> 8) & 255}.${n & 255}:8000`;
}

function rowOf(n: number, domain: string): GroupRow {
  return {
    id: `${domain}.1.${n}` as GroupId,
    model: MODEL,
    domain: domain as DomainId,
    epoch: 1,
    fencing: 1,
    phase: 'serving',
    members: Array.from({ length: MEMBERS }, (_, i) => ({
      instance: idOf(n * MEMBERS + i),
      address: addressOf(n * MEMBERS + i),
    })),
    slot: n,
  } as unknown as GroupRow;
}

function reportOf(n: number, group: GroupId): EngineReport {
  return {
    instance: idOf(n),
    incarnation: `run-${n}`,
    state: 'serving',
    group,
    epoch: 1,
    rank: n % MEMBERS,
    model: MODEL,
    weights: [MODEL],
    inFlight: 3,
    queued: 0,
    fencing: 1,
    leaving: false,
  } as unknown as EngineReport;
}

function factsOf(n: number, domain: string): InstanceInfo {
  return {
    id: idOf(n),
    address: addressOf(n),
    domain: domain as DomainId,
    zone: 'z' as ZoneId,
    accelerators: 8,
    leaving: false,
    checksFencing: true,
  };
}

function planOf(replicas: number): Readonly<Record<ModelId, ModelPlan>> {
  const policies = { replace: 'preload', choose: 'lend', loads: 'value-first', spares: 'none' };
  const weights = { downtime: 1, stranded: 1 };
  const plan = { id: MODEL, membersPerReplica: MEMBERS, replicas, weights, policies } as ModelPlan;
  return { [MODEL]: plan };
}

/** A held domain of `size` servers, all in serving groups. */
function domainOf(size: number): DomainState {
  const context = { now: NOW };
  const groups = Array.from({ length: Math.floor(size / MEMBERS) }, (_, n) => rowOf(n, 'd'));
  const lease = { fencing: 1 as FencingNumber, fenceVersion: 1, validUntil: FRESH_UNTIL };
  let state = createDomain({ domain: 'd' as DomainId }, NOW);
  const instances = Array.from({ length: size }, (_, n) => factsOf(n, 'd'));
  const events = [
    { kind: 'configured', models: planOf(groups.length) },
    { kind: 'listed', instances },
    { kind: 'leased', lease },
    { kind: 'tick' },
  ] as const;
  for (const event of events) state = reduceDomain(state, event, context).state;
  const rows = groups.flatMap((row) =>
    row.members.map(({ instance }) => ({
      version: 1,
      row: { instance, group: row.id, epoch: row.epoch, fencing: row.fencing },
    })),
  );
  const read = {
    kind: 'read' as const,
    groups: groups.map((row) => ({ version: 1, row })),
    instances: rows,
  };
  state = reduceDomain(state, read, context).state;
  for (let n = 0; n < size; n++) state = report(state, n);
  return state;
}

function report(state: DomainState, n: number): DomainState {
  const group = `d.1.${Math.floor(n / MEMBERS)}` as GroupId;
  const instance = idOf(n);
  const event = { kind: 'reported' as const, instance, report: reportOf(n, group), sentAt: NOW };
  return reduceDomain(state, event, { now: NOW }).state;
}

function holderRows(): readonly SlopeRow[] {
  return DOMAIN_SIZES.flatMap((size) => {
    const copies = hold(() => Array.from({ length: DOMAIN_COPIES }, () => domainOf(size)));
    const bytes = Math.round(copies.bytes / DOMAIN_COPIES);
    const held = domainOf(size);
    const tick = timeOf(200, () => {
      reduceDomain(held, { kind: 'tick' }, { now: NOW });
    });
    const reported = timeOf(500, (i) => {
      report(held, i % size);
    });
    return [
      { role: 'holder', unit: 'tick of a domain of this many servers', size, us: tick, bytes },
      { role: 'holder', unit: 'report in a domain of this many servers', size, us: reported },
    ];
  });
}

function watchesOf(servers: number): readonly WatchState[] {
  const count = Math.floor(servers / MEMBERS);
  return Array.from({ length: count }, (_, n) => {
    const row = rowOf(n, `d${n >> 1}`);
    return row.members.reduce(
      (state, _member, i) => observe(state, n * MEMBERS + i),
      createWatch(row, 1),
    );
  });
}

function observe(state: WatchState, n: number): WatchState {
  const event = {
    kind: 'reported' as const,
    report: reportOf(n, state.id),
    sentAt: NOW,
    freshUntil: FRESH_UNTIL,
  };
  return reduceWatch(state, event, { now: NOW }).state;
}

function entryRows(): readonly SlopeRow[] {
  return SERVER_SIZES.flatMap((size) => {
    const { held, bytes } = hold(() => watchesOf(size));
    const facts = hold(() => Array.from({ length: size }, (_, n) => factsOf(n, `d${n >> 5}`)));
    const entries = held.map((state) => toWatchEntry(state, 8, NOW));
    const routable = timeOf(500, () => {
      selectRoutable(entries, NOW, NO_HOOKS);
    });
    const ticks = timeOf(200, () => {
      held.forEach((state) => reduceWatch(state, { kind: 'tick' }, { now: NOW }));
    });
    const input = {
      domain: 'd1' as DomainId,
      models: planOf(held.length + 1),
      groups: held.map((state) => state.row),
      instances: facts.held,
    };
    const slots = timeOf(10, () => {
      openSlots(input);
    });
    const [first] = held;
    const seen = timeOf(1_000, (i) => {
      if (first) observe(first, i % MEMBERS);
    });
    return [
      {
        role: 'entry',
        unit: 'choice among groups of this many servers',
        size,
        us: routable,
        bytes,
      },
      { role: 'entry', unit: 'tick of the groups of this many servers', size, us: ticks },
      { role: 'entry', unit: 'list of this many servers', size, us: 0, bytes: facts.bytes },
      { role: 'holder', unit: 'open slots among this many servers', size, us: slots },
      { role: 'observer', unit: 'report among this many servers', size, us: seen },
    ];
  });
}

function peerRows(): readonly SlopeRow[] {
  return PEER_SIZES.map((size) => {
    const peers = Array.from({ length: size }, (_, n) => ({ id: `d-${n}`, zone: `z${n % 14}` }));
    const hashed = hashCandidates(peers);
    const us = timeOf(200, (i) => {
      rankOf(`watch/g${i}`, 'd-5', hashed, 'z3');
    });
    return { role: 'peer', unit: 'ranking of this many peers for a role', size, us };
  });
}

/** Measures all points; run on an otherwise idle machine. */
export function benchControlSlopes(): readonly SlopeRow[] {
  return [...holderRows(), ...entryRows(), ...peerRows()];
}

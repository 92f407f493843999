/**
 * Measures time and memory of membership, gossip and configuration by size, one row per size.
 * Times cover only the reducers, in this process; bytes are heap growth per item, or for a
 * configuration change the size of what is pushed.
 */

import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { createRandom } from '../src/adapters/runtime';
import { NOTHING_IN_FORCE, reduceInForce } from '../src/core/config/in-force';
import type { InForceState } from '../src/core/config/in-force';
import { createPush } from '../src/core/config/push';
import { hashDocument } from '../src/core/config/rows';
import { brandAs, later } from '../src/core/ids';
import type { ConfigVersion, DaemonId, EpochTime, MonoTime, ZoneId } from '../src/core/ids';
import type { Json } from '../src/core/json';
import { memberEntry } from '../src/core/membership/members';
import { reduceMembership } from '../src/core/membership/membership';
import { createMembershipState } from '../src/core/membership/state';
import type { MembershipState } from '../src/core/membership/state';
import { MEMBERSHIP_DEFAULTS } from '../src/core/membership/types';
import type { Entry, MembershipContext, Message } from '../src/core/membership/types';
import { DOCUMENT } from '../tests/support/config-documents';
import { round } from './statistics';

/** One point of a slope. */
export interface MembershipSlopeRow {
  readonly role: 'peer' | 'config';
  /** What `size` counts. */
  readonly unit: string;
  readonly size: number;
  /** Microseconds per step. */
  readonly us: number;
  readonly bytes: number;
}

const PEERS = [7, 50, 100, 335, 670];
const ENTRIES = [100, 500, 2000, 8000];
const ORGANISATIONS = [10, 40, 160, 640];
const TICKS = 2000;
const STEPS = 300;
const TICK_MS = 100;
const TTL_MS = 3_600_000;
const BIRTH = brandAs<EpochTime>(1_800_000_000_000);
const PUSH_BYTES = 2048;

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

function heapBytes(): number {
  collect();
  return process.memoryUsage().heapUsed;
}

function usEach(count: number, run: (i: number) => void): number {
  const from = performance.now();
  for (let i = 0; i < count; i += 1) run(i);
  return round(((performance.now() - from) * 1000) / count, 1);
}

const random = createRandom(1);

function contextAt(ms: number): MembershipContext {
  const now = brandAs<MonoTime>(ms);
  return { now, epoch: later(BIRTH, ms), random, settings: MEMBERSHIP_DEFAULTS };
}

function memberAt(index: number): Entry {
  return memberEntry({
    id: brandAs<DaemonId>(`daemon-${index}`),
    address: `10.0.${index >> 8}.${index & 255}:7000`,
    zone: brandAs<ZoneId>('rennes'),
    state: 'alive',
    incarnation: BIRTH + index,
    configVersion: brandAs<ConfigVersion>(1),
  });
}

function factAt(index: number): Entry {
  return {
    topic: 'topic',
    key: `key-${index}`,
    origin: brandAs<DaemonId>(`daemon-${index % 7}`),
    version: BIRTH + index,
    value: { domain: `domain-${index}`, wellUntil: BIRTH + index },
    expiresAt: later(BIRTH, TTL_MS),
  };
}

interface Holder {
  state: MembershipState;
  nowMs: number;
}

function deliver(holder: Holder, message: Message): void {
  const from = brandAs<DaemonId>('daemon-1');
  const event = { kind: 'message', from, address: '10.0.0.1:7000', message } as const;
  holder.state = reduceMembership(holder.state, event, contextAt(holder.nowMs)).state;
}

/** A daemon with `peers` peers and `facts` entries, none of which is still being gossiped. */
function holderOf(peers: number, facts: number): Holder {
  const self = {
    id: brandAs<DaemonId>('daemon-0'),
    address: '10.0.0.0:7000',
    zone: brandAs<ZoneId>('rennes'),
  };
  const ctx = contextAt(0);
  const state = createMembershipState(self, MEMBERSHIP_DEFAULTS, ctx.now, ctx.epoch);
  const holder: Holder = { state, nowMs: 0 };
  const entries = [
    ...Array.from({ length: peers }, (_, i) => memberAt(i + 1)),
    ...Array.from({ length: facts }, (_, i) => factAt(i)),
  ];
  for (let i = 0; i < entries.length; i += 100) {
    deliver(holder, { kind: 'entries', entries: entries.slice(i, i + 100) });
  }
  holder.state = { ...holder.state, rumours: new Map() };
  return holder;
}

/** One tick, with responses to everything sent; there are ten ticks a second. */
function idleTick(holder: Holder): void {
  holder.nowMs += TICK_MS;
  const step = reduceMembership(holder.state, { kind: 'tick' }, contextAt(holder.nowMs));
  holder.state = step.state;
  for (const effect of step.effects) {
    if (effect.kind !== 'send' || effect.message.kind !== 'probe') continue;
    deliver(holder, { kind: 'ack', seq: effect.message.seq });
  }
}

function peerRows(size: number): readonly MembershipSlopeRow[] {
  const before = heapBytes();
  const holder = holderOf(size, 0);
  const bytes = Math.round((heapBytes() - before) / size);
  const us = usEach(TICKS, () => {
    idleTick(holder);
  });
  const digest: Message = { kind: 'digest', salt: 1, buckets: new Array<number>(64).fill(1) };
  const syncUs = usEach(STEPS, () => {
    deliver(holder, digest);
  });
  return [
    { role: 'peer', unit: 'tick by peers known', size, us, bytes },
    { role: 'peer', unit: 'comparison by peers known', size, us: syncUs, bytes: 0 },
  ];
}

function entryRow(size: number): MembershipSlopeRow {
  const before = heapBytes();
  const holder = holderOf(100, size);
  const bytes = Math.round((heapBytes() - before) / size);
  const us = usEach(STEPS, (i) => {
    holder.nowMs += TICK_MS;
    const fact = factAt(i % size);
    const newer = { ...fact, version: fact.version + 1_000_000 + i };
    deliver(holder, { kind: 'entries', entries: [newer] });
  });
  return { role: 'peer', unit: 'entry taken and passed on, by entries held', size, us, bytes };
}

function documentOf(organisations: number, share: number): Json {
  const ids = Array.from({ length: organisations }, (_, i) => `firm-${i}`);
  const all = ids.map((id, i) => [
    id,
    { ...DOCUMENT.organisations.rennes, share: i === 0 ? share : 1 },
  ]);
  return {
    ...DOCUMENT,
    organisations: Object.fromEntries(all) as Json,
    keys: ids.flatMap((id) => {
      const hash = hashDocument(id);
      return [{ hash, organisation: id, role: 'caller', class: 'pharmacist' }];
    }),
  };
}

function inForceOf(document: Json): InForceState {
  const mark = { version: brandAs<ConfigVersion>(1), hash: hashDocument(document) };
  const event = { kind: 'document', mark, document, from: 'table' } as const;
  return reduceInForce(NOTHING_IN_FORCE, event, contextAt(0)).state;
}

function changeRow(size: number): MembershipSlopeRow {
  const state = inForceOf(documentOf(size, 1));
  const version = brandAs<ConfigVersion>(2);
  const push = createPush(state, version, documentOf(size, 2), PUSH_BYTES);
  const us = usEach(STEPS / 10, () => {
    reduceInForce(state, { kind: 'pushed', ...push }, contextAt(0));
  });
  const bytes = JSON.stringify(push).length;
  return { role: 'config', unit: 'change put in force, by organisations', size, us, bytes };
}

/** Measures microseconds and bytes per peer, per gossip entry and per configuration change. */
export function benchMembershipSlopes(): readonly MembershipSlopeRow[] {
  return [...PEERS.flatMap(peerRows), ...ENTRIES.map(entryRow), ...ORGANISATIONS.map(changeRow)];
}

/** Messages that the control planes of all daemons exchange by gossip. */

import { Subscription } from 'rxjs';

import type { DomainState } from '../../core/groups/domain-types';
import { countLoads } from '../../core/groups/orders';
import { ownRoutableUntil } from '../../core/groups/watch';
import type { WatchState } from '../../core/groups/watch';
import { later } from '../../core/ids';
import type { DomainId, Epoch, GroupId, InstanceId, MonoTime } from '../../core/ids';
import type { GossipEntry } from '../parts';
import { decodeLoads, decodeStatement, decodeGroupRow, decodeWarning, encode } from './codec';
import type { StatementValue, GroupRowValue, WarningValue } from './codec';
import type { ControlContext } from './context';
import type { WrittenGroup } from './held-domains';
import type { Watches } from './watches';

/** Gossip topics of the control plane. */
export const TOPICS = {
  /** Rows of groups, published by the holder that wrote them. */
  row: 'group-row',
  /** Groups that an observer sees complete. */
  well: 'group-well',
  /** A group that an observer no longer sees complete. */
  warning: 'group-warning',
  /** Instances that are leaving. */
  leaving: 'instance-leaving',
  /** Number of members fetching weights in a domain. */
  loads: 'domain-loads',
} as const;

const ROW_TTL_MS = 600_000;
const WARNING_TTL_MS = 30_000;
const LEAVING_TTL_MS = 3_600_000;
const LOADS_TTL_MS = 10_000;

/** Called for messages of peers. */
export interface ControlGossipHooks {
  leaving(instance: InstanceId): void;
  /** A peer sees the group complete; its statement is valid until then. */
  vouched(group: GroupId, domain: DomainId, until: MonoTime): void;
}

/** Publishes and receives the gossip of the control plane. */
export interface ControlGossip {
  start(): void;
  stop(): void;
  /** Publishes a row that this daemon wrote. */
  publishRow(group: WrittenGroup): void;
  /** Publishes that an instance is leaving. */
  leaving(instance: InstanceId): void;
  /** Publishes that this daemon no longer sees the group complete. */
  warn(group: GroupId, epoch: Epoch): void;
  /**
   * Publishes, for each domain, which of the watched groups this daemon sees complete by its own
   * probes. A statement is valid as long as those probes, plus `extraMs`.
   */
  state(watched: readonly WatchState[], extraMs: number): void;
  /** Publishes how many members are fetching weights in a held domain. */
  loads(state: DomainState): void;
  /** Number of members fetching weights in other domains. */
  loadsInOtherDomains(domain: DomainId): number;
}

export function createControlGossip(
  ctx: ControlContext,
  watches: Watches,
  hooks: ControlGossipHooks,
): ControlGossip {
  const { gossip, clock, self } = ctx;
  const subscription = new Subscription();
  let seq = 0;
  /** Based on the wall clock, so that it also grows across restarts of the daemon. */
  const nextSeq = (): number => {
    seq = Math.max(seq + 1, clock.epoch());
    return seq;
  };

  const publish = (topic: string, key: string, value: object, ttlMs: number): void => {
    gossip.publish(topic, key, encode(value), later(clock.epoch(), ttlMs));
  };

  const onStatement = (entry: GossipEntry): void => {
    const value = decodeStatement(entry.value);
    if (!value) return;
    // Counted on the receiver's clock, and capped by the wall clock in case delivery took long.
    const forMs = Math.min(value.forMs, entry.expiresAt - clock.epoch());
    const until = later(clock.now(), forMs);
    for (const [group, epoch] of value.groups) {
      const by = { origin: entry.origin, seq: value.seq };
      watches.stated(group, { epoch, until, by });
      const row = watches.get(group)?.row;
      if (row?.epoch === epoch) hooks.vouched(group, row.domain, until);
    }
  };

  const onRow = ({ value }: GossipEntry): void => {
    const update = decodeGroupRow(value);
    if (update?.gone === true) watches.drop(update.row);
    else if (update) watches.put(update.row, update.version);
  };

  const onWarning = (entry: GossipEntry): void => {
    const value = decodeWarning(entry.value);
    const group = entry.key as GroupId;
    if (value) watches.warned(group, value.epoch, { origin: entry.origin, seq: value.seq });
  };

  const handlers: Readonly<Record<string, (entry: GossipEntry) => void>> = {
    [TOPICS.row]: onRow,
    [TOPICS.well]: onStatement,
    [TOPICS.warning]: onWarning,
    [TOPICS.leaving]: ({ key }) => {
      hooks.leaving(key as InstanceId);
    },
  };

  const receive = (entry: GossipEntry): void => {
    if (entry.origin !== self) handlers[entry.topic]?.(entry);
  };

  return {
    start: () => {
      // Rows first: statements and warnings apply only to known groups.
      for (const topic of Object.values(TOPICS)) gossip.entries(topic).forEach(receive);
      subscription.add(gossip.received.subscribe(receive));
    },
    stop: () => {
      subscription.unsubscribe();
    },
    publishRow: ({ row, version, gone }) => {
      const value: GroupRowValue = { version, row, gone };
      publish(TOPICS.row, row.id, value, ROW_TTL_MS);
    },
    leaving: (instance) => {
      publish(TOPICS.leaving, instance, { instance }, LEAVING_TTL_MS);
    },
    warn: (group, epoch) => {
      const value: WarningValue = { epoch, seq: nextSeq() };
      publish(TOPICS.warning, group, value, WARNING_TTL_MS);
    },
    state: (watched, extraMs) => {
      nextSeq();
      for (const [domain, groups] of completeByDomain(watched, clock.now())) {
        const until = Math.min(...groups.map((group) => group.until));
        const forMs = until - clock.now() + extraMs;
        const ids = groups.map(({ id, epoch }) => [id, epoch] as const);
        const value: StatementValue = { groups: ids, forMs, seq };
        publish(TOPICS.well, domain, value, forMs);
      }
    },
    loads: (state) => {
      const loads = countLoads(state, clock.now());
      if (loads > 0) publish(TOPICS.loads, state.domain, { loads }, LOADS_TTL_MS);
    },
    loadsInOtherDomains: (domain) =>
      gossip
        .entries(TOPICS.loads)
        .filter(({ key }) => key !== domain)
        .reduce((sum, { value }) => sum + (decodeLoads(value)?.loads ?? 0), 0),
  };
}

interface CompleteGroup {
  readonly id: GroupId;
  readonly epoch: Epoch;
  readonly until: MonoTime;
}

function completeByDomain(
  watched: readonly WatchState[],
  now: MonoTime,
): ReadonlyMap<DomainId, readonly CompleteGroup[]> {
  const byDomain = new Map<DomainId, CompleteGroup[]>();
  for (const state of watched) {
    const until = ownRoutableUntil(state);
    if (until === undefined || until <= now || state.leaving) continue;
    const list = byDomain.get(state.row.domain) ?? [];
    list.push({ id: state.id, epoch: state.row.epoch, until });
    byDomain.set(state.row.domain, list);
  }
  return byDomain;
}

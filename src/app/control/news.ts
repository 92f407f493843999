/** What the control planes of all daemons tell each other by gossip. */

import { Subscription } from 'rxjs';

import type { DomainState } from '../../core/groups/domain-types';
import { countLoads } from '../../core/groups/orders';
import { ownRoutableUntil } from '../../core/groups/watch';
import type { WatchState } from '../../core/groups/watch';
import { later } from '../../core/ids';
import type { DomainId, Epoch, GroupId, InstanceId, MonoTime } from '../../core/ids';
import type { GossipEntry } from '../parts';
import { decodeLoads, decodeStated, decodeTold, decodeWarned, encode } from './codec';
import type { StatedValue, ToldValue, WarnedValue } from './codec';
import type { ControlContext } from './context';
import type { WrittenGroup } from './holders';
import type { Watches } from './watches';

export const TOPICS = {
  /** Rows of groups as just written. */
  row: 'group-row',
  /** Groups seen whole by an observer. */
  well: 'group-well',
  /** A group no longer seen whole by an observer. */
  warning: 'group-warning',
  /** Instances said to be leaving. */
  leaving: 'instance-leaving',
  /** Members fetching weights in a domain. */
  loads: 'domain-loads',
} as const;

const ROW_MS = 600_000;
const WARNING_MS = 30_000;
const LEAVING_MS = 3_600_000;
const LOADS_MS = 10_000;

export interface NewsHooks {
  leaving(instance: InstanceId): void;
  /** A peer sees the group whole until then. */
  vouched(group: GroupId, domain: DomainId, until: MonoTime): void;
}

export interface News {
  start(): void;
  stop(): void;
  wrote(group: WrittenGroup): void;
  leaving(instance: InstanceId): void;
  warn(group: GroupId, epoch: Epoch): void;
  /**
   * States, domain by domain, which of the watched groups this daemon itself sees whole, for as long
   * as its probes count and `extraMs` more.
   */
  state(watched: readonly WatchState[], extraMs: number): void;
  loads(state: DomainState): void;
  /** Members fetching weights in other domains. */
  loadsElsewhere(domain: DomainId): number;
}

export function createNews(ctx: ControlContext, watches: Watches, hooks: NewsHooks): News {
  const { gossip, clock, self } = ctx;
  const subscription = new Subscription();
  let seq = 0;
  /** Grows also from one process to the next of the same id. */
  const nextSeq = (): number => {
    seq = Math.max(seq + 1, clock.epoch());
    return seq;
  };

  const publish = (topic: string, key: string, value: object, forMs: number): void => {
    gossip.publish(topic, key, encode(value), later(clock.epoch(), forMs));
  };

  const onStated = (entry: GossipEntry): void => {
    const value = decodeStated(entry.value);
    if (!value) return;
    // By the receiver's own clock, and by the wall clock should the entry have been long under way.
    const forMs = Math.min(value.forMs, entry.expiresAt - clock.epoch());
    const until = later(clock.now(), forMs);
    for (const [group, epoch] of value.groups) {
      const by = { origin: entry.origin, seq: value.seq };
      watches.stated(group, { epoch, until, by });
      const row = watches.get(group)?.row;
      if (row?.epoch === epoch) hooks.vouched(group, row.domain, until);
    }
  };

  const onTold = ({ value }: GossipEntry): void => {
    const told = decodeTold(value);
    if (told?.gone === true) watches.drop(told.row);
    else if (told) watches.put(told.row, told.version);
  };

  const onWarned = (entry: GossipEntry): void => {
    const value = decodeWarned(entry.value);
    const group = entry.key as GroupId;
    if (value) watches.warned(group, value.epoch, { origin: entry.origin, seq: value.seq });
  };

  const handlers: Readonly<Record<string, (entry: GossipEntry) => void>> = {
    [TOPICS.row]: onTold,
    [TOPICS.well]: onStated,
    [TOPICS.warning]: onWarned,
    [TOPICS.leaving]: ({ key }) => {
      hooks.leaving(key as InstanceId);
    },
  };

  const take = (entry: GossipEntry): void => {
    if (entry.origin !== self) handlers[entry.topic]?.(entry);
  };

  return {
    start: () => {
      // Rows first: statements and warnings are about groups that are known.
      for (const topic of Object.values(TOPICS)) gossip.entries(topic).forEach(take);
      subscription.add(gossip.received.subscribe(take));
    },
    stop: () => {
      subscription.unsubscribe();
    },
    wrote: ({ row, version, gone }) => {
      const value: ToldValue = { version, row, gone };
      publish(TOPICS.row, row.id, value, ROW_MS);
    },
    leaving: (instance) => {
      publish(TOPICS.leaving, instance, { instance }, LEAVING_MS);
    },
    warn: (group, epoch) => {
      const value: WarnedValue = { epoch, seq: nextSeq() };
      publish(TOPICS.warning, group, value, WARNING_MS);
    },
    state: (watched, extraMs) => {
      nextSeq();
      for (const [domain, groups] of wholeByDomain(watched, clock.now())) {
        const until = Math.min(...groups.map((one) => one.until));
        const forMs = until - clock.now() + extraMs;
        const ids = groups.map(({ id, epoch }) => [id, epoch] as const);
        const value: StatedValue = { groups: ids, forMs, seq };
        publish(TOPICS.well, domain, value, forMs);
      }
    },
    loads: (state) => {
      const loads = countLoads(state, clock.now());
      if (loads > 0) publish(TOPICS.loads, state.domain, { loads }, LOADS_MS);
    },
    loadsElsewhere: (domain) =>
      gossip
        .entries(TOPICS.loads)
        .filter(({ key }) => key !== domain)
        .reduce((sum, { value }) => sum + (decodeLoads(value)?.loads ?? 0), 0),
  };
}

interface WholeGroup {
  readonly id: GroupId;
  readonly epoch: Epoch;
  readonly until: MonoTime;
}

function wholeByDomain(
  watched: readonly WatchState[],
  now: MonoTime,
): ReadonlyMap<DomainId, readonly WholeGroup[]> {
  const byDomain = new Map<DomainId, WholeGroup[]>();
  for (const state of watched) {
    const until = ownRoutableUntil(state);
    if (until === undefined || until <= now || state.leaving) continue;
    const list = byDomain.get(state.row.domain) ?? [];
    list.push({ id: state.id, epoch: state.row.epoch, until });
    byDomain.set(state.row.domain, list);
  }
  return byDomain;
}

/** The membership part of a daemon: connects its reducer to timers, links and the instance list. */

import {
  EMPTY,
  Subject,
  catchError,
  defer,
  distinctUntilChanged,
  filter,
  from,
  map,
  repeat,
  startWith,
  takeUntil,
  timer,
} from 'rxjs';

import { parsePeerMessage } from '../../adapters/peers/messages';
import type { DirectFrame, PeerMessage } from '../../adapters/peers/messages';
import { createPeers } from '../../adapters/peers/peers';
import type { PeerSettings, PeerTraffic, PeersOptions } from '../../adapters/peers/peers';
import type { PeerTls } from '../../adapters/peers/tls';
import { brandAs } from '../../core/ids';
import type { ConfigVersion, DaemonId, EpochTime } from '../../core/ids';
import { reduceMembership } from '../../core/membership/membership';
import { createMembershipState } from '../../core/membership/state';
import type { Identity, MembershipState } from '../../core/membership/state';
import { MEMBERSHIP_DEFAULTS } from '../../core/membership/types';
import type {
  MembershipEffect,
  MembershipEvent,
  MembershipSettings,
} from '../../core/membership/types';
import type { InstanceList } from '../../ports/platform';
import type { Clock, Logger, Random } from '../../ports/runtime';
import { compareText } from '../../utils/common';
import type {
  DirectMessaging,
  DirectMessage,
  Gossip,
  GossipEntry,
  MembershipPart,
  PeerInfo,
} from '../parts';

export interface MembershipPartSettings extends MembershipSettings {
  /** Interval between ticks of the reducer. */
  readonly tickMs: number;
  /** Average interval at which the instance list is read. */
  readonly listMs: number;
  readonly links: Partial<PeerSettings>;
}

export interface MembershipDeps {
  /** Its `address` is what peers dial, and where this daemon listens unless `listen` is set. */
  readonly self: Identity;
  /** Address to listen on, if it differs from the one that peers dial. */
  readonly listen?: string;
  /** Addresses of daemons to join at start. */
  readonly seeds: readonly string[];
  /** Shared secret that authenticates peers. */
  readonly secret: string;
  readonly tls?: PeerTls;
  readonly instances: InstanceList;
  readonly configVersion: () => ConfigVersion;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Opens a connection to an address; tests replace it. */
  readonly dial?: NonNullable<PeersOptions<PeerMessage>['dial']>;
  readonly settings?: Partial<MembershipPartSettings>;
}

/** The membership part, with traffic counters for benchmarks. */
export interface Membership extends MembershipPart {
  traffic(): PeerTraffic;
}

const DEFAULTS: MembershipPartSettings = {
  ...MEMBERSHIP_DEFAULTS,
  tickMs: 100,
  listMs: 5000,
  links: {},
};

function toPeerInfo(state: MembershipState): readonly PeerInfo[] {
  return [...state.members.values()]
    .flatMap((member): PeerInfo[] => {
      const { id, address, zone, state: memberState } = member;
      if (memberState === 'dead') return [];
      const isSelf = id === state.self.id;
      const configVersion = isSelf ? state.configVersion : member.configVersion;
      return [{ id, address, zone, state: memberState, configVersion }];
    })
    .sort((a, b) => compareText(a.id, b.id));
}

/** Creates the membership part; call `start` before use. */
export function createMembership(deps: MembershipDeps): Membership {
  const settings: MembershipPartSettings = { ...DEFAULTS, ...deps.settings };
  const { self, clock, random, logger } = deps;
  const peers = createPeers<PeerMessage>({
    ...deps,
    parse: parsePeerMessage,
    settings: settings.links,
  });
  const received = new Subject<GossipEntry>();
  const messages = new Subject<DirectMessage>();
  const membersChanged = new Subject<void>();
  const stopped = new Subject<void>();
  let state = createMembershipState(self, settings, clock.now(), clock.epoch());

  const perform: {
    readonly [K in MembershipEffect['kind']]: (
      effect: Extract<MembershipEffect, { kind: K }>,
    ) => void;
  } = {
    send: ({ address, message }) => {
      peers.send(address, message);
    },
    drop: ({ address }) => {
      peers.drop(address);
    },
    received: ({ entry }) => {
      received.next(entry);
    },
    'members-changed': () => {
      membersChanged.next();
    },
    'duplicate-id': ({ address }) => {
      const fields = { step: 'membership', peer: address, code: 'duplicate-id' };
      logger.error('another process uses the id of this daemon', fields);
    },
  };

  function dispatch(event: MembershipEvent): void {
    const ctx = { now: clock.now(), epoch: clock.epoch(), random, settings };
    const step = reduceMembership(state, event, ctx);
    state = step.state;
    for (const effect of step.effects) {
      (perform[effect.kind] as (effect: MembershipEffect) => void)(effect);
    }
  }

  function handleMessage(from: DaemonId, address: string, message: PeerMessage): void {
    if (message.kind === 'direct') {
      messages.next({ from, topic: message.topic, value: message.value });
      return;
    }
    dispatch({ kind: 'message', from, address, message });
  }

  const gossip: Gossip = {
    publish: (topic, key, value, validUntil) => {
      // Times on the wire are integer milliseconds; a peer drops a message with a fraction.
      const expiresAt = brandAs<EpochTime>(Math.ceil(validUntil));
      dispatch({ kind: 'publish', topic, key, value, expiresAt });
    },
    received,
    entries: (topic) => {
      const now = clock.epoch();
      return [...state.entries.values()].filter(
        (entry) => entry.topic === topic && entry.expiresAt > now,
      );
    },
  };

  const direct: DirectMessaging = {
    send: (to, topic, value) => {
      const member = state.members.get(to);
      if (!member || to === self.id) return false;
      const frame: DirectFrame = { kind: 'direct', topic, value };
      dispatch({ kind: 'spent', bytes: JSON.stringify(value).length });
      return peers.send(member.address, frame);
    },
    received: messages,
  };

  /** Addresses where a daemon may be: the seeds, and the instance list, which may lag. */
  const candidates = defer(() => from(deps.instances.list())).pipe(
    filter((result) => result.isOk()),
    map((result) =>
      result.value.filter(({ role }) => role === 'daemon').map(({ address }) => address),
    ),
    catchError(() => EMPTY),
    repeat({ delay: () => timer(settings.listMs * (0.5 + random.next())) }),
    startWith<readonly string[]>([]),
    map((listed) => [...new Set([...deps.seeds, ...listed])]),
    distinctUntilChanged((a, b) => a.join() === b.join()),
  );

  function tick(): void {
    const version = deps.configVersion();
    if (version !== state.configVersion) dispatch({ kind: 'config-version', version });
    dispatch({ kind: 'tick' });
  }

  async function start(): Promise<void> {
    await peers.start();
    peers.received.pipe(takeUntil(stopped)).subscribe(({ from: id, address, message }) => {
      handleMessage(id, address, message);
    });
    peers.unreachable.pipe(takeUntil(stopped)).subscribe((address) => {
      dispatch({ kind: 'unreachable', address });
    });
    candidates.pipe(takeUntil(stopped)).subscribe((addresses) => {
      dispatch({ kind: 'candidates', addresses });
    });
    timer(0, settings.tickMs).pipe(takeUntil(stopped)).subscribe(tick);
  }

  async function stop(): Promise<void> {
    dispatch({ kind: 'leave' });
    stopped.next();
    await peers.stop();
    received.complete();
    messages.complete();
  }

  return {
    self: self.id,
    peers: () => toPeerInfo(state),
    changes: membersChanged.pipe(
      startWith(undefined),
      map(() => toPeerInfo(state)),
    ),
    gossip,
    direct,
    leave: () => {
      dispatch({ kind: 'leave' });
    },
    traffic: () => peers.traffic(),
    start,
    stop,
  };
}

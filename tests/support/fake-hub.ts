/** A fake of gossip and direct messages between daemons of one process, with fault injection. */

import { Subject } from 'rxjs';

import type {
  DirectMessaging,
  DirectMessage,
  Gossip,
  GossipEntry,
  PeerInfo,
} from '../../src/app/parts';
import type { ConfigVersion, DaemonId, ZoneId } from '../../src/core/ids';

export interface HubMember {
  readonly self: DaemonId;
  readonly gossip: Gossip;
  readonly direct: DirectMessaging;
  readonly peers: () => readonly PeerInfo[];
}

export interface FakeHub {
  join(id: string, configVersion: () => ConfigVersion): HubMember;
  /** Partitioned daemons, which neither send nor receive. */
  readonly cut: Set<string>;
  /** `loseGossip` drops gossip but not direct messages. */
  readonly faults: { loseGossip: boolean };
  /** Transforms each gossip entry on delivery; a test may replace it. */
  tamper: (entry: GossipEntry) => GossipEntry;
}

interface Connection {
  readonly member: HubMember;
  readonly entries: Subject<GossipEntry>;
  readonly messages: Subject<DirectMessage>;
  readonly configVersion: () => ConfigVersion;
}

export function createFakeHub(): FakeHub {
  const connections = new Map<string, Connection>();
  const published: GossipEntry[] = [];
  let counter = 0;

  const hub: FakeHub = {
    join,
    cut: new Set(),
    faults: { loseGossip: false },
    tamper: (entry) => entry,
  };

  function isReachable(from: string, to: string): boolean {
    return from !== to && !hub.cut.has(from) && !hub.cut.has(to);
  }

  function deliver(entry: GossipEntry): void {
    if (hub.faults.loseGossip) return;
    for (const [id, connection] of connections) {
      if (isReachable(entry.origin, id)) connection.entries.next(hub.tamper(entry));
    }
  }

  function join(id: string, configVersion: () => ConfigVersion): HubMember {
    const self = id as DaemonId;
    const entries = new Subject<GossipEntry>();
    const messages = new Subject<DirectMessage>();
    const gossip: Gossip = {
      publish: (topic, key, value, expiresAt) => {
        counter += 1;
        const entry = { topic, key, origin: self, version: counter, value, expiresAt };
        published.push(entry);
        queueMicrotask(() => {
          deliver(entry);
        });
      },
      received: entries,
      entries: (topic) => published.filter((entry) => entry.topic === topic),
    };
    const direct: DirectMessaging = {
      send: (to, topic, value) => {
        const connection = connections.get(to);
        if (!connection || !isReachable(id, to)) return false;
        queueMicrotask(() => {
          connection.messages.next({ from: self, topic, value });
        });
        return true;
      },
      received: messages,
    };
    const peers = (): readonly PeerInfo[] =>
      [...connections.values()]
        .filter(({ member }) => member.self === id || isReachable(id, member.self))
        .map(({ member, configVersion: version }) => ({
          id: member.self,
          address: member.self,
          zone: 'rennes' as ZoneId,
          state: 'alive' as const,
          configVersion: version(),
        }));
    const member: HubMember = { self, gossip, direct, peers };
    connections.set(id, { member, entries, messages, configVersion });
    return member;
  }

  return hub;
}

/** Gossip and direct messages between daemons of one process, with faults, for tests of parts. */

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
  /** Daemons that neither send nor get anything. */
  readonly cut: Set<string>;
  /** Drops gossip, leaving direct messages. */
  readonly faults: { loseGossip: boolean };
  /** Lets a test change what is sent. */
  tamper: (entry: GossipEntry) => GossipEntry;
}

interface Connection {
  readonly member: HubMember;
  readonly entries: Subject<GossipEntry>;
  readonly messages: Subject<DirectMessage>;
  readonly configVersion: () => ConfigVersion;
}

export function createFakeHub(): FakeHub {
  const lines = new Map<string, Connection>();
  const published: GossipEntry[] = [];
  let counter = 0;

  const hub: FakeHub = {
    join,
    cut: new Set(),
    faults: { loseGossip: false },
    tamper: (entry) => entry,
  };

  function reaches(from: string, to: string): boolean {
    return from !== to && !hub.cut.has(from) && !hub.cut.has(to);
  }

  function spread(entry: GossipEntry): void {
    if (hub.faults.loseGossip) return;
    for (const [id, line] of lines) {
      if (reaches(entry.origin, id)) line.entries.next(hub.tamper(entry));
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
          spread(entry);
        });
      },
      received: entries,
      entries: (topic) => published.filter((entry) => entry.topic === topic),
    };
    const direct: DirectMessaging = {
      send: (to, topic, value) => {
        const line = lines.get(to);
        if (!line || !reaches(id, to)) return false;
        queueMicrotask(() => {
          line.messages.next({ from: self, topic, value });
        });
        return true;
      },
      received: messages,
    };
    const peers = (): readonly PeerInfo[] =>
      [...lines.values()]
        .filter(({ member }) => member.self === id || reaches(id, member.self))
        .map(({ member, configVersion: version }) => ({
          id: member.self,
          address: member.self,
          zone: 'rennes' as ZoneId,
          state: 'alive' as const,
          configVersion: version(),
        }));
    const member: HubMember = { self, gossip, direct, peers };
    lines.set(id, { member, entries, messages, configVersion });
    return member;
  }

  return hub;
}

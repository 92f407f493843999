/** Membership parts of several daemons in this process, connected by loopback TCP. */

import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { okAsync } from 'neverthrow';

import { dialPeer } from '../../src/adapters/peers/tls';
import type { PeerTls } from '../../src/adapters/peers/tls';
import { createClock, createRandom } from '../../src/adapters/runtime';
import { createMembership } from '../../src/app/membership/membership';
import type { Membership, MembershipPartSettings } from '../../src/app/membership/membership';
import type { ConfigVersion, DaemonId, ZoneId } from '../../src/core/ids';
import type { Logger } from '../../src/ports/runtime';

export interface TestDaemon {
  readonly id: DaemonId;
  readonly address: string;
  readonly part: Membership;
  /** Version in force that the part announces; set by the test. */
  configVersion: number;
  /** Codes of the errors that it logged. */
  readonly alarms: string[];
}

export interface Fleet {
  readonly daemons: readonly TestDaemon[];
  /** Partitions a daemon from all others until `heal`. */
  partition(id: string): void;
  heal(id: string): void;
  /** Stops traffic on a daemon's open links without closing them; new links work. */
  silence(id: string): void;
  /** Starts another daemon; `id` may be that of a stopped daemon. */
  add(id: string): Promise<TestDaemon>;
  stop(): Promise<void>;
}

export interface FleetOptions {
  readonly count: number;
  readonly settings?: Partial<MembershipPartSettings>;
  readonly tls?: PeerTls;
  /** Number of first daemons that serve as seeds; defaults to all. */
  readonly seeds?: number;
}

export const QUICK: Partial<MembershipPartSettings> = {
  probeIntervalMs: 100,
  probeTimeoutMs: 40,
  suspectTimeoutMs: 150,
  syncIntervalMs: 300,
  rejoinIntervalMs: 100,
  announceIntervalMsPerDaemon: 5,
  tickMs: 10,
  listMs: 200,
  links: { longestMs: 100 },
};

/** Loopback addresses with free ports, all different. */
export async function freeAddresses(count: number): Promise<readonly string[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const addresses: string[] = [];
  for (const server of servers) {
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    addresses.push(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  }
  for (const server of servers) await new Promise((resolve) => server.close(resolve));
  return addresses;
}

function logTo(alarms: string[]): Logger {
  const ignore = (): void => undefined;
  return {
    debug: ignore,
    info: ignore,
    warn: ignore,
    error: (_, fields) => alarms.push(fields?.code ?? ''),
  };
}

/** Tracks the dialled sockets by their two addresses, to break or silence a daemon's links. */
function createLinks(): {
  dialFor: (from: string) => (address: string) => Socket;
  cut: Set<string>;
  breakLinks: (address: string) => void;
  silenceLinks: (address: string) => void;
} {
  const cut = new Set<string>();
  const open = new Map<Socket, readonly [string, string]>();
  const dialFor = (from: string) => (address: string) => {
    const socket = dialPeer(address, undefined);
    open.set(socket, [from, address]);
    socket.once('close', () => open.delete(socket));
    if (cut.has(from) || cut.has(address)) socket.destroy();
    return socket;
  };
  const breakLinks = (address: string): void => {
    for (const [socket, ends] of open) if (ends.includes(address)) socket.destroy();
  };
  const silenceLinks = (address: string): void => {
    for (const [socket, ends] of open) {
      if (!ends.includes(address)) continue;
      socket.pause();
      socket.write = () => true;
    }
  };
  return { dialFor, cut, breakLinks, silenceLinks };
}

export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const { count, settings = QUICK, tls, seeds = count } = options;
  const addresses = await freeAddresses(count);
  const links = createLinks();
  const daemons: TestDaemon[] = [];

  function createDaemon(id: string, address: string): TestDaemon {
    const alarms: string[] = [];
    const daemon: TestDaemon = {
      id: id as DaemonId,
      address,
      configVersion: 0,
      alarms,
      part: createMembership({
        self: { id: id as DaemonId, address, zone: 'rennes' as ZoneId },
        seeds: addresses.slice(0, seeds),
        secret: 'test-secret',
        ...(tls ? { tls } : { dial: links.dialFor(address) }),
        instances: { list: () => okAsync([]) },
        configVersion: () => daemon.configVersion as ConfigVersion,
        clock: createClock(),
        random: createRandom(daemons.length + 1),
        logger: logTo(alarms),
        settings,
      }),
    };
    daemons.push(daemon);
    return daemon;
  }

  function addressOf(id: string): string {
    return daemons.find((daemon) => daemon.id === id)?.address ?? '';
  }

  addresses.forEach((address, i) => createDaemon(`daemon-${i}`, address));
  await Promise.all(daemons.map(({ part }) => part.start()));
  return {
    daemons,
    partition: (id) => {
      links.cut.add(addressOf(id));
      links.breakLinks(addressOf(id));
    },
    heal: (id) => {
      links.cut.delete(addressOf(id));
    },
    silence: (id) => {
      links.silenceLinks(addressOf(id));
    },
    add: async (id) => {
      const [address = ''] = await freeAddresses(1);
      const daemon = createDaemon(id, address);
      await daemon.part.start();
      return daemon;
    },
    stop: async () => {
      await Promise.all(daemons.map(({ part }) => part.stop()));
    },
  };
}

/** Polls until `condition` holds; throws after ten seconds. */
export async function until(what: string, condition: () => boolean): Promise<void> {
  const deadline = performance.now() + 10_000;
  while (!condition()) {
    if (performance.now() > deadline) throw new Error(`timed out after 10 s waiting for: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

/** State of `id` in the view of `viewer`, or `gone`. */
export function stateIn(viewer: TestDaemon, id: string): string {
  return viewer.part.peers().find((peer) => peer.id === id)?.state ?? 'gone';
}

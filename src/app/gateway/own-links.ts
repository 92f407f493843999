/**
 * Checks whether this daemon's links to the servers of a service are sound, so that it can tell whether one of
 * them has ended. Servers that are known to have ended are left out: where several end one after another, the
 * others that do not listen say nothing about the links.
 */

import type { ListeningState } from '../../adapters/upstream/listening';
import { areLinksSound } from '../../core/gateway/server-evidence';
import type { LinkedServer } from '../../core/gateway/server-links';
import { later } from '../../core/ids';
import type { MonoTime, ServiceId } from '../../core/ids';
import { sample } from '../../utils/common';
import type { GatewayContext } from './context';
import type { ServerAddresses } from './server-addresses';

export interface OwnLinks {
  /**
   * Whether this daemon reaches other servers of the service. The check begins after the question, as links may
   * fail at any moment; questions that come during one share the next.
   */
  areSound(server: LinkedServer): Promise<boolean>;
  /** Notes that a server has ended, on the evidence of several observers. */
  noteEnded(address: string): void;
  noteReached(address: string): void;
  tick(): void;
}

export interface OwnLinksDeps {
  readonly servers: Pick<ServerAddresses, 'sample'>;
  readonly checkListening: (address: string, timeoutMs: number) => Promise<ListeningState>;
  /** Whether any server sent something recently. */
  readonly hasReceivedRecently: () => boolean;
}

/** A server on a healthy link accepts a connection within milliseconds. */
const CHECK_TIMEOUT_MS = 150;
const CHECKED_SERVERS = 3;
/** A server that has ended is not expected to listen for this long, unless it is reached before. */
const ENDED_MS = 20_000;

export function createOwnLinks(
  { clock, random }: Pick<GatewayContext, 'clock' | 'random'>,
  { servers, checkListening, hasReceivedRecently }: OwnLinksDeps,
): OwnLinks {
  /** Checks that are under way, and those that follow them. */
  const running = new Map<ServiceId, Promise<boolean>>();
  const following = new Map<ServiceId, Promise<boolean>>();
  /** By address. */
  const endedUntil = new Map<string, MonoTime>();

  const hasEnded = (address: string): boolean => {
    const until = endedUntil.get(address);
    return until !== undefined && clock.now() < until;
  };

  const check = async ({ address, service }: LinkedServer): Promise<boolean> => {
    const others = servers
      .sample(CHECKED_SERVERS + 1 + endedUntil.size, service)
      .filter((other) => other.address !== address);
    if (others.length === 0) return hasReceivedRecently();
    const alive = others.filter((other) => !hasEnded(other.address));
    const checked = sample(alive, CHECKED_SERVERS, () => random.next());
    const found = checked.map((other) => checkListening(other.address, CHECK_TIMEOUT_MS));
    return areLinksSound(await Promise.all(found));
  };

  const start = (server: LinkedServer): Promise<boolean> => {
    const { service } = server;
    const started = check(server).finally(() => {
      if (running.get(service) === started) running.delete(service);
    });
    running.set(service, started);
    return started;
  };

  return {
    areSound: (server) => {
      const { service } = server;
      const current = running.get(service);
      if (!current) return start(server);
      const known = following.get(service);
      if (known) return known;
      const startNext = (): Promise<boolean> => {
        following.delete(service);
        return start(server);
      };
      const next = current.then(startNext, startNext);
      following.set(service, next);
      return next;
    },
    noteEnded: (address) => {
      endedUntil.set(address, later(clock.now(), ENDED_MS));
    },
    noteReached: (address) => {
      endedUntil.delete(address);
    },
    tick: () => {
      const now = clock.now();
      for (const [address, until] of endedUntil) if (now >= until) endedUntil.delete(address);
    },
  };
}

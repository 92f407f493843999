/** The peers through which this daemon reaches servers, and which it asks whether they do. */

import type { ObservedState } from '../../adapters/upstream/forward-client';
import { isSettled, judgeServer } from '../../core/gateway/server-evidence';
import { chooseForwardPeers, chooseObservers } from '../../core/gateway/server-links';
import type {
  ForwardPeer,
  ForwardPeerOptions,
  LinkedServer,
} from '../../core/gateway/server-links';
import { later } from '../../core/ids';
import type { DaemonId, MonoTime, ServiceId } from '../../core/ids';
import { sample } from '../../utils/common';
import type { GatewayContext } from './context';

/** A peer that forwards requests. */
export interface Forwarder {
  readonly id: DaemonId;
  readonly address: string;
}

export interface ForwardPeersDeps {
  readonly peers: () => readonly ForwardPeer[];
  readonly askPeer: (address: string, peer: string, timeoutMs: number) => Promise<ObservedState>;
}

type ForwardPeersContext = Pick<GatewayContext, 'clock' | 'logger' | 'random' | 'settings'>;

export interface PeerFinding {
  readonly state: ObservedState;
  /** Shortest time in which a peer answered, milliseconds; infinite if none did. */
  readonly answeredInMs: number;
}

/** Answers of peers by their ids, and how long each took. */
type PeerAnswers = Map<DaemonId, { readonly state: ObservedState; readonly tookMs: number }>;

export interface ForwardPeers {
  /** Peers that forward requests for the service. */
  list(service: ServiceId): readonly ForwardPeer[];
  /** One of them at random. */
  pick(service: ServiceId): Forwarder | undefined;
  /**
   * What peers find of a server. One that reaches it decides; that a few do not may be for links of their own,
   * so that others are asked then. `own` is what this daemon finds, if it has looked.
   */
  ask(server: LinkedServer, own?: Promise<ObservedState>): Promise<PeerFinding>;
  /** Notes that a peer did not forward. */
  noteFailed(peer: DaemonId): void;
  tick(): void;
}

/** Time for a peer's answer, its own check of the server included. */
const ASK_TIMEOUT_MS = 400;
/** Peers asked at a time about a server: others as long as none reaches it and what they say is not settled. */
const ASK_ROUNDS = [3, 3, 6];
/** A peer that did not forward is left out for this long. */
const PEER_BACKOFF_MS = 1_000;

function statesOf(answers: PeerAnswers): readonly ObservedState[] {
  return [...answers.values()].map(({ state }) => state);
}

export function createForwardPeers(
  { clock, logger, random, settings }: ForwardPeersContext,
  { peers, askPeer }: ForwardPeersDeps,
): ForwardPeers {
  const failingUntil = new Map<DaemonId, MonoTime>();
  /** Until the next tick, as ranking hundreds of peers for each request would take too long. */
  const chosen = new Map<ServiceId, readonly ForwardPeer[]>();

  const isFailing = (peer: DaemonId): boolean => {
    const until = failingUntil.get(peer);
    return until !== undefined && clock.now() < until;
  };

  const optionsFor = (service: ServiceId): ForwardPeerOptions => ({
    ...{ self: settings.id, zone: settings.zone, service, isFailing },
  });

  const shuffle = (all: readonly ForwardPeer[]): readonly ForwardPeer[] =>
    all
      .map((peer) => ({ peer, order: random.next() }))
      .sort((a, b) => a.order - b.order)
      .map(({ peer }) => peer);

  const list = (service: ServiceId): readonly ForwardPeer[] => {
    const known = chosen.get(service);
    if (known) return known;
    const found = chooseForwardPeers(peers(), optionsFor(service));
    chosen.set(service, found);
    return found;
  };

  /** Answers of peers, by their ids. */
  const collect = async (
    observers: readonly ForwardPeer[],
    { address }: LinkedServer,
    own?: Promise<ObservedState>,
  ): Promise<PeerAnswers> => {
    const answers: PeerAnswers = new Map();
    for (const size of ASK_ROUNDS) {
      const asked = observers.slice(answers.size, answers.size + size);
      await Promise.all(
        asked.map(async ({ id, forwardAddress = '' }) => {
          const startedAt = clock.now();
          const state = await askPeer(address, forwardAddress, ASK_TIMEOUT_MS);
          answers.set(id, { state, tookMs: Math.round(clock.now() - startedAt) });
        }),
      );
      if (isSettled({ own: own && (await own), peers: statesOf(answers) })) break;
    }
    return answers;
  };

  const ask = async (server: LinkedServer, own?: Promise<ObservedState>): Promise<PeerFinding> => {
    const startedAt = clock.now();
    const observers = chooseObservers(peers(), optionsFor(server.service), shuffle);
    const answers = await collect(observers, server, own);
    const found = await own;
    const askable = observers.length;
    const state = judgeServer({ own: found, peers: statesOf(answers), askable });
    const answered = [...answers.values()].filter((one) => one.state !== 'unknown');
    const answeredInMs = Math.min(...answered.map(({ tookMs }) => tookMs));
    logger.info('peers asked whether they reach a server', {
      step: 'server-links',
      ...{ ...server, state, ...(found !== undefined && { own: found }) },
      answers: [...answers].map(([id, one]) => `${id}:${one.state}:${one.tookMs}`).join(' '),
      tookMs: Math.round(clock.now() - startedAt),
    });
    return { state, answeredInMs };
  };

  return {
    list,
    pick: (service) => {
      const [found] = sample(list(service), 1, () => random.next());
      if (found?.forwardAddress === undefined) return undefined;
      return { id: found.id, address: found.forwardAddress };
    },
    ask,
    noteFailed: (peer) => {
      chosen.clear();
      failingUntil.set(peer, later(clock.now(), PEER_BACKOFF_MS));
    },
    tick: () => {
      chosen.clear();
    },
  };
}

/** Connections to the other daemons, by address: opened on demand, closed when idle. */

import { randomUUID } from 'node:crypto';
import type { Server, Socket } from 'node:net';
import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import type { DaemonId } from '../../core/ids';
import { parseAddress } from '../../utils/address';
import { describeThrown } from '../../utils/error-origin';
import type { Peers, Received } from '../../ports/peers';
import type { Clock, Logger, Random } from '../../ports/runtime';
import { fail } from '../../utils/errors';
import { createBackoff } from './backoff';
import { encodeFrame } from './codec';
import type { BackoffLimits } from './backoff';
import type { PeerName } from './handshake';
import { IDLE, createLink } from './link';
import type { Link, LinkLimits } from './link';
import { createPeerServer, dialPeer } from './tls';
import type { PeerTls } from './tls';

/** Limits of the peer connections; times in milliseconds. */
export interface PeerSettings extends LinkLimits, BackoffLimits {
  /** Messages queued while a link is being opened. */
  readonly queuedMessages: number;
  /** Incoming connections that are not authenticated yet. */
  readonly pendingLinks: number;
  /** Maximum wait for links to flush and close at stop. */
  readonly closeMs: number;
}

export const PEER_DEFAULTS: PeerSettings = {
  handshakeMs: 2000,
  idleMs: 60_000,
  handshakeBytes: 4096,
  bufferBytes: 4_000_000,
  firstMs: 100,
  longestMs: 2000,
  queuedMessages: 64,
  pendingLinks: 256,
  closeMs: 500,
};

export interface PeersOptions<M extends { readonly kind: string }> {
  readonly self: { readonly id: DaemonId; readonly address: string };
  /** Listen address, if it differs from the advertised one. */
  readonly listen?: string;
  readonly secret: string;
  readonly tls?: PeerTls;
  /** Validates a frame; undefined if it is not a valid message. */
  readonly parse: (frame: unknown) => M | undefined;
  readonly dial?: (address: string) => Socket;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly settings?: Partial<PeerSettings>;
  /** Called for each message that is sent or received, with the bytes of its frame. */
  readonly onMessage?: (way: MessageWay, kind: string, bytes: number) => void;
}

export type MessageWay = 'sent' | 'received';

/** A received message, with its sender's advertised address. */
export interface ReceivedFrom<M> extends Received<M> {
  readonly address: string;
}

/** Bytes since the start, over all links, and the number of current links. */
export interface PeerTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly links: number;
}

/** An encoded message. */
export interface Prepared {
  readonly bytes: number;
  sendTo(address: string): void;
}

export interface TcpPeers<M> extends Peers<M> {
  readonly received: Observable<ReceivedFrom<M>>;
  /** Addresses that could not be reached or whose link broke. */
  readonly unreachable: Observable<string>;
  /** Sends to each of the addresses; the message is encoded once. */
  sendToAll(addresses: Iterable<string>, message: M): void;
  /** Encodes a message that is sent several times. */
  prepare(message: M): Prepared;
  /** Breaks the link, so that the next message makes a new one. */
  drop(address: string): void;
  traffic(): PeerTraffic;
  start(): Promise<void>;
  /** Flushes pending writes, then closes all links. */
  stop(): Promise<void>;
}

interface Dialling {
  /** Encoded frames. */
  readonly queue: Uint8Array[];
}

/** Creates the peer connections of one daemon. */
export function createPeers<M extends { readonly kind: string }>(
  options: PeersOptions<M>,
): TcpPeers<M> {
  const settings: PeerSettings = { ...PEER_DEFAULTS, ...options.settings };
  const { self, secret, tls, logger } = options;
  const name: PeerName = { id: self.id, address: self.address, process: randomUUID() };
  const dial = options.dial ?? ((address: string) => dialPeer(address, tls));
  const backoff = createBackoff(settings, options.clock, options.random);
  const received = new Subject<ReceivedFrom<M>>();
  const unreachable = new Subject<string>();
  const links = new Map<string, Link>();
  const dialling = new Map<string, Dialling>();
  const all = new Set<Link>();
  const selfAddresses = new Set<string>([self.address]);
  const closedBytes = { sent: 0, received: 0 };
  let pending = 0;
  let server: Server | undefined;
  let stopped = false;

  /** An error of the validation refuses the frame; the link is then closed, and no other. */
  function parse(peer: PeerName | undefined, frame: unknown): M | undefined {
    try {
      return options.parse(frame);
    } catch (err) {
      const origin = { step: 'peer-message', ...(peer && { peer: peer.id }) };
      logger.error('unexpected error', { ...origin, ...describeThrown(err) });
      return undefined;
    }
  }

  function takeFrame(peer: PeerName | undefined, frame: unknown, bytes: number): boolean {
    const message = parse(peer, frame);
    if (message === undefined || !peer) {
      // An incompatible daemon or a bug: always logged.
      logger.warn('message refused: no daemon sends such a one', {
        step: 'peer-message',
        ...(peer && { peer: peer.id }),
      });
      return false;
    }
    options.onMessage?.('received', message.kind, bytes);
    received.next({ from: peer.id, address: peer.address, message });
    return true;
  }

  function isAcceptable(peer: PeerName, dialled?: string): boolean {
    if (peer.process === name.process) {
      if (dialled !== undefined) selfAddresses.add(dialled);
      return false;
    }
    if (peer.id !== name.id) return true;
    logger.error('another process uses the id of this daemon', {
      step: 'peer-handshake',
      peer: peer.address,
      code: 'duplicate-id',
    });
    return false;
  }

  function noteClosed(link: Link): void {
    all.delete(link);
    closedBytes.sent += link.sentBytes();
    closedBytes.received += link.receivedBytes();
    for (const [address, held] of links) if (held === link) links.delete(address);
  }

  function openOutgoing(address: string): void {
    const attempt: Dialling = { queue: [] };
    dialling.set(address, attempt);
    let peer: PeerName | undefined;
    const link = createLink(dial(address), {
      role: 'dialler',
      name,
      secret,
      limits: settings,
      onOpen: (found) => {
        peer = found;
        dialling.delete(address);
        if (!isAcceptable(found, address)) return false;
        backoff.noteSuccess(address);
        links.set(address, link).set(found.address, link);
        for (const bytes of attempt.queue) link.sendEncoded(bytes);
        return true;
      },
      onFrame: (frame, bytes) => takeFrame(peer, frame, bytes),
      onClose: (reason) => {
        dialling.delete(address);
        noteClosed(link);
        if (!peer) backoff.noteFailure(address);
        noteBroken(peer?.address ?? address, reason);
      },
    });
    all.add(link);
  }

  function noteBroken(address: string, reason: string): void {
    if (reason === IDLE || stopped || selfAddresses.has(address)) return;
    logger.debug(`link broken: ${reason}`, { step: 'peer-link', peer: address });
    unreachable.next(address);
  }

  function openIncoming(socket: Socket): void {
    if (stopped || pending >= settings.pendingLinks) {
      socket.destroy();
      return;
    }
    pending += 1;
    let peer: PeerName | undefined;
    const link = createLink(socket, {
      role: 'listener',
      name,
      secret,
      limits: settings,
      onOpen: (found) => {
        pending -= 1;
        peer = found;
        if (!isAcceptable(found)) return false;
        // Prefer the newest link: the dialler may have found the older ones unresponsive.
        links.set(found.address, link);
        return true;
      },
      onFrame: (frame, bytes) => takeFrame(peer, frame, bytes),
      onClose: (reason) => {
        noteClosed(link);
        if (peer) {
          noteBroken(peer.address, reason);
          return;
        }
        pending -= 1;
        const from = socket.remoteAddress ?? '';
        logger.warn(`link refused: ${reason}`, { step: 'peer-handshake', peer: from });
      },
    });
    all.add(link);
  }

  /** `encode` is called only if a link is open or being opened. */
  function sendEncoded(address: string, kind: string, encode: () => Uint8Array): boolean {
    if (stopped || selfAddresses.has(address)) return false;
    const link = links.get(address);
    if (link) {
      const bytes = encode();
      options.onMessage?.('sent', kind, bytes.length);
      return link.sendEncoded(bytes);
    }
    if (!dialling.has(address)) {
      if (!backoff.mayDial(address)) return false;
      openOutgoing(address);
    }
    const attempt = dialling.get(address);
    if (!attempt || attempt.queue.length >= settings.queuedMessages) return false;
    const bytes = encode();
    options.onMessage?.('sent', kind, bytes.length);
    attempt.queue.push(bytes);
    return true;
  }

  function send(address: string, message: M): boolean {
    return sendEncoded(address, message.kind, () => encodeFrame(message));
  }

  function sendToAll(addresses: Iterable<string>, message: M): void {
    let encoded: Uint8Array | undefined;
    const encode = (): Uint8Array => (encoded ??= encodeFrame(message));
    for (const address of addresses) sendEncoded(address, message.kind, encode);
  }

  function prepare(message: M): Prepared {
    const encoded = encodeFrame(message);
    return {
      bytes: encoded.length,
      sendTo: (address) => {
        sendEncoded(address, message.kind, () => encoded);
      },
    };
  }

  function traffic(): PeerTraffic {
    let { sent: sentBytes, received: receivedBytes } = closedBytes;
    for (const link of all) {
      sentBytes += link.sentBytes();
      receivedBytes += link.receivedBytes();
    }
    return { sentBytes, receivedBytes, links: all.size };
  }

  function start(): Promise<void> {
    const listening = createPeerServer(tls, openIncoming);
    server = listening;
    return new Promise((resolve, reject) => {
      listening.once('error', (cause: Error) => {
        reject(fail('internal', cause.message, { step: 'peer-listen', cause }));
      });
      listening.listen(parseAddress(options.listen ?? self.address), resolve);
    });
  }

  async function stop(): Promise<void> {
    if (stopped) return;
    stopped = true;
    server?.close();
    for (const link of all) link.close();
    const deadline = options.clock.now() + settings.closeMs;
    while (all.size > 0 && options.clock.now() < deadline) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    for (const link of all) link.destroy('stopped');
    received.complete();
    unreachable.complete();
  }

  return {
    send,
    sendToAll,
    prepare,
    received,
    unreachable,
    drop: (address) => links.get(address)?.destroy(IDLE),
    traffic,
    start,
    stop,
  };
}

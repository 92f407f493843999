/** Sockets between daemons: plain TCP, or TLS where a certificate is set. */

import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { connect as connectTls, createServer as createTlsServer } from 'node:tls';

import { parseAddress } from '../../utils/address';

/** PEM texts; each daemon has a certificate of the same authority. */
export interface PeerTls {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/** Dials a daemon. Daemons are known by IP numbers, so the authority is checked and no host name. */
export function dialPeer(address: string, tls: PeerTls | undefined): Socket {
  const target = parseAddress(address);
  if (!tls) return connect(target);
  return connectTls({ ...target, ...tls, checkServerIdentity: () => undefined });
}

/** A server that hands over sockets once they are fit for the handshake. */
export function createPeerServer(
  tls: PeerTls | undefined,
  onSocket: (socket: Socket) => void,
): Server {
  if (!tls) return createServer(onSocket);
  return createTlsServer({ ...tls, requestCert: true, rejectUnauthorized: true }, onSocket);
}

/** Sockets between daemons: TLS if a certificate is configured, else plain TCP. */

import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { connect as connectTls, createServer as createTlsServer } from 'node:tls';

import { parseAddress } from '../../utils/address';

/** Certificate, key and CA as PEM; all daemons' certificates are issued by the same CA. */
export interface PeerTls {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/** Connects to a daemon. Daemons are addressed by IP, so the CA is checked but not the host name. */
export function dialPeer(address: string, tls: PeerTls | undefined): Socket {
  const target = parseAddress(address);
  if (!tls) return connect(target);
  return connectTls({ ...target, ...tls, checkServerIdentity: () => undefined });
}

/** Creates a server that passes on sockets ready for the handshake: with TLS, after its own handshake. */
export function createPeerServer(
  tls: PeerTls | undefined,
  onSocket: (socket: Socket) => void,
): Server {
  if (!tls) return createServer(onSocket);
  return createTlsServer({ ...tls, requestCert: true, rejectUnauthorized: true }, onSocket);
}

/** Sockets between daemons: TLS if a certificate is configured, else plain TCP. */

import { Socket, connect, createServer } from 'node:net';
import type { Server } from 'node:net';
import { connect as connectTls, createServer as createTlsServer } from 'node:tls';

import { isAddress, parseAddress } from '../../utils/address';

/** Certificate, key and CA as PEM; all daemons' certificates are issued by the same CA. */
export interface PeerTls {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/** A socket that fails as one whose host does not exist. */
function failedSocket(address: string): Socket {
  const socket = new Socket();
  setImmediate(() => socket.destroy(new Error(`not a valid address: ${address}`)));
  return socket;
}

/** Connects to a daemon; the socket of an address that is none fails. Daemons are addressed by IP, so the CA is checked but not the host name. */
export function dialPeer(address: string, tls: PeerTls | undefined): Socket {
  if (!isAddress(address)) return failedSocket(address);
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

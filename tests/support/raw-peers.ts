/** The peer adapter of a single daemon, and raw connections to it, for tests of the adapter. */

import { connect } from 'node:net';
import type { Socket } from 'node:net';

import { createLink } from '../../src/adapters/peers/link';
import type { Link } from '../../src/adapters/peers/link';
import { PEER_DEFAULTS, createPeers } from '../../src/adapters/peers/peers';
import type { PeerSettings, TcpPeers } from '../../src/adapters/peers/peers';
import { parseAddress } from '../../src/utils/address';
import { createClock, createRandom } from '../../src/adapters/runtime';
import type { DaemonId } from '../../src/core/ids';
import type { Logger } from '../../src/ports/runtime';
import { isRecord } from '../../src/utils/is';

/** The only kind of message that the peers of these tests exchange. */
export interface TestMessage {
  readonly kind: 'test';
  readonly text: string;
}

export const SECRET = 'the shared secret';

const noop = (): void => undefined;
const SILENT_LOGGER: Logger = { debug: noop, info: noop, warn: noop, error: noop };

function parseTestMessage(frame: unknown): TestMessage | undefined {
  if (!isRecord(frame) || frame.kind !== 'test' || typeof frame.text !== 'string') return undefined;
  return { kind: 'test', text: frame.text };
}

/** Creates the peer adapter of a daemon at an address. */
export function peersAt(
  id: string,
  address: string,
  options: {
    readonly secret?: string;
    readonly settings?: Partial<PeerSettings>;
    /** Receives the messages of logged warnings. */
    readonly warnings?: string[];
  } = {},
): TcpPeers<TestMessage> {
  return createPeers<TestMessage>({
    self: { id: id as DaemonId, address },
    secret: options.secret ?? SECRET,
    parse: parseTestMessage,
    clock: createClock(),
    random: createRandom(1),
    logger: { ...SILENT_LOGGER, warn: (message) => options.warnings?.push(message) },
    settings: options.settings ?? {},
  });
}

/** Opens a raw connection that discards everything it receives. */
export async function rawSocket(address: string): Promise<Socket> {
  const socket = connect(parseAddress(address));
  socket.on('error', noop);
  await new Promise((resolve) => socket.once('connect', resolve));
  socket.resume();
  return socket;
}

/** Resolves once the socket is closed. */
export async function closed(socket: Socket): Promise<void> {
  if (!socket.destroyed) await new Promise((resolve) => socket.once('close', resolve));
}

/** Opens an authenticated link and returns it with its socket, which the test controls. */
export async function provedLink(address: string): Promise<{ link: Link; socket: Socket }> {
  const socket = connect(parseAddress(address));
  return new Promise((resolve) => {
    const link = createLink(socket, {
      role: 'dialler',
      name: { id: 'raw' as DaemonId, address: '127.0.0.1:1', process: 'raw' },
      secret: SECRET,
      limits: PEER_DEFAULTS,
      onOpen: () => {
        setImmediate(() => {
          resolve({ link, socket });
        });
        return true;
      },
      onFrame: () => true,
      onClose: noop,
    });
  });
}

/** Links of one daemon alone, and raw connections to it, for tests of the adapter. */

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

export interface TestMessage {
  readonly kind: 'test';
  readonly text: string;
}

export const SECRET = 'the shared secret';

const ignore = (): void => undefined;
const SILENT: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };

function parseTest(frame: unknown): TestMessage | undefined {
  if (!isRecord(frame) || frame.kind !== 'test' || typeof frame.text !== 'string') return undefined;
  return { kind: 'test', text: frame.text };
}

export function peersAt(
  id: string,
  address: string,
  options: {
    readonly secret?: string;
    readonly settings?: Partial<PeerSettings>;
    /** Takes the messages of warnings. */
    readonly warnings?: string[];
  } = {},
): TcpPeers<TestMessage> {
  return createPeers<TestMessage>({
    self: { id: id as DaemonId, address },
    secret: options.secret ?? SECRET,
    parse: parseTest,
    clock: createClock(),
    random: createRandom(1),
    logger: { ...SILENT, warn: (message) => options.warnings?.push(message) },
    settings: options.settings ?? {},
  });
}

/** A raw connection; what comes in is dropped. */
export async function rawSocket(address: string): Promise<Socket> {
  const socket = connect(parseAddress(address));
  socket.on('error', ignore);
  await new Promise((resolve) => socket.once('connect', resolve));
  socket.resume();
  return socket;
}

export async function closed(socket: Socket): Promise<void> {
  if (!socket.destroyed) await new Promise((resolve) => socket.once('close', resolve));
}

/** A link that knows the secret, on a socket that the test holds. */
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
      onClose: ignore,
    });
  });
}

/** One link to a daemon: a socket, the handshake on it, and frames once both sides are proved. */

import type { Socket } from 'node:net';

import { createFrameDecoder, encodeFrame } from './codec';
import { checkProof, makeHello, makeProof, parseHello, parseProof } from './handshake';
import type { Hello, LinkRole, PeerName } from './handshake';

export interface LinkLimits {
  /** The handshake takes this long at most. */
  readonly handshakeMs: number;
  /** A link without traffic for this long is closed. */
  readonly idleMs: number;
  /** Bytes taken from a daemon that is not proved. */
  readonly handshakeBytes: number;
  /** Bytes that wait for a daemon that does not read; more breaks the link. */
  readonly bufferBytes: number;
}

export interface LinkOptions {
  readonly role: LinkRole;
  readonly name: PeerName;
  readonly secret: string;
  readonly limits: LinkLimits;
  /** The other side is proved; false refuses it. */
  readonly onOpen: (peer: PeerName) => boolean;
  /** Returns false for a frame that no daemon sends: the link is broken. */
  readonly onFrame: (frame: unknown) => boolean;
  /** Called once. `idle` when this side closed a link that nobody used. */
  readonly onClose: (reason: string) => void;
}

export interface Link {
  /** False, and the link is broken, when too much waits to be read by the other side. */
  send(frame: unknown): boolean;
  /** As `send`, for a frame that is encoded already: one that goes to many is encoded once. */
  sendEncoded(bytes: Uint8Array): boolean;
  close(): void;
  destroy(reason: string): void;
  sentBytes(): number;
  receivedBytes(): number;
}

type Phase = 'hello' | 'proof' | 'open';

const OTHER_ROLE: Readonly<Record<LinkRole, LinkRole>> = {
  dialler: 'listener',
  listener: 'dialler',
};

export const IDLE = 'idle';

/** Runs the handshake on a connected or connecting socket and hands on frames after it. */
export function createLink(socket: Socket, options: LinkOptions): Link {
  const { role, secret, limits } = options;
  const own = makeHello(options.name);
  const decoder = createFrameDecoder();
  let phase: Phase = 'hello';
  let other: Hello | undefined;
  let reason = 'closed by the other side';
  let handshakeBytes = 0;

  const timer = setTimeout(() => {
    destroy('handshake took too long');
  }, limits.handshakeMs);

  function write(frame: unknown): void {
    socket.write(encodeFrame(frame));
  }

  function destroy(why: string): void {
    if (socket.destroyed) return;
    reason = why;
    socket.destroy();
  }

  const takeFrame: Readonly<Record<Phase, (frame: unknown) => void>> = {
    hello: (frame) => {
      other = parseHello(frame);
      if (!other) {
        destroy('no hello');
        return;
      }
      phase = 'proof';
      write(role === 'listener' ? own : makeProof(secret, role, own, other));
    },
    proof: (frame) => {
      const proof = parseProof(frame);
      if (!other || !proof || !checkProof(secret, OTHER_ROLE[role], own, other, proof)) {
        destroy('wrong secret');
        return;
      }
      if (role === 'listener') write(makeProof(secret, role, own, other));
      open(other);
    },
    open: (frame) => {
      if (!options.onFrame(frame)) destroy('damaged frame');
    },
  };

  function open(peer: Hello): void {
    clearTimeout(timer);
    phase = 'open';
    socket.setTimeout(limits.idleMs, () => {
      destroy(IDLE);
    });
    const { id, address, process } = peer;
    if (!options.onOpen({ id, address, process })) destroy('refused');
  }

  socket.setNoDelay(true);
  socket.setKeepAlive(true, limits.idleMs);
  socket.on('data', (chunk: Buffer) => {
    if (phase !== 'open') handshakeBytes += chunk.length;
    if (handshakeBytes > limits.handshakeBytes) destroy('too much before the handshake');
    else decoder.write(chunk);
  });
  decoder.on('data', (frame: unknown) => {
    if (!socket.destroyed) takeFrame[phase](frame);
  });
  decoder.on('error', (err: Error) => {
    destroy(`unreadable bytes: ${err.message}`);
  });
  socket.on('error', (err) => {
    reason = err.message;
  });
  socket.on('end', () => {
    socket.end();
  });
  socket.on('close', () => {
    clearTimeout(timer);
    options.onClose(reason);
  });
  if (role === 'dialler') write(own);

  function sendEncoded(bytes: Uint8Array): boolean {
    if (socket.destroyed || !socket.writable) return false;
    if (socket.writableLength > limits.bufferBytes) {
      destroy('the other side does not read');
      return false;
    }
    socket.write(bytes);
    return true;
  }

  return {
    send: (frame) => sendEncoded(encodeFrame(frame)),
    sendEncoded,
    close: () => {
      reason = IDLE;
      socket.end();
    },
    destroy,
    sentBytes: () => socket.bytesWritten,
    receivedBytes: () => socket.bytesRead,
  };
}

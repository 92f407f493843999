/** An authenticated link to a daemon: a socket, the handshake, then frames. */

import type { Socket } from 'node:net';

import { createFrameDecoder, encodeFrame } from './codec';
import { checkProof, makeHello, makeProof, parseHello, parseProof } from './handshake';
import type { Hello, LinkRole, PeerName } from './handshake';

/** Limits of one link; times in milliseconds. */
export interface LinkLimits {
  /** Timeout of the handshake. */
  readonly handshakeMs: number;
  /** Idle timeout. */
  readonly idleMs: number;
  /** Maximum number of bytes accepted before the peer is authenticated. */
  readonly handshakeBytes: number;
  /** Maximum size of the send buffer; a link whose peer reads too slowly is closed. */
  readonly bufferBytes: number;
}

export interface LinkOptions {
  readonly role: LinkRole;
  readonly name: PeerName;
  readonly secret: string;
  readonly limits: LinkLimits;
  /** Called once the peer is authenticated; returning false refuses it. */
  readonly onOpen: (peer: PeerName) => boolean;
  /**
   * Returns false for an invalid frame: the link is then closed. `bytes` were received since the
   * frame before, so they are exact to a chunk of the socket.
   */
  readonly onFrame: (frame: unknown, bytes: number) => boolean;
  /** Called once. The reason is `idle` if this side closed an unused link. */
  readonly onClose: (reason: string) => void;
}

export interface Link {
  /** Returns false if the link is closed, or if it closes now because the send buffer is full. */
  send(frame: unknown): boolean;
  /** As `send`, for an encoded frame, so that a broadcast encodes it only once. */
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

/** Runs the handshake on a connected or connecting socket, then passes on frames. */
export function createLink(socket: Socket, options: LinkOptions): Link {
  const { role, secret, limits } = options;
  const own = makeHello(options.name);
  const decoder = createFrameDecoder();
  let phase: Phase = 'hello';
  let other: Hello | undefined;
  let reason = 'closed by the peer';
  let handshakeBytes = 0;
  /** Received since the last frame. */
  let frameBytes = 0;

  const timer = setTimeout(() => {
    destroy(`handshake not completed within ${limits.handshakeMs} ms`);
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
        destroy('expected a hello frame');
        return;
      }
      phase = 'proof';
      write(role === 'listener' ? own : makeProof(secret, role, own, other));
    },
    proof: (frame) => {
      const proof = parseProof(frame);
      if (!other || !proof || !checkProof(secret, OTHER_ROLE[role], own, other, proof)) {
        destroy('invalid proof: peer secrets differ');
        return;
      }
      if (role === 'listener') write(makeProof(secret, role, own, other));
      open(other);
    },
    open: (frame) => {
      if (!options.onFrame(frame, frameBytes)) destroy('invalid frame');
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
    frameBytes += chunk.length;
    if (handshakeBytes > limits.handshakeBytes)
      destroy(`more than ${limits.handshakeBytes} bytes before the end of the handshake`);
    else decoder.write(chunk);
  });
  decoder.on('data', (frame: unknown) => {
    if (!socket.destroyed) takeFrame[phase](frame);
    frameBytes = 0;
  });
  decoder.on('error', (err: Error) => {
    destroy(`frame cannot be decoded: ${err.message}`);
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
      destroy(`send buffer exceeds ${limits.bufferBytes} bytes: the peer reads too slowly`);
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

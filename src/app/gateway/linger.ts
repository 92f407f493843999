/**
 * Closes connections without cutting what was written to them (RFC 9112, 9.6). Bytes that arrive after a close make the
 * kernel reset the connection and drop what its peer has not received, and the peer may see an ordinary end: an answer
 * that ends with its connection would look whole. So the daemon ends its side first, and reads until its peer does.
 */

import type { Socket } from 'node:net';

/** A peer that does not end its side is waited for this long, milliseconds. */
const LINGER_MS = 2_000;
/** What is read for nothing meanwhile, bytes, and the interval at which it is looked at, milliseconds. */
const MAX_LINGER_BYTES = 64 * 1024;
const LOOK_MS = 50;

/** Ends the daemon's side of a connection, and closes it when the peer has ended its own, or some time later. */
export function closeLingering(socket: Socket): void {
  if (socket.destroyed || socket.writableEnded) return;
  const { bytesRead } = socket;
  const until = performance.now() + LINGER_MS;
  const timer = setInterval(() => {
    const isTooMuch = socket.bytesRead > bytesRead + MAX_LINGER_BYTES;
    if (isTooMuch || performance.now() >= until) socket.destroy();
  }, LOOK_MS);
  socket.once('close', () => {
    clearInterval(timer);
  });
  socket.end();
}

/** Closes a connection once all that was written to it has been handed to the kernel. */
export function closeSoon(socket: Socket): void {
  if (socket.destroyed) return;
  if (socket.writableFinished) socket.destroy();
  else socket.end(() => socket.destroy());
}

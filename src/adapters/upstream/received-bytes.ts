/** Counts the bytes received over connections, closed ones included. */

import type { Socket } from 'node:net';

export interface ReceivedBytes {
  note(socket: Socket): void;
  total(): number;
}

export function countReceivedBytes(): ReceivedBytes {
  const open = new Set<Socket>();
  let closed = 0;
  return {
    note: (socket) => {
      open.add(socket);
      socket.once('close', () => {
        open.delete(socket);
        closed += socket.bytesRead;
      });
    },
    total: () => [...open].reduce((sum, { bytesRead }) => sum + bytesRead, closed),
  };
}

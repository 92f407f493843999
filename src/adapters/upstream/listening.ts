/** Checks whether a process still listens at an address, without sending anything to it. */

import { connect } from 'node:net';

import { isAddress, parseAddress } from '../../utils/address';
import { createTimeout } from '../../utils/timeout';

/**
 * - `listening`: a connection was established.
 * - `refused`: the host has no process at the port.
 * - `unreachable`: no answer in time, no route, or no valid address.
 */
export type ListeningState = 'listening' | 'refused' | 'unreachable';

/** Opens a connection and closes it again; never rejects. */
export function checkListening(address: string, timeoutMs: number): Promise<ListeningState> {
  if (!isAddress(address)) return Promise.resolve('unreachable');
  const { host, port } = parseAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const end = (state: ListeningState): void => {
      timeout.clear();
      socket.destroy();
      resolve(state);
    };
    const timeout = createTimeout(timeoutMs, () => {
      end('unreachable');
    });
    socket.once('connect', () => {
      end('listening');
    });
    socket.on('error', (err: NodeJS.ErrnoException) => {
      end(err.code === 'ECONNREFUSED' ? 'refused' : 'unreachable');
    });
  });
}

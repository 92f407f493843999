/** Ends connections that bring what is no request. */

import type { Socket } from 'node:net';

import type { CallerConnections } from './caller-connections';
import type { GatewayContext } from './context';

/** Responses to what is no request, by the error's code, as Node sends them. */
const MALFORMED: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** Ends a connection that brought what is no request. Node would cut the answers to the requests before. */
export function endMalformed(
  { logger, metrics }: GatewayContext,
  connections: CallerConnections,
  { code = 'unknown' }: NodeJS.ErrnoException,
  socket: Socket,
): void {
  // A caller that ends its side in the middle of a further request has left.
  const hasLeft = code === 'HPE_INVALID_EOF_STATE' && connections.isAnswering(socket);
  if (hasLeft || code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  metrics.count('nutmegstack_malformed_requests_total', { code });
  logger.info('malformed request', { step: 'read', code });
  const status = MALFORMED[code] ?? '400 Bad Request';
  connections.endWith(socket, `HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
}

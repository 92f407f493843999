/** HTTP listener for the load balancer's readiness probe and for metrics. */

import { createServer } from 'node:http';
import type { Server } from 'node:http';

import { parseAddress } from '../../utils/address';
import { fail } from '../../utils/errors';
import type { GatewayContext } from './context';

export interface ReadyOptions {
  /** Path of the readiness probe. */
  readonly path: string;
  readonly isReady: () => boolean;
}

const METRICS_PATH = '/metrics';
const METRICS_TYPE = 'text/plain; version=0.0.4';

/** Starts the listener. */
export function listenReady(
  { settings, metrics }: GatewayContext,
  { path, isReady }: ReadyOptions,
): Promise<Server> {
  const server = createServer((req, res) => {
    if (req.url === METRICS_PATH) {
      metrics.render().then(
        (text) => res.writeHead(200, { 'Content-Type': METRICS_TYPE }).end(text),
        () => res.writeHead(500, { 'Content-Length': 0 }).end(),
      );
      return;
    }
    const status = isReady() ? 200 : 503;
    res.writeHead(req.url === path ? status : 404, { 'Content-Length': 0 }).end();
  });
  const { host, port } = parseAddress(settings.readyListen);
  return new Promise((resolve, reject) => {
    server.once('error', (cause) => {
      const peer = settings.readyListen;
      reject(fail('unavailable', 'cannot listen', { step: 'listen', peer, cause }));
    });
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}

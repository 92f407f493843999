/** Runs the request plane in its own process, for faults such as kill and freeze. */

import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { createTable } from '../../src/adapters/platform/table';
import { createDaemonDeps } from '../support/requests-fixture';
import { createRequests } from '../../src/app/requests/requests';

const [id = '', table = '', backend = ''] = process.argv.slice(2);

const requests = createRequests(
  createDaemonDeps({ id, table: createTable({ address: table }), backend }),
);
const server = createServer(requests.handler);
server.listen(0, '127.0.0.1', () => {
  void requests.start();
  const { port } = server.address() as AddressInfo;
  process.stdout.write(`${JSON.stringify({ ready: true, address: `127.0.0.1:${port}` })}\n`);
});

/** Finds ports for a test that starts many processes, so that tests which run at the same time share none. */

import { createServer } from 'node:net';
import type { Server } from 'node:net';

const HOST = '127.0.0.1';
/** Below the ports of outgoing connections and those that other tests name. */
const FIRST = 10_000;
const LAST = 20_000;

function listen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, HOST, () => {
      resolve(server);
    });
  });
}

async function areFree(first: number, count: number): Promise<boolean> {
  const ports = Array.from({ length: count }, (_, n) => first + n);
  const servers = await Promise.all(ports.map(listen));
  for (const server of servers) if (server) await new Promise((resolve) => server.close(resolve));
  return servers.every((server) => server !== undefined);
}

/** The first of `count` ports that follow each other and are free. Each process looks in a place of its own first. */
export async function findFreePorts(count: number): Promise<number> {
  const places = Math.floor((LAST - FIRST) / count);
  for (let n = 0; n < places; n++) {
    const first = FIRST + ((process.pid + n) % places) * count;
    if (await areFree(first, count)) return first;
  }
  throw new Error(`no ${count} free ports from ${FIRST} to ${LAST}`);
}

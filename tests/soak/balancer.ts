/** The platform's balancer, as PROTOCOL.md has it: it chooses the daemon of each new connection. */

import { get } from 'node:http';

import { PATHS } from '../../platform/names';
import { parseAddress } from '../../src/utils/address';
import type { SoakDaemon } from './world';

const POLL_MS = 1_000;
const MISSES = 2;

export interface Balancer {
  /** The daemon for a new connection from a zone; `hash` chooses among several. */
  choose(zone: string, hash: number): SoakDaemon | undefined;
  stop(): void;
}

/** Whether the daemon answers its balancer at all, and that it is ready. */
export function askReady({ ready }: SoakDaemon): Promise<'ready' | 'not-ready' | 'silent'> {
  return new Promise((resolve) => {
    const options = { ...parseAddress(ready), path: PATHS.ready, agent: false, timeout: POLL_MS };
    const req = get(options, (res) => {
      res.resume();
      resolve(res.statusCode === 200 ? 'ready' : 'not-ready');
    });
    req.once('timeout', () => req.destroy());
    req.once('error', () => {
      resolve('silent');
    });
  });
}

export function startBalancer(
  daemons: readonly SoakDaemon[],
  zoneOf: (n: number) => string,
): Balancer {
  const misses = new Map<SoakDaemon, number>();
  const timer = setInterval(() => {
    for (const daemon of daemons) {
      void askReady(daemon).then((found) => {
        misses.set(daemon, found === 'ready' ? 0 : (misses.get(daemon) ?? 0) + 1);
      });
    }
  }, POLL_MS);
  const isIn = (daemon: SoakDaemon): boolean => (misses.get(daemon) ?? 0) < MISSES;
  return {
    choose: (zone, hash) => {
      const own = daemons.filter((_, n) => zoneOf(n) === zone);
      const ownIn = own.filter(isIn);
      const others = daemons.filter(isIn);
      const few = ownIn.length === 0 && others.length > 0 ? others : own;
      const chosen = ownIn.length * 2 < own.length ? few : ownIn;
      return chosen[hash % chosen.length];
    },
    stop: () => {
      clearInterval(timer);
    },
  };
}

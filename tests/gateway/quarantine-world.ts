/** Daemons that share a quarantine, whose time a test advances. */

import { expect } from 'vitest';

import type { ObservedState } from '../../src/adapters/upstream/forward-client';
import type { Exchange } from '../../src/app/gateway/exchange';
import { createGatewayQuarantine } from '../../src/app/gateway/quarantine/quarantine';
import type { Quarantine } from '../../src/app/gateway/quarantine/quarantine';
import type { RunTarget } from '../../src/app/gateway/quarantine/server-checks';
import { brandAs, later } from '../../src/core/ids';
import type { DaemonId, DomainId, GroupId, MonoTime } from '../../src/core/ids';
import { at, instance, makeContext, makeServer } from './support';

const RUN_MS = 60;
const CLOCK_STEP_MS = 0.001;
export const DECIDED_MS = 1_100;

/** An exchange with only what identifies its request. */
export function requestOf(
  body: string,
  organisation = 'depot',
  url = '/stream/x',
  headers = {},
): Exchange {
  return {
    req: { method: 'POST', url, headers: { host: 'a.example', ...headers } },
    caller: { kind: 'known', organisation: { name: organisation } },
    facts: {},
    body: Buffer.from(body),
  } as unknown as Exchange;
}

export function targetOf(n: number): RunTarget {
  return {
    server: instance(`i${n}`),
    address: `127.0.0.1:${n}`,
    group: brandAs<GroupId>(`g${n}`),
    domain: brandAs<DomainId>(`d${n}`),
  };
}

export interface Daemon {
  readonly quarantine: Quarantine;
  /** Runs the request on the n-th group, whose connection then breaks. */
  readonly crash: (exchange: Exchange, n: number) => Promise<void>;
}

export function createWorld(atFirst: ObservedState = 'refused') {
  let now = at(0);
  let found = atFirst;
  const daemons: Quarantine[] = [];
  const ended = new Map([[instance('i9'), makeServer('i9')]]);
  const advance = (ms: number): void => {
    now = later(now, ms);
    for (const quarantine of daemons) quarantine.tick();
  };
  const addDaemon = (): Daemon => {
    // No two readings of a real clock are equal.
    const read = (): MonoTime => (now = later(now, CLOCK_STEP_MS));
    const ctx = makeContext({
      clock: { now: read, epoch: () => brandAs(now) },
      settings: { id: brandAs<DaemonId>(`daemon-${daemons.length}`) },
    });
    const quarantine = createGatewayQuarantine(ctx, {
      serverRegistry: { ended },
      daemons: () => daemons.length,
      groupRegistry: { find: () => undefined },
      findState: () => Promise.resolve(found),
    });
    daemons.push(quarantine);
    return {
      quarantine,
      crash: async (exchange, n) => {
        const run = quarantine.begin(exchange, targetOf(n));
        advance(RUN_MS);
        run.broken();
        await Promise.resolve();
        await Promise.resolve();
      },
    };
  };
  const setFound = (state: ObservedState): void => {
    found = state;
  };
  return { advance, addDaemon, setFound, now: () => now };
}

export function pass(from: Quarantine, to: Quarantine): void {
  const report = from.report();
  if (report) to.applyReport(report);
}

/** Time passes until the daemon may try the request; fails if that does not come. */
export function awaitTurn(
  { advance }: Pick<ReturnType<typeof createWorld>, 'advance'>,
  { quarantine }: Daemon,
  exchange: Exchange,
): void {
  for (let n = 0; n < 50 && quarantine.standing(exchange) === 'held'; n++) advance(500);
  expect(quarantine.standing(exchange)).toBe('suspect');
}

import { Subject } from 'rxjs';
import { describe, expect, it } from 'vitest';

import { createServerAddresses } from '../../src/app/gateway/server-addresses';
import { createEvacuations } from '../../src/app/gateway/evacuations';
import type { BackendServer } from '../../src/core/gateway/types';
import { brandAs } from '../../src/core/ids';
import type { EpochTime, InstanceId, ServiceId } from '../../src/core/ids';
import { at, makeContext, makeServer, SERVICE } from './support';

const LEDGER = brandAs<ServiceId>('ledger');

function setUp(count: number) {
  let now = 0;
  const clock = { now: () => at(now), epoch: () => brandAs<EpochTime>(now) };
  const ctx = makeContext({ clock });
  const servers = new Map<InstanceId, BackendServer>();
  const changes = new Subject<void>();
  const add = (server: BackendServer): void => {
    servers.set(server.id, server);
    changes.next();
  };
  for (let n = 0; n < count; n++) add(makeServer(`s${n}`));
  const lapsed = new Map<InstanceId, BackendServer>();
  const addresses = createServerAddresses(
    ctx,
    { servers, lapsed, changes },
    createEvacuations(ctx),
  );
  const pass = (ms: number): void => {
    now += ms;
  };
  return { addresses, add, pass };
}

describe('the addresses of servers', () => {
  it('are known with their services, new ones a little later', () => {
    const { addresses, add, pass } = setUp(2);
    expect(addresses.serviceOf('127.0.0.1:1001')).toBe(SERVICE);
    add(makeServer('s7', { service: LEDGER }));
    pass(250);
    expect(addresses.serviceOf('127.0.0.1:1007')).toBe(LEDGER);
    expect(addresses.count(SERVICE)).toBe(2);
  });

  it('are sampled from one service, or from as many as possible', () => {
    const { addresses, add } = setUp(5);
    add(makeServer('s9', { service: LEDGER }));
    const ofOne = addresses.sample(3, SERVICE);
    expect(new Set(ofOne.map(({ address }) => address)).size).toBe(3);
    expect(ofOne.every(({ service }) => service === SERVICE)).toBe(true);
    const services = addresses.sample(2).map(({ service }) => service);
    expect(services.toSorted()).toEqual([LEDGER, SERVICE].toSorted());
  });

  // Guards against an index that takes longer than a request to build in the largest fleet.
  it('are indexed within a fraction of a tick for thousands of servers', () => {
    const { addresses } = setUp(7_500);
    const startedAt = performance.now();
    expect(addresses.count(SERVICE)).toBe(7_500);
    expect(performance.now() - startedAt).toBeLessThan(50);
  });
});

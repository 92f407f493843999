/** The backend servers by address, for checks of the links to them. */

import { merge } from 'rxjs';

import type { LinkedServer } from '../../core/gateway/server-links';
import { later } from '../../core/ids';
import type { ServiceId } from '../../core/ids';
import { sample } from '../../utils/common';
import type { GatewayContext } from './context';
import type { Evacuations } from './evacuations';
import type { ServerRegistry } from './server-registry';

export interface ServerAddresses {
  /** Service of the server that is or recently was registered at the address. */
  serviceOf(address: string): ServiceId | undefined;
  /** Number of registered servers of the service. */
  count(service: ServiceId): number;
  /** A few registered servers at random: of one service, or of as many as possible. */
  sample(count: number, service?: ServiceId): readonly LinkedServer[];
}

interface Index {
  readonly services: ReadonlyMap<string, ServiceId>;
  /** Servers outside evacuated zones. */
  readonly byService: ReadonlyMap<ServiceId, readonly LinkedServer[]>;
}

/** Entries change many times a second in a large fleet; an index this old will do, milliseconds. */
const INDEX_AGE_MS = 200;

export function createServerAddresses(
  { clock, random }: Pick<GatewayContext, 'clock' | 'random'>,
  { servers, lapsed, changes }: Pick<ServerRegistry, 'servers' | 'lapsed' | 'changes'>,
  evacuations: Pick<Evacuations, 'isEvacuated' | 'changes'>,
): ServerAddresses {
  let cached: Index | undefined;
  let isOutdated = false;
  let keptUntil = clock.now();
  merge(changes, evacuations.changes).subscribe(() => {
    isOutdated = true;
  });
  const build = (): Index => {
    const all = [...lapsed.values(), ...servers.values()];
    const byService = new Map<ServiceId, LinkedServer[]>();
    for (const { address, service, zone } of servers.values()) {
      if (evacuations.isEvacuated(zone)) continue;
      const known = byService.get(service);
      if (known) known.push({ address, service });
      else byService.set(service, [{ address, service }]);
    }
    return {
      services: new Map(all.map(({ address, service }) => [address, service])),
      byService,
    };
  };
  const index = (): Index => {
    const now = clock.now();
    if (cached && (!isOutdated || now < keptUntil)) return cached;
    isOutdated = false;
    keptUntil = later(now, INDEX_AGE_MS);
    cached = build();
    return cached;
  };
  const next = (): number => random.next();
  return {
    serviceOf: (address) => index().services.get(address),
    count: (service) => index().byService.get(service)?.length ?? 0,
    sample: (count, service) => {
      const { byService } = index();
      if (service !== undefined) return sample(byService.get(service) ?? [], count, next);
      const ofEach = [...byService.values()].flatMap((of) => sample(of, 1, next));
      return sample(ofEach, count, next);
    },
  };
}

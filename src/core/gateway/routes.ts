/** Finds the route and the organisation of a call. Built once for each version of the configuration. */

import type { OrganisationId, ServiceId } from '../ids';
import type { GatewayConfig, GatewayOrganisation, Route, ServiceSpec } from './types';

export interface RouteTable {
  readonly config: GatewayConfig;
  /** The route with the longest prefix that begins the path. */
  find(host: string, path: string): Route | undefined;
  organisationOf(apiKey: string): GatewayOrganisation | undefined;
  service(name: ServiceId): ServiceSpec | undefined;
}

export function createRouteTable(config: GatewayConfig): RouteTable {
  const hosts = new Map<string, Map<string, Route>>();
  for (const route of config.routes) {
    const host = route.host.toLowerCase();
    const prefixes = hosts.get(host) ?? new Map<string, Route>();
    hosts.set(host, prefixes.set(route.prefix, route));
  }
  const keys = new Map(
    config.organisations.flatMap((organisation) =>
      organisation.apiKeys.map((key) => [key, organisation] as const),
    ),
  );
  const services = new Map(config.services.map((service) => [service.name, service]));
  return {
    config,
    find: (host, path) => findLongest(hosts.get(host.toLowerCase()), path),
    organisationOf: (key) => keys.get(key),
    service: (name) => services.get(name),
  };
}

/** Prefixes end with a slash, so only cuts after a slash can match: a lookup for each, longest first. */
function findLongest(prefixes: Map<string, Route> | undefined, path: string): Route | undefined {
  if (!prefixes) return undefined;
  for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
    const route = prefixes.get(path.slice(0, end + 1));
    if (route) return route;
    if (end === 0) break;
  }
  return undefined;
}

/** Picks one of the route's services by weight; `chance` is in [0, 1). */
export function pickTarget(route: Route, chance: number): ServiceId | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = chance * total;
  for (const { service, weight } of route.targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.targets.at(-1)?.service;
}

/** The caller's rank: its organisation's priority if it has one, else the route's. */
export function priorityOf(route: Route, organisation?: { readonly priority?: number }): number {
  return organisation?.priority ?? route.priority;
}

/** Who is calling, or why that is not known. */
export type Caller =
  | { readonly kind: 'known'; readonly organisation: GatewayOrganisation }
  | { readonly kind: 'anonymous' }
  | { readonly kind: 'unknown-key' };

/** Matches the key of a call. A configuration without organisations asks for no key. */
export function identifyCaller(table: RouteTable, route: Route, apiKey?: string): Caller {
  const organisation = apiKey === undefined ? undefined : table.organisationOf(apiKey);
  if (organisation) return { kind: 'known', organisation };
  const isOpen = route.isPublic || table.config.organisations.length === 0;
  return isOpen ? { kind: 'anonymous' } : { kind: 'unknown-key' };
}

/** The organisation's name, where one is known. */
export function organisationNameOf(caller: Caller): OrganisationId | undefined {
  return caller.kind === 'known' ? caller.organisation.name : undefined;
}

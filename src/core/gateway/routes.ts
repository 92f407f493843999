/** Looks up the route and the organisation of a call. The table is built once per configuration version. */

import type { OrganisationId, ServiceId } from '../ids';
import type { GatewayConfig, GatewayOrganisation, Route, ServiceSpec } from './types';

/** Indexes of a configuration. */
export interface RouteTable {
  readonly config: GatewayConfig;
  /** The route of the host with the longest prefix of the path; the host is case-insensitive. */
  find(host: string, path: string): Route | undefined;
  organisationOf(apiKey: string): GatewayOrganisation | undefined;
  service(name: ServiceId): ServiceSpec | undefined;
}

/** Indexes the configuration's routes, API keys and services. */
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

/** Prefixes end with a slash, so only those ending at a slash of the path are looked up, longest first. */
function findLongest(prefixes: Map<string, Route> | undefined, path: string): Route | undefined {
  if (!prefixes) return undefined;
  for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
    const route = prefixes.get(path.slice(0, end + 1));
    if (route) return route;
    if (end === 0) break;
  }
  return undefined;
}

/** Picks one of the route's services at random by weight; `chance` is in [0, 1). */
export function pickTarget(route: Route, chance: number): ServiceId | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = chance * total;
  for (const { service, weight } of route.targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.targets.at(-1)?.service;
}

/** The caller's priority: its organisation's if that has one, else the route's. */
export function priorityOf(route: Route, organisation?: { readonly priority?: number }): number {
  return organisation?.priority ?? route.priority;
}

/** The identified caller, or why it isn't known. */
export type Caller =
  | { readonly kind: 'known'; readonly organisation: GatewayOrganisation }
  | { readonly kind: 'anonymous' }
  | { readonly kind: 'unknown-key' };

/** Identifies the caller by its API key. No key is needed on public routes or without any organisations. */
export function identifyCaller(table: RouteTable, route: Route, apiKey?: string): Caller {
  const organisation = apiKey === undefined ? undefined : table.organisationOf(apiKey);
  if (organisation) return { kind: 'known', organisation };
  const allowsAnonymous = route.isPublic || table.config.organisations.length === 0;
  return allowsAnonymous ? { kind: 'anonymous' } : { kind: 'unknown-key' };
}

/** The name of the caller's organisation; undefined if it isn't known. */
export function organisationNameOf(caller: Caller): OrganisationId | undefined {
  return caller.kind === 'known' ? caller.organisation.name : undefined;
}

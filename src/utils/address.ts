/** Parses the `host:port` addresses of settings and rows. */

export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `host:port`; IPv6 hosts are in brackets. Does not validate. */
export function parseAddress(address: string): HostPort {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}

const LAST_PORT = 65_535;

/** Whether something can listen at the port of a `host:port`. */
export function hasValidPort(address: string): boolean {
  const { port } = parseAddress(address);
  return Number.isInteger(port) && port > 0 && port <= LAST_PORT;
}

/** The inverse of `parseAddress`. */
export function formatAddress({ host, port }: HostPort): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

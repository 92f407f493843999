/** Addresses as settings and rows write them. */

export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Takes `host:port` apart; IPv6 hosts stand in brackets. */
export function parseAddress(address: string): HostPort {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}

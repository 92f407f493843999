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

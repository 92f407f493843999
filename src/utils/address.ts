/** Parses the `host:port` addresses of settings and rows. */

import { isIPv6 } from 'node:net';

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
const MAX_HOST_LENGTH = 253;
/** A host name or an IPv4 address: labels of at most 63 characters (RFC 1035), with the underscores that names in use have. */
const HOST = /^[a-z\d_](?:[\w-]{0,61}[a-z\d_])?(?:\.[a-z\d_](?:[\w-]{0,61}[a-z\d_])?)*\.?$/i;
const PARTS = /^(?:\[(?<ipv6>[^[\]]+)\]|(?<name>[^:[\]]+)):(?<port>\d{1,5})$/;

/**
 * Whether the text is a `host:port` to which a connection can be attempted. Others make Node throw, or put
 * characters into headers that no header can hold.
 */
export function isAddress(text: string): boolean {
  const { ipv6, name = '', port } = PARTS.exec(text)?.groups ?? {};
  const number = Number(port);
  if (!(number > 0 && number <= LAST_PORT)) return false;
  if (ipv6 !== undefined) return isIPv6(ipv6) && !ipv6.includes('%');
  return name.length <= MAX_HOST_LENGTH && HOST.test(name);
}

/** The inverse of `parseAddress`. */
export function formatAddress({ host, port }: HostPort): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** Reads the TLS certificate, key and CA for connections between daemons. */

import { readFile } from 'node:fs/promises';

import type { PeerTls } from './peers/tls';

/** Paths from the settings. */
export interface TlsFiles {
  readonly certFile: string;
  readonly keyFile: string;
  readonly caFile: string;
}

/** Rejects if a file cannot be read. */
export async function readTls(files: TlsFiles): Promise<PeerTls> {
  const [cert, key, ca] = await Promise.all([
    readFile(files.certFile, 'utf8'),
    readFile(files.keyFile, 'utf8'),
    readFile(files.caFile, 'utf8'),
  ]);
  return { cert, key, ca };
}

/** Reads daemon logs from files or standard input. */

import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

import { parseLogLine } from '../core/explain/explain';
import type { LogLine } from '../core/explain/log-line';

async function readStream(input: Readable): Promise<LogLine[]> {
  const lines: LogLine[] = [];
  for await (const text of createInterface({ input })) {
    const line = parseLogLine(text);
    if (line) lines.push(line);
  }
  return lines;
}

/**
 * Log lines of all files, or of standard input without a path; lines that no daemon wrote are
 * skipped. Rejects if a file can't be read.
 */
export async function readLogs(paths: readonly string[]): Promise<LogLine[]> {
  const inputs = paths.length === 0 ? [process.stdin] : paths.map((path) => createReadStream(path));
  return (await Promise.all(inputs.map(readStream))).flat();
}

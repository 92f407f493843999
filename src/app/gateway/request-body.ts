/** Reads the body of a request, within limits of size and time. */

import type { IncomingMessage } from 'node:http';

import type { MonoTime } from '../../core/ids';
import type { Clock } from '../../ports/runtime';

export interface BodyOptions {
  readonly clock: Clock;
  readonly maxBytes: number;
  readonly until: MonoTime;
}

/** The complete body, or why there is none. */
export function readBody(
  req: IncomingMessage,
  { clock, maxBytes, until }: BodyOptions,
): Promise<Buffer | 'too-long' | 'too-late' | 'broken'> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const limit = setTimeout(
      () => {
        resolve('too-late');
      },
      Math.max(0, until - clock.now()),
    );
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) resolve('too-long');
      else chunks.push(chunk);
    });
    req.on('end', () => {
      clearTimeout(limit);
      resolve(Buffer.concat(chunks));
    });
    req.on('error', () => {
      resolve('broken');
    });
    req.on('close', () => {
      clearTimeout(limit);
      resolve('broken');
    });
  });
}

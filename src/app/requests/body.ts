/** Reads complete message bodies up to a size limit. */

import type { IncomingMessage } from 'node:http';
import { ok, err } from 'neverthrow';
import type { Result } from 'neverthrow';

import type { StepError } from '../../utils/errors';
import { fail } from '../../utils/errors';

/** Options of {@link readBody}. */
export interface ReadOptions {
  readonly maxBytes: number;
  /** Step and peer for errors: what is being read, and from whom. */
  readonly step: string;
  readonly peer?: string;
  /** Stops reading, as when a deadline has passed. */
  readonly signal?: AbortSignal;
}

/**
 * Reads the body of a message. Errors: `body-too-large`; `backend-lost` if the connection broke;
 * `deadline-exceeded` if the signal was aborted first.
 */
export function readBody(
  from: IncomingMessage,
  { maxBytes, signal, ...origin }: ReadOptions,
): Promise<Result<Buffer, StepError>> {
  const tooLarge = (): Result<Buffer, StepError> =>
    err(fail('body-too-large', `the body exceeds the limit of ${maxBytes} bytes`, origin));
  if (Number(from.headers['content-length'] ?? 0) > maxBytes) return Promise.resolve(tooLarge());
  const chunks: Buffer[] = [];
  let bytes = 0;
  return new Promise((resolve) => {
    const settle = (result: Result<Buffer, StepError>): void => {
      from.removeAllListeners('data');
      signal?.removeEventListener('abort', onAbort);
      resolve(result);
    };
    const onAbort = (): void => {
      settle(err(fail('deadline-exceeded', 'the body was not received in time', origin)));
    };
    signal?.addEventListener('abort', onAbort, { once: true });
    from.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes <= maxBytes) return;
      from.pause();
      settle(tooLarge());
    });
    from.once('end', () => {
      settle(ok(Buffer.concat(chunks)));
    });
    const onLost = (cause?: unknown): void => {
      if (from.readableEnded) return;
      settle(
        err(
          fail('backend-lost', 'the connection broke while reading the body', { ...origin, cause }),
        ),
      );
    };
    from.once('error', onLost);
    from.once('close', onLost);
  });
}

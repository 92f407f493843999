/** Reads bodies whole, up to a limit. */

import type { IncomingMessage } from 'node:http';
import { ok, err } from 'neverthrow';
import type { Result } from 'neverthrow';

import type { StepError } from '../../utils/errors';
import { fail } from '../../utils/errors';

export interface ReadOptions {
  readonly maxBytes: number;
  /** For errors: what is being read, and from whom. */
  readonly step: string;
  readonly peer?: string;
  /** Ends the wait, as when a deadline has passed. */
  readonly signal?: AbortSignal;
}

/**
 * Errors: `body-too-large`; `backend-lost` if the sender broke off; `deadline-exceeded` if the
 * signal came first.
 */
export function readBody(
  from: IncomingMessage,
  { maxBytes, signal, ...origin }: ReadOptions,
): Promise<Result<Buffer, StepError>> {
  const tooLarge = (): Result<Buffer, StepError> =>
    err(fail('body-too-large', `body is longer than ${maxBytes} bytes`, origin));
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
      settle(err(fail('deadline-exceeded', 'body did not come in time', origin)));
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
      settle(err(fail('backend-lost', 'connection lost in the body', { ...origin, cause })));
    };
    from.once('error', onLost);
    from.once('close', onLost);
  });
}

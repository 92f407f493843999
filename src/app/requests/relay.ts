/**
 * Relays a stream from an engine to a caller without parsing its contents. Backpressure applies per
 * stream: reading from the engine pauses until the caller has drained its buffer, so a slow caller
 * delays only its own stream.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';

import type { StepError } from '../../utils/errors';
import { fail } from '../../utils/errors';
import { createFrameCheck } from './sse';
import type { FrameCheck, StreamFault } from './sse';

/** A stream to relay. */
export interface RelayOptions {
  readonly from: IncomingMessage;
  readonly to: ServerResponse;
  /** Address of the engine, for error messages. */
  readonly peer: string;
  readonly maxFrameBytes: number;
  /** Maximum time without progress on either side, milliseconds. */
  readonly idleTimeoutMs: number;
  /** Called before the first byte is forwarded. */
  readonly onFirst: () => void;
  /** Called for each received chunk. */
  readonly onChunk: () => void;
  /** Called with the bytes of each forwarded piece. */
  readonly onForward?: ((bytes: Buffer) => void) | undefined;
}

/** The stream ended properly; `last` has not been written yet. */
export interface RelayComplete {
  readonly kind: 'whole';
  readonly last: Buffer;
}

/** The stream broke. `started` tells whether any of it has reached the caller. */
export interface RelayBroken {
  readonly kind: 'broken';
  readonly started: boolean;
  readonly error: StepError;
}

/** Outcome of a relayed stream. */
export type RelayResult = RelayComplete | RelayBroken;

function faultError(fault: StreamFault, peer: string): StepError {
  return fail('bad-answer', `incomplete or malformed stream: ${fault}`, {
    step: 'last-byte',
    peer,
  });
}

function resultOf(check: FrameCheck, started: boolean, peer: string): RelayResult {
  const end = check.finish();
  if (typeof end !== 'string') return { kind: 'whole', last: end };
  return { kind: 'broken', started, error: faultError(end, peer) };
}

/** Relays the stream until it ends or breaks. Closing the connections is left to the caller. */
export function relayStream(opts: RelayOptions): Promise<RelayResult> {
  const { from, to, peer } = opts;
  const check = createFrameCheck(opts.maxFrameBytes);
  let started = false;

  return new Promise((resolve) => {
    const settle = (result: RelayResult): void => {
      clearTimeout(timer);
      from.removeAllListeners('data');
      to.off('drain', onDrain);
      resolve(result);
    };
    const settleBroken = (error: StepError): void => {
      settle({ kind: 'broken', started, error });
    };
    const timer = setTimeout(() => {
      settleBroken(
        fail('deadline-exceeded', `no progress in the stream for ${opts.idleTimeoutMs} ms`, {
          step: 'relay',
          peer,
        }),
      );
    }, opts.idleTimeoutMs);
    const onDrain = (): void => {
      timer.refresh();
      from.resume();
    };
    const forwardBytes = (bytes: Buffer): void => {
      if (!started) opts.onFirst();
      started = true;
      opts.onForward?.(bytes);
      if (!to.write(bytes)) from.pause();
    };
    to.on('drain', onDrain);
    from.on('data', (chunk: Buffer) => {
      timer.refresh();
      opts.onChunk();
      const forward = check.push(chunk);
      const fault = check.fault();
      if (fault !== undefined) settleBroken(faultError(fault, peer));
      else if (forward.length > 0) forwardBytes(forward);
    });
    from.once('end', () => {
      settle(resultOf(check, started, peer));
    });
    from.once('error', (cause) => {
      const step = started ? 'last-byte' : 'first-byte';
      settleBroken(
        fail('backend-lost', 'connection error during the stream', { step, peer, cause }),
      );
    });
    from.once('close', () => {
      if (from.readableEnded) return;
      settleBroken(
        fail('backend-lost', 'connection closed before the end of the stream', {
          step: 'last-byte',
          peer,
        }),
      );
    });
  });
}

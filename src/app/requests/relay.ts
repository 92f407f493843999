/**
 * Passes a stream from an engine to a caller. Bytes are counted, not parsed. A slow caller holds
 * back its own stream alone: reading from the engine stops until the caller has taken what is there.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';

import type { StepError } from '../../utils/errors';
import { fail } from '../../utils/errors';
import { createFrameCheck } from './sse';
import type { FrameCheck, StreamFault } from './sse';

/** A stream to pass on. */
export interface RelayOptions {
  readonly from: IncomingMessage;
  readonly to: ServerResponse;
  /** Address of the engine, for errors. */
  readonly peer: string;
  readonly maxFrameBytes: number;
  /** Longest time without progress on either side, milliseconds. */
  readonly idleTimeoutMs: number;
  /** Called before the first byte is passed on. */
  readonly onFirst: () => void;
  /** Called with each chunk that came in. */
  readonly onChunk: () => void;
  /** Called with each piece that is passed on. */
  readonly onForward?: ((bytes: Buffer) => void) | undefined;
}

/** The stream came to its proper end; `last` is still to be written. */
export interface RelayComplete {
  readonly kind: 'whole';
  readonly last: Buffer;
}

/** The stream broke; `started` if any of it has reached the caller. */
export interface RelayBroken {
  readonly kind: 'broken';
  readonly started: boolean;
  readonly error: StepError;
}

export type RelayResult = RelayComplete | RelayBroken;

function faultError(fault: StreamFault, peer: string): StepError {
  return fail('bad-answer', `stream is not a whole answer: ${fault}`, { step: 'last-byte', peer });
}

function verdictOf(check: FrameCheck, started: boolean, peer: string): RelayResult {
  const end = check.finish();
  if (typeof end !== 'string') return { kind: 'whole', last: end };
  return { kind: 'broken', started, error: faultError(end, peer) };
}

/** Passes the stream on until it ends or breaks. The caller of this function tears connections. */
export function relayStream(job: RelayOptions): Promise<RelayResult> {
  const { from, to, peer } = job;
  const check = createFrameCheck(job.maxFrameBytes);
  let started = false;

  return new Promise((resolve) => {
    const settle = (result: RelayResult): void => {
      clearTimeout(timer);
      from.removeAllListeners('data');
      to.off('drain', onDrain);
      resolve(result);
    };
    const breakOff = (error: StepError): void => {
      settle({ kind: 'broken', started, error });
    };
    const timer = setTimeout(() => {
      breakOff(fail('deadline-exceeded', 'no progress in the stream', { step: 'relay', peer }));
    }, job.idleTimeoutMs);
    const onDrain = (): void => {
      timer.refresh();
      from.resume();
    };
    const passOn = (bytes: Buffer): void => {
      if (!started) job.onFirst();
      started = true;
      job.onForward?.(bytes);
      if (!to.write(bytes)) from.pause();
    };
    to.on('drain', onDrain);
    from.on('data', (chunk: Buffer) => {
      timer.refresh();
      job.onChunk();
      const forward = check.push(chunk);
      const fault = check.fault();
      if (fault !== undefined) breakOff(faultError(fault, peer));
      else if (forward.length > 0) passOn(forward);
    });
    from.once('end', () => {
      settle(verdictOf(check, started, peer));
    });
    from.once('error', (cause) => {
      const step = started ? 'last-byte' : 'first-byte';
      breakOff(fail('backend-lost', 'connection lost in the stream', { step, peer, cause }));
    });
    from.once('close', () => {
      if (from.readableEnded) return;
      breakOff(
        fail('backend-lost', 'connection closed in the stream', { step: 'last-byte', peer }),
      );
    });
  });
}

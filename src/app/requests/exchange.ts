/** One request of a caller while it is being answered. */

import type { IncomingMessage, ServerResponse } from 'node:http';

import type { CallerClass, Organisation } from '../../core/config/types';
import type { EpochTime, MonoTime, RequestId } from '../../core/ids';
import type { Span } from '../../ports/telemetry';

/** A request as it came in, before anything is known of its caller. */
export interface Exchange {
  readonly id: RequestId;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly span: Span;
  readonly arrivedAt: MonoTime;
  /** Aborted when the caller went away. */
  readonly gone: AbortSignal;
}

/** Who sends the request. */
export interface Caller {
  readonly organisation: Organisation;
  readonly class: CallerClass;
}

/** What the caller asks of the system itself, by headers or by default. */
export interface CallOptions {
  /** By when the answer matters; on this process's clock and on the wire. */
  readonly deadline: MonoTime;
  readonly deadlineAt: EpochTime;
  readonly repeatable: boolean;
  readonly idempotencyKey: string | undefined;
}

/** A request that was understood and whose caller is known. */
export interface Call {
  readonly exchange: Exchange;
  readonly caller: Caller;
  readonly terms: CallOptions;
  readonly method: string;
  /** Path and query below the service, or of the model call. */
  readonly path: string;
  readonly body: Uint8Array;
}

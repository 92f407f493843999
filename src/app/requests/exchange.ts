/** Types of a request while it is being handled. */

import type { IncomingMessage, ServerResponse } from 'node:http';

import type { CallerClass, Organisation } from '../../core/config/types';
import type { EpochTime, MonoTime, RequestId } from '../../core/ids';
import type { Span } from '../../ports/telemetry';

/** A received request and its response, before the caller is authenticated. */
export interface Exchange {
  readonly id: RequestId;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly span: Span;
  readonly arrivedAt: MonoTime;
  /** Aborted when the caller disconnects. */
  readonly gone: AbortSignal;
}

/** The authenticated sender of a request. */
export interface Caller {
  readonly organisation: Organisation;
  readonly class: CallerClass;
}

/** Options that the caller sets by headers, with defaults applied. */
export interface CallOptions {
  /** The deadline of the answer on this process's monotonic clock. */
  readonly deadline: MonoTime;
  /** The same deadline as wall-clock time, as sent on the wire. */
  readonly deadlineAt: EpochTime;
  readonly repeatable: boolean;
  readonly idempotencyKey: string | undefined;
}

/** A parsed request of an authenticated caller. */
export interface Call {
  readonly exchange: Exchange;
  readonly caller: Caller;
  readonly options: CallOptions;
  readonly method: string;
  /** Path and query: relative to the service, or of the model call. */
  readonly path: string;
  readonly body: Uint8Array;
}

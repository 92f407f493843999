/** Interfaces of the gateway to its platform, and to the wire protocol of callers and servers. */

import type { IncomingHttpHeaders } from 'node:http';
import type { ResultAsync } from 'neverthrow';
import type { Observable } from 'rxjs';

import type { OrderResult, ServerOrder } from '../core/gateway/orders';
import type { BackendServer, GatewayConfig } from '../core/gateway/types';
import type {
  InstanceId,
  ModelId,
  MonoTime,
  OrganisationId,
  ServerName,
  ZoneId,
} from '../core/ids';
import type { StorePosition, StoreEra } from '../core/store-era';
import type { StepError } from '../utils/errors';
import type { Committed, Row, Transaction } from './platform';

/** A changed entry of a collection; `value` is absent if the entry was removed. */
export interface Change<T> {
  readonly key: string;
  readonly value?: T;
}

/** Changes up to one position in the history of the platform's store. */
export interface Changes<T> {
  readonly changes: readonly Change<T>[];
  readonly position: StorePosition;
  /** What the store sent for it. */
  readonly receipt?: Receipt;
}

/** An answer of the store as it was received, before it was decoded. */
export interface Receipt {
  readonly bytes: number;
  /** When its last byte was read. */
  readonly at: MonoTime;
}

/**
 * A collection in the platform's store, with a change feed.
 *
 * Errors: `store-unavailable`; `history-gone` from `poll`, also if the store has begun another era since
 * `position`: the caller then reloads the collection.
 */
export interface Feed<T> {
  readonly name: string;
  /** Loads the complete collection. */
  load(): ResultAsync<Changes<T>, StepError>;
  /** Waits up to `waitMs` for changes after `position`; fails at once when `signal` aborts. */
  poll(
    position: StorePosition,
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<Changes<T>, StepError>;
}

/** The gateway's own rows, with the era of the store in which they were read. */
export interface EraRows {
  readonly era: StoreEra;
  readonly rows: readonly Row[];
}

/**
 * The gateway's own rows in a store that may be restored from an older copy. A row version is valid only in
 * the era in which it was read. Errors as for `Table`.
 */
export interface EraTable {
  /** Reads the rows whose keys start with `prefix`. */
  read(prefix: string): ResultAsync<EraRows, StepError>;
  commit(transaction: Transaction): ResultAsync<Committed, StepError>;
}

/** A daemon's registration, by which the others find it. */
export interface DaemonEntry {
  /** `host:port` at which peers connect. */
  readonly address: string;
  /** CPU cores that it may use; may be fractional. */
  readonly cores: number;
  readonly zone?: ZoneId | undefined;
  /** `host:port` at which it forwards requests of peers, if it does. */
  readonly forwardAddress?: string | undefined;
}

/** An entry of the operator's table; each evacuated zone has one of its own. */
export type OperatorEntry =
  | { readonly kind: 'config'; readonly config: GatewayConfig }
  | { readonly kind: 'evacuation'; readonly zone: ZoneId };

/** Feeds of the platform's own collections. */
export interface Feeds {
  /** The operator's configuration and evacuated zones. */
  readonly config: Feed<OperatorEntry>;
  readonly servers: Feed<BackendServer>;
  /** Daemons, which register themselves. */
  readonly daemons: Feed<DaemonEntry>;
}

/** A server's response to a status request. */
export interface ServerReport {
  readonly state: Pick<BackendServer, 'staged' | 'domain' | 'model' | 'membership'>;
  readonly running: number;
  readonly waiting: number;
  /** Slowdown factor; 1 is normal speed. */
  readonly slowdown: number;
}

/** Parsed headers of a response to an order or a status request. */
export interface ResponseHeaders {
  readonly server: InstanceId;
  readonly facts: ResponseFacts;
}

/** A request for a backend server, as the server should receive it. */
export interface ServerRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/** How requests reach backend servers: directly, or through a peer. */
export interface ServerPaths {
  /** Where to send the request, and with which further headers. */
  resolve(req: ServerRequest): {
    readonly address: string;
    readonly headers: Readonly<Record<string, string>>;
  };
  /** Notes that the server was not reached directly. */
  noteFailed(address: string): void;
}

/** Sends orders and status requests to backend servers. */
export interface Servers {
  /** Headers of each response, unless another server or a restarted one answered. */
  readonly heads: Observable<ResponseHeaders>;
  /** Never rejects: without a response the result is `unknown`, or `not-sent` if nothing was sent. */
  order(server: BackendServer, order: ServerOrder): Promise<OrderResult>;
  /**
   * Errors: `backend-refused` if the server's port refuses connections; `backend-lost` if another process
   * answers there; `unavailable`, `bad-answer`.
   */
  report(server: BackendServer, timeoutMs: number): ResultAsync<ServerReport, StepError>;
}

/** Facts from the headers of a caller's request. */
export interface RequestFacts {
  readonly requestId?: string;
  /** How long the caller will wait, milliseconds. */
  readonly waitMs?: number;
  readonly apiKey?: string;
  readonly model?: ModelId;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Ids of the prompt's parts that other requests may share, in order; absent for none. */
  readonly sharedParts?: readonly string[];
  /** Last event of the stream that the caller has received, for resuming. */
  readonly lastEventId?: string;
}

/** Facts that the gateway adds to the headers of a forwarded request. */
export interface ForwardFacts {
  readonly server: ServerName;
  /** Time until the request's deadline, milliseconds. */
  readonly leftMs: number;
  readonly bodyBytes?: number;
  readonly organisation?: OrganisationId;
  readonly lastEventId?: string;
  /** 0 is served first, 9 last. */
  readonly priority?: number;
}

/** Facts from the status and headers of a backend server's response. */
export interface ResponseFacts {
  readonly requestId?: string;
  readonly isSigned: boolean;
  /** The server states that the request was not executed. */
  readonly isNotExecuted: boolean;
  /** Another server than the intended one answered: the other facts describe that server. */
  readonly isFromOtherServer: boolean;
  /** The server at fault for the request not running, if the response names another one. */
  readonly faultAt?: InstanceId;
  /** The server's rate limit across all daemons, requests per second. */
  readonly limitPerS?: number;
  /** Backoff after a 503 (`Retry-After`): how long to send the server nothing, milliseconds. */
  readonly restMs?: number;
  /** For how long the server stays cold, milliseconds; 0: it is warm. */
  readonly coldMs?: number;
  /** The server is shutting down and takes no new requests until it has restarted. */
  readonly isLeaving: boolean;
  /** Headers about the server's own state that could not be parsed. */
  readonly unreadable: readonly MalformedHeader[];
}

/** A malformed header: name and value, truncated if long. */
export interface MalformedHeader {
  readonly about: 'limit' | 'rest' | 'cold' | 'leaving';
  readonly header: string;
}

/** Translates headers of callers and backend servers. Raw headers alternate names and values, as in Node. */
export interface HeaderDialect {
  parseRequest(headers: IncomingHttpHeaders): RequestFacts;
  parseResponse(status: number, headers: IncomingHttpHeaders): ResponseFacts;
  /** Headers of the request to the backend server. */
  forward(rawHeaders: readonly string[], facts: ForwardFacts): string[];
  /** Headers of the response to the caller, without hop-by-hop and framing headers. */
  reply(rawHeaders: readonly string[]): string[];
}

/** What the gateway needs of the platform it runs on, and of the wire to callers and servers. */

import type { IncomingHttpHeaders } from 'node:http';
import type { ResultAsync } from 'neverthrow';
import type { Observable } from 'rxjs';

import type { OrderResult, ServerOrder } from '../core/gateway/orders';
import type { BackendServer, GatewayConfig } from '../core/gateway/types';
import type { InstanceId, ModelId, OrganisationId, ServerName } from '../core/ids';
import type { StorePosition, StoreEra } from '../core/store-era';
import type { StepError } from '../utils/errors';
import type { Committed, Row, Transaction } from './platform';

/** One entry of a collection; `value` is left out once the entry is gone. */
export interface Change<T> {
  readonly key: string;
  readonly value?: T;
}

/** Entries as of one point in the history of the platform's store. */
export interface Changes<T> {
  readonly changes: readonly Change<T>[];
  readonly position: StorePosition;
}

/**
 * A collection that the platform keeps and reports changes of.
 *
 * Errors: `store-unavailable`; `history-gone` from `poll`, also where the store has begun another era since
 * `position`, after which the collection is loaded anew.
 */
export interface Feed<T> {
  readonly name: string;
  /** The whole collection. */
  load(): ResultAsync<Changes<T>, StepError>;
  /** Waits up to `waitMs` for changes after `position`; fails at once when `signal` aborts. */
  poll(
    position: StorePosition,
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<Changes<T>, StepError>;
}

/** Rows of the product's own, as of one era of the store. */
export interface EraRows {
  readonly era: StoreEra;
  readonly rows: readonly Row[];
}

/**
 * The product's own rows in a store that may come back from an older copy. Versions of rows hold in the era
 * in which they were read. Errors as for `Table`.
 */
export interface EraTable {
  /** The rows whose keys begin so. */
  read(prefix: string): ResultAsync<EraRows, StepError>;
  commit(transaction: Transaction): ResultAsync<Committed, StepError>;
}

/** What a daemon enters of itself where the others find it. */
export interface DaemonEntry {
  /** `host:port` for its peers. */
  readonly address: string;
  /** Processor cores that it may use. */
  readonly cores: number;
}

/** Feeds of the platform's own collections. */
export interface Feeds {
  /** The operator's configuration, a collection of one entry. */
  readonly config: Feed<GatewayConfig>;
  readonly servers: Feed<BackendServer>;
  /** Daemons, entered by themselves. */
  readonly daemons: Feed<DaemonEntry>;
}

/** What a server reports of itself when asked. */
export interface ServerReport {
  readonly state: Pick<BackendServer, 'staged' | 'domain' | 'model' | 'membership'>;
  readonly running: number;
  readonly waiting: number;
  /** Above 1: so many times slower than usual. */
  readonly slowdown: number;
}

/** The head of an answer to an order or a question. */
export interface ServerHead {
  readonly server: InstanceId;
  readonly facts: AnswerFacts;
}

/** Orders and questions to backend servers. */
export interface Servers {
  /** Of each answer of the server that was meant. */
  readonly heads: Observable<ServerHead>;
  /** Never fails: an order without an answer has the result `unknown`. */
  order(server: BackendServer, order: ServerOrder): Promise<OrderResult>;
  report(server: BackendServer, timeoutMs: number): ResultAsync<ServerReport, StepError>;
}

/** What the headers of a caller's request say. */
export interface CallFacts {
  readonly requestId?: string;
  /** How long the caller will wait, milliseconds. */
  readonly waitMs?: number;
  readonly apiKey?: string;
  readonly model?: ModelId;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller has the stream's events up to this one. */
  readonly lastEventId?: string;
}

/** What is told to a backend server beside the caller's own headers. */
export interface ForwardFacts {
  readonly server: ServerName;
  readonly leftMs: number;
  readonly bodyBytes?: number;
  readonly organisation?: OrganisationId;
  readonly lastEventId?: string;
  /** 0 is served first, 9 last. */
  readonly priority?: number;
}

/** What the head of a backend server's answer says. */
export interface AnswerFacts {
  readonly requestId?: string;
  readonly isSigned: boolean;
  /** The server's own word that the request did not run. */
  readonly isNotExecuted: boolean;
  /** Another server answered than the one that was meant: what the head says of the server is of that one. */
  readonly isOfOther: boolean;
  /** The server that kept the request from running, where another one is named. */
  readonly faultAt?: InstanceId;
  /** Requests a second that the server takes from all daemons together. */
  readonly limitPerS?: number;
  /** The server turned the request away and wants nothing from this daemon for so long, milliseconds. */
  readonly restMs?: number;
  /** The server says that it leaves: it wants nothing new in this life. */
  readonly isLeaving: boolean;
  /** What the server says of itself and can't be understood. */
  readonly unreadable: readonly Unreadable[];
}

/** A header that can't be understood, with its value, cut where it is long. */
export interface Unreadable {
  readonly about: 'limit' | 'rest' | 'leaving';
  readonly header: string;
}

/** The headers of callers and backend servers. Lists of headers alternate names and values. */
export interface Dialect {
  readCall(headers: IncomingHttpHeaders): CallFacts;
  readAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts;
  /** The caller's headers as they are passed on. */
  forward(rawHeaders: readonly string[], facts: ForwardFacts): string[];
  /** A server's headers as they are passed back, without those of the connection and of its framing. */
  reply(rawHeaders: readonly string[]): string[];
}

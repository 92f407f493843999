/** Interfaces to the platform's services: table service, object store and instance list. */

import type { ResultAsync } from 'neverthrow';

import type { DomainId, InstanceId, ZoneId } from '../core/ids';
import type { Json } from '../core/json';
import type { StepError } from '../utils/errors';

export type { Json } from '../core/json';

/** A row of the table service. Its version increases with each write. */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: Json;
}

/** A row must have this version for the transaction to commit; 0 means it must be absent. */
export interface Condition {
  readonly key: string;
  readonly version: number;
}

/** A row to put, or to delete if `value` is absent. */
export interface Write {
  readonly key: string;
  readonly value?: Json;
}

/** Writes that commit atomically if all conditions hold. */
export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
}

/** Versions after the commit, by key, of the rows put. */
export interface Committed {
  readonly versions: Readonly<Record<string, number>>;
}

/** One page of a scan. */
export interface ScanPage {
  readonly rows: readonly Row[];
  /** Continuation key for the next page; absent on the last one. */
  readonly after?: string;
}

/**
 * The transactional table service.
 *
 * Errors: `conflict` (nothing was written), `store-unavailable` (nothing was written),
 * `store-unknown` (the write may have taken effect: read back before acting on it).
 */
export interface Table {
  read(keys: readonly string[]): ResultAsync<readonly Row[], StepError>;
  scan(prefix: string, after?: string): ResultAsync<ScanPage, StepError>;
  commit(transaction: Transaction): ResultAsync<Committed, StepError>;
}

/** The object store. Errors as for {@link Table}; a missing object is `undefined`. */
export interface ObjectStore {
  put(key: string, body: Uint8Array): ResultAsync<void, StepError>;
  get(key: string): ResultAsync<Uint8Array | undefined, StepError>;
  remove(key: string): ResultAsync<void, StepError>;
}

/** An entry of the platform's instance list, which may be out of date. */
export interface InstanceEntry {
  readonly id: InstanceId;
  /** `engine`: a possible member of replica groups; `daemon`: a nutmegstack daemon. */
  readonly role: 'engine' | 'daemon';
  /** `host:port`; the engine's HTTP address or the daemon's peer address. */
  readonly address: string;
  readonly zone: ZoneId;
  /** Absent for daemons. */
  readonly domain?: DomainId;
  readonly accelerators: number;
  readonly state: 'live' | 'leaving';
  /** Whether the engine refuses an order with an old fencing number. */
  readonly checksFencing: boolean;
}

/** The eventually consistent list of live and leaving instances. */
export interface InstanceList {
  list(): ResultAsync<readonly InstanceEntry[], StepError>;
}

/** Replica groups, their rows, and the reports of their engines. */

import type {
  DomainId,
  Epoch,
  FencingNumber,
  GroupId,
  InstanceId,
  ModelId,
  MonoTime,
  ZoneId,
} from '../ids';

/** Lifecycle phase of a group, as stored in its row. */
export type GroupPhase = 'forming' | 'serving' | 'draining' | 'dissolved';

/** One member of a group; the one of rank 0 receives the requests. */
export interface Member {
  readonly instance: InstanceId;
  readonly address: string;
}

/** The row `group/{id}`. */
export interface GroupRow {
  readonly id: GroupId;
  readonly model: ModelId;
  readonly domain: DomainId;
  readonly epoch: Epoch;
  readonly fencing: FencingNumber;
  readonly phase: GroupPhase;
  readonly members: readonly Member[];
  /** Which of the model's replicas this is; the row `slot/{model}/{slot}` guards it. */
  readonly slot?: number;
}

/** The row `slot/{model}/{slot}`: the one group that fills a replica slot of a model. */
export interface SlotRow {
  readonly model: ModelId;
  readonly slot: number;
  readonly group: GroupId;
}

/** A row with the version that the table assigned; version 0 stands for an absent row. */
export interface Versioned<R> {
  readonly version: number;
  readonly row: R;
}

/** An engine instance as the platform lists it. */
export interface InstanceInfo {
  readonly id: InstanceId;
  readonly address: string;
  readonly domain: DomainId;
  readonly zone: ZoneId;
  readonly accelerators: number;
  readonly leaving: boolean;
  readonly checksFencing: boolean;
}

/** The row `instance/{id}`: the one group that an instance belongs to. */
export interface InstanceRow {
  readonly instance: InstanceId;
  readonly group?: GroupId;
  readonly epoch: Epoch;
  readonly fencing: FencingNumber;
}

/** State of an engine, as it reports it. */
export type EngineState = 'idle' | 'loading' | 'serving' | 'draining' | 'broken';

/** An engine's report about itself, in answer to a probe. */
export interface EngineReport {
  readonly instance: InstanceId;
  /** Changes when the engine process restarts. */
  readonly incarnation: string;
  readonly state: EngineState;
  readonly group?: GroupId;
  readonly epoch?: Epoch;
  readonly rank?: number;
  readonly model?: ModelId;
  /** Models whose weights are held in memory or on the instance. */
  readonly weights: readonly ModelId[];
  readonly inFlight: number;
  readonly queued: number;
  /** Highest fencing number seen. */
  readonly fencing: number;
  readonly leaving: boolean;
}

/** A report and how long it is valid. */
export interface Observation {
  readonly report: EngineReport;
  /** From then on the report is stale and must not be used. */
  readonly freshUntil: MonoTime;
}

/** A group that a request may be sent to, as the request plane sees it. */
export interface RoutableGroup {
  readonly id: GroupId;
  readonly model: ModelId;
  readonly domain: DomainId;
  readonly epoch: Epoch;
  /** Address of the rank 0 member. */
  readonly address: string;
  readonly members: readonly Member[];
  /** Requests that it runs concurrently. */
  readonly maxBatch: number;
  /** Until then, the observations of all its members are fresh. */
  readonly routableUntil: MonoTime;
}

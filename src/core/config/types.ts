/** The configuration in force, as every daemon holds it once templates are filled in. */

import type { ConfigVersion, ModelId, OrganisationId, ServiceId } from '../ids';

/** How urgent a kind of caller is. */
export interface CallerClass {
  readonly name: string;
  /** Worth of one answered request, in the template's own unit; above 0. */
  readonly worth: number;
  /** Default deadline of a request after its arrival, milliseconds. */
  readonly deadlineMs: number;
  /** Requests in flight that this class may have on one daemon. */
  readonly maxInFlight: number;
}

/** What the operators weigh when groups are placed and replaced. */
export interface GroupWeights {
  /** Cost of one second in which one replica group cannot serve. */
  readonly downtime: number;
  /** Cost of one second in which one accelerator is held by no serving group. */
  readonly stranded: number;
}

export interface Organisation {
  readonly id: OrganisationId;
  readonly template: string;
  readonly classes: Readonly<Record<string, CallerClass>>;
  /** Share of capacity relative to other organisations; above 0. */
  readonly share: number;
  /** Replicas of each model this organisation pays for. */
  readonly replicas: Readonly<Record<string, number>>;
  readonly services: readonly ServiceId[];
  readonly weights: GroupWeights;
}

export interface ModelSpec {
  readonly id: ModelId;
  /** Instances that form one replica. */
  readonly membersPerReplica: number;
  /** Replicas wanted: the sum over the organisations. */
  readonly replicas: number;
  /** Requests one replica runs at a time. */
  readonly maxBatch: number;
  readonly weights: GroupWeights;
  /** Names of the policies in use; see `core/groups`. */
  readonly policies: Readonly<Record<string, string>>;
}

/** A call of a plain service that may be sent again. */
export interface RepeatableCall {
  readonly method: string;
  /** Prefix of the path below the service. */
  readonly path: string;
}

export interface ServiceSpec {
  readonly id: ServiceId;
  /** `host:port` of each backend server. */
  readonly backends: readonly string[];
  readonly repeatable: readonly RepeatableCall[];
  /** Whether the service itself runs a call with a known `Idempotency-Key` only once. */
  readonly honoursIdempotencyKey: boolean;
  /** Requests in flight to one backend server from one daemon. */
  readonly maxInFlight: number;
}

/** What a key lets its bearer do. */
export interface KeyGrant {
  /** Absent for an operator of the whole platform. */
  readonly organisation?: OrganisationId;
  readonly role: 'caller' | 'operator';
  /** The caller's class; for callers only. */
  readonly class?: string;
}

export interface Config {
  readonly version: ConfigVersion;
  readonly organisations: Readonly<Record<string, Organisation>>;
  readonly models: Readonly<Record<string, ModelSpec>>;
  readonly services: Readonly<Record<string, ServiceSpec>>;
  /** By SHA-256 of the key, hex. */
  readonly keys: Readonly<Record<string, KeyGrant>>;
}

/** Before any configuration was accepted. */
export const EMPTY_CONFIG: Config = {
  version: 0 as ConfigVersion,
  organisations: {},
  models: {},
  services: {},
  keys: {},
};

/** The resolved configuration, as every daemon has it in force. */

import type { ConfigVersion, ModelId, OrganisationId, ServiceId } from '../ids';

/** Priority and limits of a kind of caller. */
export interface CallerClass {
  readonly name: string;
  /** Worth of one answered request, in the template's own unit; above 0. */
  readonly worth: number;
  /** Default deadline of a request after its arrival, milliseconds. */
  readonly deadlineMs: number;
  /** Maximum requests in flight of this class of an organisation on one daemon. */
  readonly maxInFlight: number;
}

/** Costs that the operators set for forming and replacing groups. */
export interface GroupWeights {
  /** Cost per second during which one replica group cannot serve. */
  readonly downtime: number;
  /** Cost per second during which one accelerator belongs to no serving group. */
  readonly stranded: number;
}

/** An organisation with its template applied. */
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

/** A model, and how many replica groups of which size serve it. */
export interface ModelSpec {
  readonly id: ModelId;
  /** Instances that form one replica. */
  readonly membersPerReplica: number;
  /** Target number of replicas: the sum over the organisations, rounded up. */
  readonly replicas: number;
  /** Requests that one replica runs concurrently. */
  readonly maxBatch: number;
  readonly weights: GroupWeights;
  /** Names of the policies in use; see `core/groups`. */
  readonly policies: Readonly<Record<string, string>>;
}

/** A call of a plain service that is safe to repeat. */
export interface RepeatableCall {
  readonly method: string;
  /** Prefix of the path below the service. */
  readonly path: string;
}

/** A plain HTTP service behind the gateway. */
export interface ServiceSpec {
  readonly id: ServiceId;
  /** `host:port` of each backend server. */
  readonly backends: readonly string[];
  readonly repeatable: readonly RepeatableCall[];
  /** Whether the service itself runs a call with a known `Idempotency-Key` only once. */
  readonly honoursIdempotencyKey: boolean;
  /** Maximum requests in flight from one daemon to one backend server. */
  readonly maxInFlight: number;
}

/** Permissions of an API key. */
export interface KeyGrant {
  /** Absent for an operator of the platform. */
  readonly organisation?: OrganisationId;
  readonly role: 'caller' | 'operator';
  /** The caller's class; for callers only. */
  readonly class?: string;
}

/** One version of the configuration. */
export interface Config {
  readonly version: ConfigVersion;
  readonly organisations: Readonly<Record<string, Organisation>>;
  readonly models: Readonly<Record<string, ModelSpec>>;
  readonly services: Readonly<Record<string, ServiceSpec>>;
  /** By SHA-256 of the key, hex. */
  readonly keys: Readonly<Record<string, KeyGrant>>;
}

/** The configuration before the first version. */
export const EMPTY_CONFIG: Config = {
  version: 0 as ConfigVersion,
  organisations: {},
  models: {},
  services: {},
  keys: {},
};

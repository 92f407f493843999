/** What the gateway routes: routes, services, backend servers, and the callers' organisations. */

import type {
  ConfigVersion,
  DomainId,
  Epoch,
  EpochTime,
  GroupId,
  InstanceId,
  ModelId,
  OrganisationId,
  ServerName,
  ServiceId,
  ZoneId,
} from '../ids';

/**
 * How often a call may run. `safe`: any number of times. `unsafe`: once for each attempt of the
 * caller. `stream`: an event stream of a model; as `safe` if its route is resumable, else `unsafe`.
 */
export type CallKind = 'safe' | 'unsafe' | 'stream';

/** A service with its share of a route's calls. */
export interface RouteTarget {
  readonly service: ServiceId;
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: CallKind;
  /** Longest time that a caller is kept waiting, milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective, to the first event for streams, milliseconds. */
  readonly targetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Backend servers that one call may be sent to. */
  readonly maxAttempts: number;
  /** Whether a call needs no API key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may be resumed at another server. */
  readonly isResumable: boolean;
  /** Longest pause between events of a stream that is on time, milliseconds. */
  readonly maxPauseMs: number;
}

/** A model that a service's replica groups serve. */
export interface ModelSpec {
  readonly name: ModelId;
  /** Members of a replica group. */
  readonly size: number;
  /** Factor on all times of a group of this model. */
  readonly pace: number;
  /** The model's share of the service's work, 0 to 1. */
  readonly share: number;
  /** Time to load weights from the shared store, milliseconds. */
  readonly loadMs: number;
  /** Time to load weights that are staged on the host, milliseconds. */
  readonly warmMs: number;
}

/** The published performance model of a service's engines; times in milliseconds. */
export interface EngineSpec {
  /** Requests that a group runs at a time. */
  readonly batchSize: number;
  /** Decoding steps of one pass, and tokens in one event. */
  readonly stepsPerPass: number;
  readonly stepMs: number;
  /** Added to a step by each running request. */
  readonly perRequestMs: number;
  /** Added to a step by each 1000 tokens of context of each running request. */
  readonly perContextKMs: number;
  readonly prefillTokensPerMs: number;
  readonly models: readonly ModelSpec[];
  /** Weight loads that may start in a second, over all servers. */
  readonly loadsPerS: number;
  /** Weight loads at a time that do not slow each other down. */
  readonly loadsAtOnce: number;
  /** Mean tokens of a prompt and of an answer. */
  readonly usual: { readonly prompt: number; readonly answer: number };
}

export interface ServiceSpec {
  readonly name: ServiceId;
  readonly healthPath: string;
  /** Connections that one server takes, from all daemons together. */
  readonly maxConns: number;
  /** Absent for plain services. */
  readonly engine?: EngineSpec;
}

/** Bounds on what a caller may send and how long it may stay idle. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface GatewayOrganisation {
  readonly name: OrganisationId;
  readonly apiKeys: readonly string[];
  /** Goes before the priority of the route. */
  readonly priority?: number;
}

/** The whole configuration of the gateway; newer versions have greater numbers. */
export interface GatewayConfig {
  readonly version: ConfigVersion;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: CallerLimits;
  readonly organisations: readonly GatewayOrganisation[];
}

/** State of a group as one of its members reports it. */
export type MemberState = 'joining' | 'ready' | 'open' | 'closing' | 'broken';

/** A member's place in a replica group. Rank 0 is the head, which takes the requests. */
export interface Membership {
  readonly group: GroupId;
  readonly epoch: Epoch;
  readonly rank: number;
  readonly state: MemberState;
}

/** A backend server as it registered itself. */
export interface BackendServer {
  /**
   * One life of the server: all that is believed of it is kept by this id, and so ends with the life.
   * A server that starts again may have the same name.
   */
  readonly id: InstanceId;
  /** Under which the server registered itself. */
  readonly name: ServerName;
  /** When this life began, by the server's clock; undefined where it does not tell. */
  readonly startedAt?: EpochTime;
  /** Grows with what the server writes of itself in one life. */
  readonly reportNumber?: number;
  readonly service: ServiceId;
  /** `host:port`; given to other servers after this one has ended. */
  readonly address: string;
  readonly zone: ZoneId;
  readonly isDraining: boolean;
  /** Requests it runs at a time. */
  readonly batchSize: number;
  readonly domain?: DomainId;
  /** Models whose weights lie on the host. */
  readonly staged: readonly ModelId[];
  /** The model it serves or served last. */
  readonly model?: ModelId;
  readonly membership?: Membership;
}

/** Types of the gateway's configuration and of its backend servers. */

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
 * How often a call may run.
 *
 * - `safe`: any number of times.
 * - `unsafe`: once for each attempt of the caller.
 * - `stream`: an event stream of a model; like `safe` if its route is resumable, else like `unsafe`.
 */
export type CallKind = 'safe' | 'unsafe' | 'stream';

/** A service, with its weight among a route's targets. */
export interface RouteTarget {
  readonly service: ServiceId;
  readonly weight: number;
}

/** A route: calls to a host and path prefix, and how they are handled. */
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
  /** Maximum number of backend servers that one call may be sent to. */
  readonly maxAttempts: number;
  /** Whether calls are accepted without an API key. */
  readonly isPublic: boolean;
  /** Whether an interrupted stream may be resumed on another server. */
  readonly isResumable: boolean;
  /** Longest pause between events with which a stream counts as on time, milliseconds. */
  readonly maxPauseMs: number;
}

/** A model served by a service's replica groups. */
export interface ModelSpec {
  readonly name: ModelId;
  /** Number of members of a replica group. */
  readonly size: number;
  /** Factor on the engine's published times for this model. */
  readonly pace: number;
  /** The model's share of the service's work, 0 to 1. */
  readonly share: number;
  /** Time to load weights from the shared store, milliseconds. */
  readonly loadMs: number;
  /** Time to load weights that are staged on the host, milliseconds. */
  readonly warmMs: number;
}

/** Published performance model of a service's engines; times in milliseconds. */
export interface EngineSpec {
  /** Requests that a group runs concurrently. */
  readonly batchSize: number;
  /** Decoding steps per pass, which is also the number of tokens per event. */
  readonly stepsPerPass: number;
  readonly stepMs: number;
  /** Added to a step by each running request. */
  readonly perRequestMs: number;
  /** Added to a step by each 1000 tokens of context of each running request. */
  readonly perContextKMs: number;
  readonly prefillTokensPerMs: number;
  readonly models: readonly ModelSpec[];
  /** Weight loads that may start per second, over all servers. */
  readonly loadsPerS: number;
  /** Concurrent weight loads that don't slow each other down. */
  readonly loadsAtOnce: number;
  /** Mean number of tokens in a prompt and in an answer. */
  readonly usual: { readonly prompt: number; readonly answer: number };
}

/** A service that routes may target. */
export interface ServiceSpec {
  readonly name: ServiceId;
  readonly healthPath: string;
  /** Maximum connections to one server, from all daemons together. */
  readonly maxConns: number;
  /** Absent for plain services, whose servers form no groups. */
  readonly engine?: EngineSpec;
  /** Requests per second that a cold server tolerates; 0 or absent: cold servers have no limit. */
  readonly coldPerS?: number;
  /** For how long a server is cold after it starts, unless it states that itself, milliseconds. */
  readonly coldStartMs?: number;
}

/** Limits on a caller's requests and connections. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** An organisation, the tenant that calls are made for. */
export interface GatewayOrganisation {
  readonly name: OrganisationId;
  readonly apiKeys: readonly string[];
  /** Overrides the priority of the route. */
  readonly priority?: number;
}

/** The complete configuration of the gateway; newer versions have greater numbers. */
export interface GatewayConfig {
  readonly version: ConfigVersion;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: CallerLimits;
  readonly organisations: readonly GatewayOrganisation[];
}

/** State of a group as one of its members reports it. */
export type MemberState = 'joining' | 'ready' | 'open' | 'closing' | 'broken';

/** A server's membership in a replica group. Rank 0 is the head, which receives the requests. */
export interface Membership {
  readonly group: GroupId;
  readonly epoch: Epoch;
  readonly rank: number;
  readonly state: MemberState;
}

/** A backend server's own registration. */
export interface BackendServer {
  /**
   * Identifies one process of the server. All state about it is kept under this id, and so ends with the
   * process. A restarted server may have the same name.
   */
  readonly id: InstanceId;
  /** Name under which the server registered. */
  readonly name: ServerName;
  /** When this process started, by the server's clock; absent if it doesn't report it. */
  readonly startedAt?: EpochTime;
  /** Increases with each report that this process writes. */
  readonly reportNumber?: number;
  readonly service: ServiceId;
  /** `host:port`; may be reassigned to another server once this one has ended. */
  readonly address: string;
  readonly zone: ZoneId;
  readonly isDraining: boolean;
  /** For how long it stays cold from this report on, milliseconds; 0: it is warm. */
  readonly coldMs?: number;
  /** Requests that it runs concurrently. */
  readonly batchSize: number;
  readonly domain?: DomainId;
  /** Models whose weights are staged on the host. */
  readonly staged: readonly ModelId[];
  /** The model that it serves or served last. */
  readonly model?: ModelId;
  readonly membership?: Membership;
}

/** What routing takes in and keeps. */

import type { RoutableGroup } from '../groups/types';
import type { AttemptId, GroupId, ModelId, MonoTime, OrganisationId } from '../ids';

/** Names of the policies; see `policies.ts`. */
export type RoutingPolicyName =
  | 'round-robin'
  | 'random'
  | 'least-in-flight'
  | 'least-estimated'
  | 'two-choices'
  | 'bounded-affinity'
  | 'affinity';

export interface RoutingOptions {
  readonly policy: RoutingPolicyName;
  /** How old an engine's load report is when it arrives, milliseconds. */
  readonly reportLagMs: number;
  /** A report's weight against the average of its model halves in this time, milliseconds. */
  readonly reportHalfLifeMs: number;
  /** A group may hold this multiple of the average load before affinity passes it over. */
  readonly loadBound: number;
  /** Load, as a share of a batch, that a certain cache hit is worth. */
  readonly cacheBonus: number;
  /** Probability of a hit that a prefix's home groups are given unseen. */
  readonly homePrior: number;
  /** Cost of load beyond a full batch, over that of load within it. */
  readonly overflowCost: number;
  /** Prefixes remembered; the least recently used go first. */
  readonly maxPrefixes: number;
  /** Belief in a stored prefix halves in this time, milliseconds. */
  readonly cacheHalfLifeMs: number;
  /** A first token that takes this multiple of the median marks a straggler ... */
  readonly firstTokenFactor: number;
  /** ... if it is also later by this much, milliseconds. */
  readonly firstTokenGapMs: number;
  /** The same for the time between tokens, which load and cache hits move far less. */
  readonly interTokenFactor: number;
  readonly interTokenGapMs: number;
  /** Answers needed before a group is judged by its first tokens. */
  readonly firstTokenSamples: number;
  /** Fewer do for the time between tokens: each is an average over an answer. */
  readonly interTokenSamples: number;
  /** At most this share of a model's groups is ejected at a time. */
  readonly maxEjectedShare: number;
  /** First ejection, milliseconds; doubles with each further one. */
  readonly ejectionMs: number;
  readonly maxEjectionMs: number;
  /** Time over which a group that returns gets its full part of the work, milliseconds. */
  readonly rampMs: number;
  /** Groups of a model are judged this often, milliseconds. */
  readonly judgeEveryMs: number;
}

export const ROUTING_DEFAULTS: RoutingOptions = {
  policy: 'affinity',
  reportLagMs: 500,
  reportHalfLifeMs: 500,
  loadBound: 1.25,
  cacheBonus: 0.25,
  homePrior: 0.6,
  overflowCost: 2,
  maxPrefixes: 20_000,
  cacheHalfLifeMs: 60_000,
  firstTokenFactor: 6,
  firstTokenGapMs: 1_000,
  interTokenFactor: 2,
  interTokenGapMs: 5,
  firstTokenSamples: 8,
  interTokenSamples: 3,
  maxEjectedShare: 0.34,
  ejectionMs: 10_000,
  maxEjectionMs: 120_000,
  rampMs: 10_000,
  judgeEveryMs: 250,
};

/** Own requests in flight on a group from one instant on. */
export interface LoadPoint {
  readonly at: MonoTime;
  readonly inFlight: number;
}

/** A moving average with the number of its samples. */
export interface Average {
  value: number;
  samples: number;
}

/** Own sends to a group and what the group said of others'. */
export interface GroupLoad {
  inFlight: number;
  /** Newest last; bounded. */
  readonly history: LoadPoint[];
  /** Requests of other daemons, by the last report. */
  peerLoad: number;
  reportedAt: MonoTime | undefined;
}

/** All that routing keeps of one group. */
export interface GroupState {
  readonly id: GroupId;
  readonly model: ModelId;
  /** Hash of the id, for rendezvous. */
  readonly hash: number;
  maxBatch: number;
  readonly load: GroupLoad;
  /** Streaming attempts without a first token that found room in the batch, oldest first: when sent. */
  readonly waiting: Map<AttemptId, MonoTime>;
  readonly firstTokenMs: Average;
  readonly interTokenMs: Average;
  /** Time between tokens over the median of its model; 1 unless it is clearly slower. */
  slowness: number;
  ejections: number;
  ejectedUntil: MonoTime | undefined;
  /** Last sequence number of its cache events. */
  cacheSeq: number;
  /** Times that events were missing. */
  cacheGaps: number;
  lastSeen: MonoTime;
}

/** What all groups of one model share. */
export interface ModelState {
  /** Turn of round robin. */
  roundRobinIndex: number;
  nextEvaluationAt: MonoTime;
  /** Average load of other daemons per group. */
  meanPeerLoad: number;
}

export interface AttemptState {
  readonly group: GroupId;
  readonly sentAt: MonoTime;
  /** Whether the group was believed to have room in its batch, so that no queueing is measured. */
  readonly hadRoom: boolean;
  readonly streams: boolean;
  firstTokenAt: MonoTime | undefined;
}

/** A belief that a group holds a prefix, as of an instant. */
export interface CacheEstimate {
  readonly probability: number;
  readonly at: MonoTime;
  /** Gaps in the group's events by then. */
  readonly gaps: number;
}

/**
 * State of routing. A mutable record that one loop owns: functions change it in place and hand it
 * back (see `docs/ROUTING.md` for the measurement behind that).
 */
export interface RoutingState {
  readonly opts: RoutingOptions;
  readonly groups: Map<GroupId, GroupState>;
  readonly models: Map<ModelId, ModelState>;
  readonly attempts: Map<AttemptId, AttemptState>;
  /** By affinity key, least recently used first. */
  readonly prefixes: Map<string, Map<GroupId, CacheEstimate>>;
  choices: number;
}

/** A request that needs a group. */
export interface RouteRequest {
  /** Groups of one model. */
  readonly groups: readonly RoutableGroup[];
  /** Groups already tried. */
  readonly exclude: ReadonlySet<GroupId>;
  /** Keys of the prompt's prefixes, shortest first; may be empty. */
  readonly prefixKeys: readonly string[];
  readonly organisation: OrganisationId;
}

export interface Route {
  readonly state: RoutingState;
  readonly group: RoutableGroup | undefined;
}

export interface SentEvent {
  readonly attempt: AttemptId;
  readonly group: GroupId;
  /** Whether the answer is streamed. A whole answer's first byte says nothing of its first token. */
  readonly streams?: boolean;
  /** The same as for the choice; remembered as probably cached from now on. */
  readonly prefixKeys?: readonly string[];
  readonly organisation?: OrganisationId;
}

export interface FirstTokenEvent {
  readonly attempt: AttemptId;
}

export interface EndEvent {
  readonly attempt: AttemptId;
  /** Chunks or tokens received; left out or 0 for an answer that was not streamed. */
  readonly tokens?: number;
}

/** What an engine said of its load, as of `reportLagMs` ago. */
export interface LoadReport {
  readonly group: GroupId;
  readonly inFlight: number;
  readonly queued: number;
}

/** One entry of an engine's cache log. */
export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'evicted';
  /** An affinity key; see `affinityKey`. */
  readonly prefix: string;
}

export interface CacheEvents {
  readonly group: GroupId;
  readonly events: readonly CacheEvent[];
}

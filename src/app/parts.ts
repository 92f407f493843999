/** Interfaces between the parts of a daemon. `daemon.ts` composes them. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ResultAsync } from 'neverthrow';
import type { Observable } from 'rxjs';

import type { Config } from '../core/config/types';
import type { RoutableGroup } from '../core/groups/types';
import type {
  ConfigVersion,
  DaemonId,
  Epoch,
  EpochTime,
  GroupId,
  InstanceId,
  ModelId,
  ZoneId,
} from '../core/ids';
import type { Json } from '../ports/platform';
import type { StepError } from '../utils/errors';

/** A part of the daemon with its own lifecycle. */
export interface Part {
  start(): Promise<void>;
  /** Releases what the part holds (leases, claims), then stops it. */
  stop(): Promise<void>;
}

/** The configuration in force on this daemon. */
export interface ConfigView {
  current(): Config;
  /** Emits the current configuration, then each newer one. */
  readonly changes: Observable<Config>;
}

/** A complete configuration document, as an operator submits it. */
export interface ConfigChange {
  /** Idempotency key chosen by the submitter: the same id denotes the same change. */
  readonly changeId: string;
  /** Version that the change is based on; if omitted, the version in force. */
  readonly ifVersion?: ConfigVersion;
  /** The document, parsed from YAML or JSON. */
  readonly document: Json;
  /** Organisation of an operator who may change only that organisation's parameters. */
  readonly organisation?: string;
}

/** An accepted configuration document with its version. */
export interface AcceptedConfig {
  readonly version: ConfigVersion;
  readonly document: Json;
}

/** Configuration: the view, and operators' access to versions. */
export interface ConfigPart extends Part, ConfigView {
  submit(change: ConfigChange): ResultAsync<AcceptedConfig, StepError>;
  read(version?: ConfigVersion): ResultAsync<AcceptedConfig, StepError>;
  versions(): ResultAsync<readonly ConfigVersion[], StepError>;
}

/** A daemon as membership knows it. */
export interface PeerInfo {
  readonly id: DaemonId;
  readonly address: string;
  readonly zone: ZoneId;
  readonly state: 'alive' | 'suspect' | 'leaving';
  readonly configVersion: ConfigVersion;
}

/** The daemons of the system as this one sees them. */
export interface MembershipView {
  readonly self: DaemonId;
  /** This daemon and the peers believed alive, sorted by id. */
  peers(): readonly PeerInfo[];
  readonly changes: Observable<readonly PeerInfo[]>;
}

/** A key-value entry that a daemon disseminates; a newer version of a key replaces older ones. */
export interface GossipEntry {
  readonly topic: string;
  readonly key: string;
  readonly origin: DaemonId;
  readonly version: number;
  readonly value: Json;
  /** Dropped after this time. */
  readonly expiresAt: EpochTime;
}

/** Dissemination of entries to all daemons. */
export interface Gossip {
  publish(topic: string, key: string, value: Json, expiresAt: EpochTime): void;
  /** Emits entries from peers, each version of a key once. */
  readonly received: Observable<GossipEntry>;
  /** All live entries of a topic, including this daemon's own. */
  entries(topic: string): readonly GossipEntry[];
}

/** A message from one daemon to one other. */
export interface DirectMessage {
  readonly from: DaemonId;
  readonly topic: string;
  readonly value: Json;
}

/** Messages between two daemons: delivered at most once, and lost if there is no link. */
export interface DirectMessaging {
  /** Returns false if the message was dropped immediately. */
  send(to: DaemonId, topic: string, value: Json): boolean;
  readonly received: Observable<DirectMessage>;
}

/** Membership, with the gossip and direct messages that run over its links. */
export interface MembershipPart extends Part, MembershipView {
  readonly gossip: Gossip;
  readonly direct: DirectMessaging;
  /** Announces that this daemon is leaving, so that its roles move at once. `stop` also does this. */
  leave(): void;
}

/** A failure of a group that the request plane observed. */
export interface GroupEvidence {
  readonly group: GroupId;
  readonly epoch: Epoch;
  /**
   * `lost`: the connection broke or could not be made; `wrong-group`: the engine serves another
   * group or epoch.
   */
  readonly kind: 'lost' | 'wrong-group' | 'refused';
  readonly step: string;
}

/** The groups that model requests may be sent to. */
export interface GroupView {
  /** The model's groups for which the observations of all members are fresh now. */
  routable(model: ModelId): readonly RoutableGroup[];
  /** Earliest time at which a group of the model is expected, if known. */
  expectedAt(model: ModelId): EpochTime | undefined;
  /** Reports an observed failure. */
  report(evidence: GroupEvidence): void;
  /**
   * Emits a group as soon as it is no longer routable. `isDomainDown` means that its whole failure
   * domain was lost.
   */
  readonly lost: Observable<{ readonly group: GroupId; readonly isDomainDown: boolean }>;
}

/** The control plane: forms groups and tells which are routable. */
export interface ControlPart extends Part, GroupView {
  /** Marks an instance as leaving, as requested by an operator. */
  drainInstance(instance: InstanceId): ResultAsync<void, StepError>;
  /** JSON for `status`: groups, leases, and totals of downtime and stranded accelerators. */
  status(): Json;
}

/** Handles one HTTP request. */
export type HttpHandler = (req: IncomingMessage, res: ServerResponse) => void;

/** The request plane. */
export interface RequestPart extends Part {
  readonly handler: HttpHandler;
  /** Number of requests in flight. */
  inFlight(): number;
  /** Refuses new requests from now on. Resolves when none is in flight. */
  drain(): Promise<void>;
}

/** The parts of one daemon. */
export interface Parts {
  readonly config: ConfigPart;
  readonly membership: MembershipPart;
  readonly control: ControlPart;
  readonly requests: RequestPart;
}

/** What the parts of a daemon offer each other. `daemon.ts` puts them together. */

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

/** A part with work of its own. */
export interface Part {
  start(): Promise<void>;
  /** Hands back what it holds, then stops; resolves when done. */
  stop(): Promise<void>;
}

/** The configuration in force on this daemon. */
export interface ConfigView {
  current(): Config;
  /** Emits the current configuration, then each newer one. */
  readonly changes: Observable<Config>;
}

/** A whole configuration source, as an operator submits it. */
export interface ConfigChange {
  /** Chosen by the submitter; the same id again is the same change. */
  readonly changeId: string;
  /** Version that the operator amended; left out: whatever is in force. */
  readonly ifVersion?: ConfigVersion;
  /** The document, parsed from YAML or JSON. */
  readonly document: Json;
  /** The operator's organisation, where it may change only its own parameters. */
  readonly organisation?: string;
}

export interface AcceptedConfig {
  readonly version: ConfigVersion;
  readonly document: Json;
}

export interface ConfigPart extends Part, ConfigView {
  submit(change: ConfigChange): ResultAsync<AcceptedConfig, StepError>;
  read(version?: ConfigVersion): ResultAsync<AcceptedConfig, StepError>;
  versions(): ResultAsync<readonly ConfigVersion[], StepError>;
}

export interface PeerInfo {
  readonly id: DaemonId;
  readonly address: string;
  readonly zone: ZoneId;
  readonly state: 'alive' | 'suspect' | 'leaving';
  readonly configVersion: ConfigVersion;
}

export interface MembershipView {
  readonly self: DaemonId;
  /** This daemon and the peers believed alive, by id. */
  peers(): readonly PeerInfo[];
  readonly changes: Observable<readonly PeerInfo[]>;
}

/** A fact that one daemon tells all; a newer version of a key replaces the older. */
export interface GossipEntry {
  readonly topic: string;
  readonly key: string;
  readonly origin: DaemonId;
  readonly version: number;
  readonly value: Json;
  /** Forgotten after this. */
  readonly expiresAt: EpochTime;
}

export interface Gossip {
  publish(topic: string, key: string, value: Json, expiresAt: EpochTime): void;
  /** Entries from peers, each version of each key once. */
  readonly received: Observable<GossipEntry>;
  /** All live entries of a topic, own ones included. */
  entries(topic: string): readonly GossipEntry[];
}

/** A message from one daemon to another alone. */
export interface DirectMessage {
  readonly from: DaemonId;
  readonly topic: string;
  readonly value: Json;
}

/** Messages between two daemons: at most once, lost when there is no link. */
export interface DirectMessaging {
  /** False when the message was dropped at once. */
  send(to: DaemonId, topic: string, value: Json): boolean;
  readonly received: Observable<DirectMessage>;
}

export interface MembershipPart extends Part, MembershipView {
  readonly gossip: Gossip;
  readonly direct: DirectMessaging;
  /** Tells all that this daemon is leaving, so that its roles move at once; `stop` does it as well. */
  leave(): void;
}

/** What the request plane saw of a group. */
export interface GroupEvidence {
  readonly group: GroupId;
  readonly epoch: Epoch;
  /** `lost`: torn or not reached; `wrong-group`: the engine serves another group or epoch. */
  readonly kind: 'lost' | 'wrong-group' | 'refused';
  readonly step: string;
}

/** Where model requests may go. */
export interface GroupView {
  /** Groups whose members' observations are all fresh at this instant. */
  routable(model: ModelId): readonly RoutableGroup[];
  /** Earliest instant at which a group of the model is expected, if known. */
  expectedAt(model: ModelId): EpochTime | undefined;
  report(evidence: GroupEvidence): void;
  /** Emits a group as soon as it is no longer routable. */
  readonly lost: Observable<{ readonly group: GroupId; readonly domainDark: boolean }>;
}

export interface ControlPart extends Part, GroupView {
  /** Marks an instance as leaving, on an operator's word. */
  drainInstance(instance: InstanceId): ResultAsync<void, StepError>;
  /** For `status`: groups, leases, downtime and stranded totals; JSON. */
  status(): Json;
}

export type HttpHandler = (req: IncomingMessage, res: ServerResponse) => void;

export interface RequestPart extends Part {
  readonly handler: HttpHandler;
  inFlight(): number;
  /** Refuses new requests from now on; resolves when none is in flight. */
  drain(): Promise<void>;
}

/** The parts of one daemon. */
export interface Parts {
  readonly config: ConfigPart;
  readonly membership: MembershipPart;
  readonly control: ControlPart;
  readonly requests: RequestPart;
}

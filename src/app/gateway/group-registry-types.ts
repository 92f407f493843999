/** The registry of groups as its users see it. */

import type { Observable } from 'rxjs';

import type { GroupCandidate } from '../../core/gateway/balance';
import type { OfferedLoad } from '../../core/gateway/capacity';
import type { LoadSample } from '../../core/gateway/forming/demand';
import type { Evidence, LossEvidence } from '../../core/gateway/suspicion';
import type { ModelWork, WaitingLoad } from '../../core/gateway/work';
import type { GroupId, InstanceId, ModelId, MonoTime, ServiceId } from '../../core/ids';
import type { ServingGroup } from './group-index';
import type { GroupFinding } from './group-suspicions';
import type { LoadSums } from './loads';
import type { LoadSource } from './peer-loads';
import type { Admission, ModelOfferedLoad } from './slot-admission';

export interface Stall {
  readonly group: GroupId;
  readonly head: InstanceId;
  /** What shows it; `silent` if absent. Only streams of groups that have ended are given up at once. */
  readonly evidence?: LossEvidence;
}

/** Requirements of a stream on its group. */
export interface GroupNeeds {
  readonly service: ServiceId;
  readonly model: ModelId;
  /** Longest pause between events that its caller still counts as on time, milliseconds. */
  readonly maxPauseMs: number;
  /** Groups that it was already sent to. */
  readonly tried: ReadonlySet<GroupId>;
}

export interface GroupRegistry {
  /** Open, unsuspected groups of a model for which this daemon has a token. */
  candidates(needs: GroupNeeds): GroupCandidate[];
  /** Selects the groups that a request of this daemon may be sent to. */
  admit(
    model: ModelId,
    groups: readonly GroupCandidate[],
    offered: Omit<ModelOfferedLoad, 'remote'>,
  ): Admission;
  /** Free slots of the group that are reserved for this daemon. */
  grantedSlots(head: InstanceId): number;
  /** Whether any group of the model, other than these, is open outside evacuated zones, suspected or not. */
  hasOpenGroup(
    service: ServiceId,
    model: ModelId | undefined,
    except?: ReadonlySet<GroupId>,
  ): boolean;
  /**
   * Addresses of the heads of the model's open groups, if no connection to any of them could be established;
   * none otherwise.
   */
  unreachableHeads(service: ServiceId, model: ModelId): readonly string[];
  /** Whether groups of the model are open, but all of them in evacuated zones. */
  isModelEvacuated(service: ServiceId, model: ModelId): boolean;
  /**
   * Time until this daemon may send a request to a group of the model under the servers' rate
   * limits and backoffs, milliseconds. `ahead`: requests of this daemon that are sent before it.
   */
  msUntilToken(service: ServiceId, model: ModelId, ahead?: number): number;
  /** Whether the model has groups and the heads of all of them are cold. */
  areGroupsCold(service: ServiceId, model: ModelId): boolean;
  /** Like `msUntilToken`, but for a request from any daemon. */
  msUntilAccepted(service: ServiceId, model: ModelId): number;
  find(head: InstanceId): ServingGroup | undefined;
  /** Requests of the other daemons in the group, as far as this daemon knows. */
  runningOnPeers(head: InstanceId): number;
  /** Whether any daemon has streams running in the group. */
  isBusy(group: GroupId): boolean;
  /** Whether any daemon may hold unfinished answers of the head: also while the load of one is unknown. */
  hasAnswers(head: InstanceId): boolean;
  /** The same, of any head that is not known. */
  hasAnswersOfOthers(isKnown: (head: InstanceId) => boolean): boolean;
  noteSent(head: InstanceId, promptTokens: number): void;
  /** Notes the first event of a request: its prefill is done. */
  notePrefilled(head: InstanceId, promptTokens: number): void;
  /**
   * `pendingPrefill`: prompt tokens of a request that gave no event; `holdMs`: how long a request
   * that gave one held its slot.
   */
  noteEnded(head: InstanceId, pendingPrefill: number, holdMs?: number): void;
  noteEvent(head: InstanceId, pauseMs: number | undefined): void;
  /** A stream is not read, as its caller does not read, or is read again: its silence says nothing of the group. */
  noteHeld(head: InstanceId, isHeld: boolean): void;
  /** Moves this daemon's streams out of a group that is confirmed to be stalled, as far as they can be. */
  evacuate(stall: Stall): void;
  /** Stalls passed to `evacuate`. */
  readonly evacuated: Observable<Stall>;
  /** Suspends the group for a while. Returns false if it was already suspended. */
  suspect(group: GroupId, evidence: Evidence, reason: string): boolean;
  /** The latest finding about a group that is suspended. */
  finding(group: GroupId): GroupFinding | undefined;
  /** Groups that are suspended because a leader found members silent. */
  darkGroups(): readonly Stall[];
  /** Ends the suspension of a group that gave an event to any daemon, if it was for its silence. */
  noteAlive(stall: Stall): void;
  /** Groups that were suspended for their silence until an event, and of which no member has ended. */
  readonly resumed: Observable<Stall>;
  /**
   * Ends the suspension of groups, other than lost ones, that this daemon's own link is to blame for:
   * those with this address of the head, or of this service.
   */
  clearSuspicions(which: { readonly address: string } | { readonly service: ServiceId }): void;
  /** Suspends a group whose head could not be reached, and publishes that. */
  noteUnreachable(stall: Stall, reason: string): void;
  /** Groups whose heads this daemon could not reach. */
  readonly unreachable: Observable<Stall>;
  /** Groups in which all streams of this daemon are silent, as found by `tick`. */
  readonly stalls: Observable<Stall>;
  /** Emits when the groups change and when a slot becomes free. */
  readonly changes: Observable<void>;
  /** Requests of this daemon and their pending prefill tokens, by head. */
  running(): readonly (readonly [InstanceId, number, number])[];
  /**
   * Time since the last event of each group with requests of this daemon, milliseconds, by head.
   */
  quiet(): readonly (readonly [InstanceId, number])[];
  /** Heads of the groups in which all streams of this daemon are silent, or were until a moment ago. */
  silentHeads(): ReadonlySet<InstanceId>;
  /** Since when this process has run without a pause, so that silence is that of the servers. */
  observingSince(): MonoTime;
  /** When a stream of this daemon last got an event from the group. */
  lastEventAt(head: InstanceId): MonoTime | undefined;
  /** Slowdown factors of groups as this daemon recently measured them, by head. */
  paces(): readonly (readonly [InstanceId, number])[];
  /** Slowdown factors of groups as any daemon recently measured them, by head. */
  slowdowns(): ReadonlyMap<InstanceId, number>;
  /**
   * Applies the summed load of the other daemons and the slowdowns that all daemons measured.
   * `ageMs`: the sums include everything that happened longer ago than this.
   */
  applyLoads(sums: LoadSums, facts: LoadSnapshot): void;
  /** Whether the load of the other daemons is known and fresh. */
  hasPeerLoads(): boolean;
  /**
   * Load of each model over all daemons. `local`: waiting requests and arrival rate of this daemon.
   */
  loadSamples(local: (model: ModelId) => OfferedLoad): ReadonlyMap<ModelId, LoadSample>;
  /** Offered load of each model over all daemons: running and waiting requests, in full batches. */
  offeredLoad(): ReadonlyMap<ModelId, number>;
  /**
   * Slots of each model, the requests of all daemons in them, and the requests that wait for one.
   */
  work(waiting: readonly WaitingLoad[]): readonly ModelWork[];
  tick(): void;
}

export interface LoadSnapshot extends LoadSource {
  readonly ageMs: number;
}

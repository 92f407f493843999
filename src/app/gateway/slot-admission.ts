/**
 * Decides which free slots in a model's groups this daemon may use until the next load update from
 * its peers.
 */

import type { GroupCandidate } from '../../core/gateway/balance';
import {
  slotAccessFor,
  expectLoad,
  grantSlots,
  lateQuota,
  NOTHING_EXPECTED,
  onTimeShare,
  shareLeft,
} from '../../core/gateway/capacity';
import type {
  SlotAccess,
  OfferedLoad,
  Contention,
  ExpectedLoad,
} from '../../core/gateway/capacity';
import { expectClasses } from '../../core/gateway/priority-classes';
import type { ClassRank } from '../../core/gateway/priority-classes';
import { smoothHoldMs } from '../../core/gateway/waiting-order';
import { later } from '../../core/ids';
import type { InstanceId, ModelId, MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';

/** Offered load of a model's priority class on this daemon and on the other daemons. */
export interface ModelOfferedLoad {
  readonly local: OfferedLoad;
  readonly remote: OfferedLoad;
  /** Time that a request can wait for a slot and still meet its latency objective, milliseconds. */
  readonly slackMs: number;
  /** Whether the request that needs a slot has waited for longer than that. */
  readonly isLate: boolean;
  /** The class of the request among all classes; absent if the model has only one. */
  readonly rank?: ClassRank;
}

export interface Admission {
  /** Groups that the request may be sent to. */
  readonly groups: readonly GroupCandidate[];
  /** Whether the request uses up a slot that was granted to this daemon. */
  readonly usesGrants: boolean;
  /** Must be called once the request is sent. */
  readonly noteSent: () => void;
}

export interface SlotAdmission {
  /**
   * Notes a load update from the peers, which includes everything that happened more than `ageMs`
   * ago.
   */
  noteLoads(ageMs: number): void;
  /** Age of the peers' load when it arrives, milliseconds. */
  loadAgeMs(): number;
  noteSent(head: InstanceId, usesGrant?: boolean): void;
  /** A stream released its slot; this daemon may reuse it. */
  noteSlotFreed(head: InstanceId): void;
  /** A stream held its slot for `holdMs` milliseconds. */
  noteHold(model: ModelId, holdMs: number): void;
  /** Mean time that streams of the model hold a slot; undefined until one has ended. */
  holdMs(model: ModelId): number | undefined;
  /**
   * Mean time that its requests can wait for a slot and still be on time; undefined until the first
   * arrives.
   */
  slackMs(model: ModelId): number | undefined;
  /** Part of the released slots that more urgent requests at other daemons leave over, 0 to 1. */
  reusableShare(model: ModelId): number;
  /** Free slots of the group that are reserved for this daemon. */
  grantedSlots(head: InstanceId): number;
  /** Determines which groups a request may use, given the load offered to their free slots. */
  admit(model: ModelId, groups: readonly GroupCandidate[], offered: ModelOfferedLoad): Admission;
}

const ignore = (): void => undefined;

function sumOf({ onTime, late }: ExpectedLoad): number {
  return onTime + late;
}

/** Whether there is load of less urgent classes and not enough capacity for all classes. */
function isContendedBelow({
  freeCapacity,
  local,
  remote,
  urgent = NOTHING_EXPECTED,
  lessUrgent = NOTHING_EXPECTED,
}: Contention): boolean {
  const all = [local, remote, urgent, lessUrgent].reduce((sum, load) => sum + sumOf(load), 0);
  return sumOf(lessUrgent) > 0 && all > freeCapacity;
}

const ONLY_CLASS: ClassRank = { priority: 0, urgent: [], lessUrgent: [] };

function classKey(model: ModelId, { priority }: ClassRank): string {
  return `${priority} ${model}`;
}

export function createSlotAdmission({ clock, random }: GatewayContext): SlotAdmission {
  const holds = new Map<ModelId, number>();
  const slacks = new Map<ModelId, number>();
  const grantedSlots = new Map<InstanceId, number>();
  /** Late requests that may still be sent, by class. */
  const lateRemaining = new Map<string, number>();
  /** Classes whose slots were granted. */
  const grantedClasses = new Set<string>();
  const reusableShares = new Map<ModelId, number>();
  let loadAgeMs = 0;
  /** Load updates that arrive before this do not yet include what was sent since the last grant. */
  let grantsKeptUntil: MonoTime = clock.now();

  const hasGrant = (head: InstanceId): boolean => (grantedSlots.get(head) ?? 0) >= 1;

  const addGranted = (head: InstanceId, by: number): void => {
    grantedSlots.set(head, (grantedSlots.get(head) ?? 0) + by);
  };

  const grantOnce = (
    key: string,
    groups: readonly GroupCandidate[],
    contention: Contention,
  ): void => {
    if (grantedClasses.has(key)) return;
    grantedClasses.add(key);
    const left = shareLeft(contention);
    const shared = groups.filter(({ isOwnShare }) => isOwnShare !== true);
    const freeByGroup = shared.map(({ head, freeSlots }) => ({
      head,
      // Slots released by own streams are already reserved for this daemon.
      slots: left * Math.max(0, freeSlots - (grantedSlots.get(head) ?? 0)),
    }));
    for (const [head, slots] of grantSlots(freeByGroup, onTimeShare(contention), random.next())) {
      addGranted(head, slots);
    }
  };

  const ADMIT: Readonly<
    Record<
      SlotAccess,
      (key: string, groups: readonly GroupCandidate[]) => Omit<Admission, 'usesGrants'>
    >
  > = {
    all: (_, groups) => ({ groups, noteSent: ignore }),
    granted: (_, groups) => ({
      groups: groups.filter(({ head, isOwnShare }) => isOwnShare === true || hasGrant(head)),
      noteSent: ignore,
    }),
    surplus: (key, groups) => {
      const remaining = lateRemaining.get(key) ?? 0;
      return {
        groups: remaining < 1 ? groups.filter(({ isOwnShare }) => isOwnShare === true) : groups,
        noteSent: () => {
          lateRemaining.set(key, Math.max(0, remaining - 1));
        },
      };
    },
    none: (_, groups) => ({
      groups: groups.filter(({ isOwnShare }) => isOwnShare === true),
      noteSent: ignore,
    }),
  };

  return {
    noteLoads: (ageMs) => {
      const now = clock.now();
      loadAgeMs = ageMs;
      if (now < grantsKeptUntil) return;
      grantsKeptUntil = later(now, ageMs);
      grantedSlots.clear();
      lateRemaining.clear();
      grantedClasses.clear();
      reusableShares.clear();
    },
    loadAgeMs: () => loadAgeMs,
    noteSent: (head, usesGrant = true) => {
      if (usesGrant) addGranted(head, -1);
    },
    noteSlotFreed: (head) => {
      addGranted(head, 1);
    },
    noteHold: (model, holdMs) => {
      holds.set(model, smoothHoldMs(holds.get(model), holdMs));
    },
    holdMs: (model) => holds.get(model),
    slackMs: (model) => slacks.get(model),
    reusableShare: (model) => reusableShares.get(model) ?? 1,
    grantedSlots: (head) => grantedSlots.get(head) ?? 0,
    admit: (model, groups, { local, remote, slackMs, isLate, rank = ONLY_CLASS }) => {
      slacks.set(model, smoothHoldMs(slacks.get(model), slackMs));
      const ages = { agedMs: loadAgeMs, slackMs };
      const contention: Contention = {
        freeCapacity: groups.reduce((sum, { freeCapacity }) => sum + freeCapacity, 0),
        local: expectLoad({ ...local, waiting: Math.max(1, local.waiting) }, ages),
        remote: expectLoad(remote, ages),
        urgent: expectClasses(rank.urgent, ages),
        lessUrgent: expectClasses(rank.lessUrgent, ages),
      };
      const key = classKey(model, rank);
      const access = slotAccessFor(contention, isLate);
      if (!lateRemaining.has(key)) lateRemaining.set(key, lateQuota(contention, random.next()));
      // No slots are granted to a class that has enough if a less urgent class competes for what it
      // leaves over. It uses slots that this daemon has anyway first: chosen from outdated loads,
      // other groups become overfull.
      const isReserving = access !== 'all' || !isContendedBelow(contention);
      if (isReserving) grantOnce(key, groups, contention);
      const usesGrants = isReserving || groups.some(({ head }) => hasGrant(head));
      if (access === 'granted') reusableShares.set(model, shareLeft(contention));
      return { ...ADMIT[access](key, groups), usesGrants };
    },
  };
}

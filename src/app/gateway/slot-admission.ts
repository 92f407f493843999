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
  onTimeShare,
} from '../../core/gateway/capacity';
import type { SlotAccess, OfferedLoad, Contention } from '../../core/gateway/capacity';
import { smoothHoldMs } from '../../core/gateway/waiting-order';
import { later } from '../../core/ids';
import type { InstanceId, ModelId, MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';

/** Offered load of a model on this daemon and on the other daemons. */
export interface ModelOfferedLoad {
  readonly local: OfferedLoad;
  readonly remote: OfferedLoad;
  /** Time that a request can wait for a slot and still meet its latency objective, milliseconds. */
  readonly slackMs: number;
  /** Whether the request that needs a slot has waited for longer than that. */
  readonly isLate: boolean;
}

export interface Admission {
  /** Groups that the request may be sent to. */
  readonly groups: readonly GroupCandidate[];
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
  noteSent(head: InstanceId): void;
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
  /** Free slots of the group that are reserved for this daemon. */
  grantedSlots(head: InstanceId): number;
  /** Determines which groups a request may use, given the load offered to their free slots. */
  admit(model: ModelId, groups: readonly GroupCandidate[], offered: ModelOfferedLoad): Admission;
}

const ignore = (): void => undefined;

export function createSlotAdmission({ clock, random }: GatewayContext): SlotAdmission {
  const holds = new Map<ModelId, number>();
  const slacks = new Map<ModelId, number>();
  const grantedSlots = new Map<InstanceId, number>();
  /**
   * Late requests that may still be sent, by model; an entry exists once the model's slots were
   * granted.
   */
  const lateRemaining = new Map<ModelId, number>();
  let loadAgeMs = 0;
  /** Load updates that arrive before this do not yet include what was sent since the last grant. */
  let grantsKeptUntil: MonoTime = clock.now();

  const addGranted = (head: InstanceId, by: number): void => {
    grantedSlots.set(head, (grantedSlots.get(head) ?? 0) + by);
  };

  const grantOnce = (
    model: ModelId,
    groups: readonly GroupCandidate[],
    contention: Contention,
  ): void => {
    if (lateRemaining.has(model)) return;
    lateRemaining.set(model, lateQuota(contention, random.next()));
    const shared = groups.filter(({ isOwnShare }) => isOwnShare !== true);
    const freeByGroup = shared.map(({ head, freeSlots }) => ({
      head,
      // Slots released by own streams are already reserved for this daemon.
      slots: Math.max(0, freeSlots - (grantedSlots.get(head) ?? 0)),
    }));
    for (const [head, slots] of grantSlots(freeByGroup, onTimeShare(contention), random.next())) {
      addGranted(head, slots);
    }
  };

  const ADMIT: Readonly<
    Record<SlotAccess, (model: ModelId, groups: readonly GroupCandidate[]) => Admission>
  > = {
    all: (_, groups) => ({ groups, noteSent: ignore }),
    granted: (_, groups) => ({
      groups: groups.filter(
        ({ head, isOwnShare }) => isOwnShare === true || (grantedSlots.get(head) ?? 0) >= 1,
      ),
      noteSent: ignore,
    }),
    surplus: (model, groups) => {
      const remaining = lateRemaining.get(model) ?? 0;
      return {
        groups: remaining < 1 ? groups.filter(({ isOwnShare }) => isOwnShare === true) : groups,
        noteSent: () => {
          lateRemaining.set(model, Math.max(0, remaining - 1));
        },
      };
    },
  };

  return {
    noteLoads: (ageMs) => {
      const now = clock.now();
      loadAgeMs = ageMs;
      if (now < grantsKeptUntil) return;
      grantsKeptUntil = later(now, ageMs);
      grantedSlots.clear();
      lateRemaining.clear();
    },
    loadAgeMs: () => loadAgeMs,
    noteSent: (head) => {
      addGranted(head, -1);
    },
    noteSlotFreed: (head) => {
      addGranted(head, 1);
    },
    noteHold: (model, holdMs) => {
      holds.set(model, smoothHoldMs(holds.get(model), holdMs));
    },
    holdMs: (model) => holds.get(model),
    slackMs: (model) => slacks.get(model),
    grantedSlots: (head) => grantedSlots.get(head) ?? 0,
    admit: (model, groups, { local, remote, slackMs, isLate }) => {
      slacks.set(model, smoothHoldMs(slacks.get(model), slackMs));
      const ages = { agedMs: loadAgeMs, slackMs };
      const contention: Contention = {
        freeCapacity: groups.reduce((sum, { freeCapacity }) => sum + freeCapacity, 0),
        local: expectLoad({ ...local, waiting: Math.max(1, local.waiting) }, ages),
        remote: expectLoad(remote, ages),
      };
      grantOnce(model, groups, contention);
      return ADMIT[slotAccessFor(contention, isLate)](model, groups);
    },
  };
}

/** The room in each model's groups that this daemon may use until it hears of the others again. */

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

/** Requests of a model, here and on the other daemons. */
export interface ModelOfferedLoad {
  readonly here: OfferedLoad;
  readonly elsewhere: OfferedLoad;
  /** Time that one can wait for a place and still be on time, milliseconds. */
  readonly slackMs: number;
  /** Whether the request that wants a place has waited for longer. */
  readonly isLate: boolean;
}

export interface Admission {
  /** The groups that the request may be sent to. */
  readonly groups: readonly GroupCandidate[];
  /** To be called when it was sent. */
  readonly noteSent: () => void;
}

export interface SlotAdmission {
  /** The loads of the others were taken in; they show what happened more than `ageMs` ago. */
  noteLoads(ageMs: number): void;
  /** Age of the others' loads when they are heard of, milliseconds. */
  loadAgeMs(): number;
  noteSent(head: InstanceId): void;
  /** A stream gave its place back; it is used again by this daemon. */
  noteSlotFreed(head: InstanceId): void;
  /** A stream held its place for so long, milliseconds. */
  noteHold(model: ModelId, holdMs: number): void;
  /** Mean time that streams of the model hold a place; undefined before any has ended. */
  holdMs(model: ModelId): number | undefined;
  /** Mean time that its requests may wait for a place and still be on time; undefined before the first came. */
  slackMs(model: ModelId): number | undefined;
  /** Places in the group that this daemon has to itself. */
  grantedSlots(head: InstanceId): number;
  /** What a request may use of the groups' room. */
  admit(model: ModelId, groups: readonly GroupCandidate[], asked: ModelOfferedLoad): Admission;
}

const ignore = (): void => undefined;

export function createSlotAdmission({ clock, random }: GatewayContext): SlotAdmission {
  const holds = new Map<ModelId, number>();
  const slacks = new Map<ModelId, number>();
  const granted = new Map<InstanceId, number>();
  /** Late requests that may still be sent, by model; present once the model's places were granted. */
  const lateLeft = new Map<ModelId, number>();
  let agedMs = 0;
  /** Loads that are taken in sooner don't show yet what was sent since the last ones. */
  let keptUntil: MonoTime = clock.now();

  const add = (head: InstanceId, by: number): void => {
    granted.set(head, (granted.get(head) ?? 0) + by);
  };

  const grant = (model: ModelId, groups: readonly GroupCandidate[], demand: Contention): void => {
    if (lateLeft.has(model)) return;
    lateLeft.set(model, lateQuota(demand, random.next()));
    const free = groups.map(({ head, freeSlots: freePlaces }) => ({
      head,
      // Places that own streams gave back are this daemon's already.
      places: Math.max(0, freePlaces - (granted.get(head) ?? 0)),
    }));
    for (const [head, places] of grantSlots(free, onTimeShare(demand), random.next())) {
      add(head, places);
    }
  };

  const ADMIT: Readonly<
    Record<SlotAccess, (model: ModelId, groups: readonly GroupCandidate[]) => Admission>
  > = {
    all: (_, groups) => ({ groups, noteSent: ignore }),
    granted: (_, groups) => ({
      groups: groups.filter(({ head }) => (granted.get(head) ?? 0) >= 1),
      noteSent: ignore,
    }),
    surplus: (model, groups) => {
      const left = lateLeft.get(model) ?? 0;
      return {
        groups: left < 1 ? [] : groups,
        noteSent: () => {
          lateLeft.set(model, left - 1);
        },
      };
    },
  };

  return {
    noteLoads: (ageMs) => {
      const now = clock.now();
      agedMs = ageMs;
      if (now < keptUntil) return;
      keptUntil = later(now, ageMs);
      granted.clear();
      lateLeft.clear();
    },
    loadAgeMs: () => agedMs,
    noteSent: (head) => {
      add(head, -1);
    },
    noteSlotFreed: (head) => {
      add(head, 1);
    },
    noteHold: (model, holdMs) => {
      holds.set(model, smoothHoldMs(holds.get(model), holdMs));
    },
    holdMs: (model) => holds.get(model),
    slackMs: (model) => slacks.get(model),
    grantedSlots: (head) => granted.get(head) ?? 0,
    admit: (model, groups, { here, elsewhere, slackMs, isLate }) => {
      slacks.set(model, smoothHoldMs(slacks.get(model), slackMs));
      const ages = { agedMs, slackMs };
      const demand: Contention = {
        freeCapacity: groups.reduce((sum, { freeCapacity: room }) => sum + room, 0),
        local: expectLoad({ ...here, waiting: Math.max(1, here.waiting) }, ages),
        remote: expectLoad(elsewhere, ages),
      };
      grant(model, groups, demand);
      return ADMIT[slotAccessFor(demand, isLate)](model, groups);
    },
  };
}

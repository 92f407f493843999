/** What this daemon took of the room in each model's groups since it last heard of the others. */

import { mayTake } from '../../core/gateway/room';
import type { Demand, RoomUse } from '../../core/gateway/room';
import { later } from '../../core/ids';
import type { ModelId, MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';

export interface RoomUses {
  /** The loads of the others were taken in; they show what happened more than `ageMs` ago. */
  noteLoads(ageMs: number): void;
  noteSent(model: ModelId): void;
  noteEnded(model: ModelId): void;
  /** Further requests that may be sent to groups of the model, which have `room` now. */
  mayTake(model: ModelId, room: number, demand: Demand): number;
}

export function createRoomUses({ clock, random }: GatewayContext): RoomUses {
  const uses = new Map<ModelId, RoomUse>();
  /** Loads that are taken in sooner don't show yet what was sent since the last ones. */
  let keptUntil: MonoTime = clock.now();

  const note = (model: ModelId, change: (use: RoomUse) => Partial<RoomUse>): void => {
    const use = uses.get(model);
    if (use) uses.set(model, { ...use, ...change(use) });
  };

  return {
    noteLoads: (ageMs) => {
      const now = clock.now();
      if (now < keptUntil) return;
      keptUntil = later(now, ageMs);
      uses.clear();
    },
    noteSent: (model) => {
      note(model, ({ sent }) => ({ sent: sent + 1 }));
    },
    noteEnded: (model) => {
      note(model, ({ ended }) => ({ ended: ended + 1 }));
    },
    mayTake: (model, room, demand) => {
      const use = uses.get(model) ?? { room, lot: random.next(), sent: 0, ended: 0 };
      uses.set(model, use);
      return mayTake(use, demand);
    },
  };
}

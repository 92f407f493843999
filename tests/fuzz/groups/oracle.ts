/** What must hold after every step, read from the engines' own records and the rows. */

import type { GroupRow } from '../../../src/core/groups/types';
import type { World } from '../../support/control-world';
import { rowsBelow } from '../../support/control-world';

/** A probe counts for three intervals of a second; one step of time is what the loop cannot see. */
export const FRESH_MS = 3_000 * 1.05 + 200;

export interface Oracle {
  /** Notes what the engines hold now, then throws should anything be wrong. */
  check(world: World): void;
}

export function createOracle(): Oracle {
  /** When each member last held a group at an epoch, serving and reachable. */
  const lastWell = new Map<string, number>();
  return {
    check: (world) => {
      for (const engine of world.engines.values()) {
        if (!engine.up || engine.state !== 'serving') continue;
        lastWell.set(`${engine.id} ${engine.group}@${engine.epoch}`, world.now());
      }
      checkRoutable(world, lastWell);
      checkRows(world);
      checkHolders(world);
      if (world.staleOrders.length > 0) throw new Error(`stale: ${world.staleOrders.join()}`);
    },
  };
}

function checkRoutable(world: World, lastWell: ReadonlyMap<string, number>): void {
  for (const { control, running, id } of world.daemons) {
    if (!running) continue;
    for (const model of Object.keys(world.config.value.models)) {
      for (const group of control.routable(model as never)) {
        for (const { instance } of group.members) {
          const at = lastWell.get(`${instance} ${group.id}@${group.epoch}`) ?? -Infinity;
          if (world.now() - at <= FRESH_MS) continue;
          throw new Error(`${id} routes to ${group.id}@${group.epoch} without ${instance}`);
        }
      }
    }
  }
}

function checkRows(world: World): void {
  const holder = new Map<string, string>();
  for (const row of rowsBelow(world.table, 'group/') as unknown as readonly GroupRow[]) {
    for (const { instance } of row.members) {
      const other = holder.get(instance);
      if (other !== undefined) throw new Error(`${instance} is in ${other} and ${row.id}`);
      holder.set(instance, row.id);
    }
  }
  for (const row of rowsBelow(world.table, 'instance/') as unknown as readonly InstanceGroup[]) {
    if (row.group === holder.get(row.instance)) continue;
    throw new Error(`row of ${row.instance} says ${row.group}`);
  }
}

interface InstanceGroup {
  readonly instance: string;
  readonly group?: string;
}

function checkHolders(world: World): void {
  const holders = new Map<string, string>();
  for (const { control, id } of world.daemons) {
    for (const domain of control.heldDomains()) {
      const other = holders.get(domain);
      if (other !== undefined) throw new Error(`${domain} is held by ${other} and ${id}`);
      holders.set(domain, id);
    }
  }
}

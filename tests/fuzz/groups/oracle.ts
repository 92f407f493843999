/** Invariants that must hold after every step, checked on the engines' own records and the rows. */

import type { GroupRow } from '../../../src/core/groups/types';
import type { World } from '../../support/control-world';
import { rowsBelow } from '../../support/control-world';

/** A probe is fresh for three intervals of 1 s; the rest allows for drift and time between steps. */
export const FRESH_MS = 3_000 * 1.05 + 200;

/** Checks the invariants of a run. */
export interface Oracle {
  /** Records what the engines hold now, and throws if an invariant is violated. */
  check(world: World): void;
}

export function createOracle(): Oracle {
  /** By member, group and epoch: when it was last serving and reachable. */
  const lastServing = new Map<string, number>();
  return {
    check: (world) => {
      for (const engine of world.engines.values()) {
        if (!engine.up || engine.state !== 'serving') continue;
        lastServing.set(`${engine.id} ${engine.group}@${engine.epoch}`, world.now());
      }
      checkRoutable(world, lastServing);
      checkRows(world);
      checkHolders(world);
      if (world.staleOrders.length > 0)
        throw new Error(`stale orders sent: ${world.staleOrders.join()}`);
    },
  };
}

function checkRoutable(world: World, lastServing: ReadonlyMap<string, number>): void {
  for (const { control, running, id } of world.daemons) {
    if (!running) continue;
    for (const model of Object.keys(world.config.value.models)) {
      for (const group of control.routable(model as never)) {
        for (const { instance } of group.members) {
          const at = lastServing.get(`${instance} ${group.id}@${group.epoch}`) ?? -Infinity;
          if (world.now() - at <= FRESH_MS) continue;
          throw new Error(`${id} routes to ${group.id}@${group.epoch} without serving ${instance}`);
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
      if (other !== undefined)
        throw new Error(`${instance} is a member of both ${other} and ${row.id}`);
      holder.set(instance, row.id);
    }
  }
  for (const row of rowsBelow(world.table, 'instance/') as unknown as readonly InstanceGroup[]) {
    if (row.group === holder.get(row.instance)) continue;
    throw new Error(`row of instance ${row.instance} names group ${row.group}`);
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
      if (other !== undefined)
        throw new Error(`domain ${domain} is held by both ${other} and ${id}`);
      holders.set(domain, id);
    }
  }
}

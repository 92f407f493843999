/** Paces weight loads: so many may start in a window, and many at a time slow each other down. */

import { later } from '../../ids';
import type { BackendServer, ModelSpec } from '../types';
import { joinCost } from './form';
import type { Draft } from './state';

/** Loads of this process that began within the last window or are still running. */
export function pruneLoads(draft: Draft): void {
  const { now, settings } = draft;
  draft.loads = draft.loads.filter(
    ({ at, until }) => now < until || now < later(at, settings.loadWindowMs),
  );
}

function running(draft: Draft): number {
  return draft.loads.filter(({ until }) => draft.now < until).length;
}

/** Whether `count` further loads may begin now. */
export function canStartLoads(draft: Draft, count: number, atMost: number): boolean {
  if (count === 0) return true;
  const { engine, hasTraffic } = draft.view;
  const { loadWindowMs, loadRateShare: loadShare } = draft.settings;
  const busy = running(draft);
  if (busy > 0 && busy + count > atMost) return false;
  if (!hasTraffic) return true;
  const allowed = Math.max(1, engine.loadsPerS * (loadWindowMs / 1000) * loadShare);
  const begun = draft.loads.filter(({ at }) => draft.now < later(at, loadWindowMs)).length;
  return begun + count <= allowed;
}

/** Enters the loads that joining or staging begins. */
export function noteLoads(draft: Draft, servers: readonly BackendServer[], model: ModelSpec): void {
  for (const server of servers) {
    const { ms } = joinCost(draft, server, model);
    draft.loads.push({ server: server.id, at: draft.now, until: later(draft.now, ms) });
  }
}

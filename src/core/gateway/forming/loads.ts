/** Limits weight loads: their starts per window are limited, and concurrent loads slow each other down. */

import { later } from '../../ids';
import type { BackendServer, ModelSpec } from '../types';
import { joinCost } from './form';
import type { Draft } from './state';

/** Drops loads that have ended and began before the current window. */
export function pruneLoads(draft: Draft): void {
  const { now, settings } = draft;
  draft.loads = draft.loads.filter(
    ({ at, until }) => now < until || now < later(at, settings.loadWindowMs),
  );
}

function countRunning(draft: Draft): number {
  return draft.loads.filter(({ until }) => draft.now < until).length;
}

/**
 * Whether `count` more loads may start now, with at most `maxConcurrent` running at a time. If none is
 * running, the concurrency limit doesn't apply, so that a group larger than the limit can still start.
 */
export function canStartLoads(draft: Draft, count: number, maxConcurrent: number): boolean {
  if (count === 0) return true;
  const { engine, hasTraffic } = draft.view;
  const { loadWindowMs, loadRateShare } = draft.settings;
  const running = countRunning(draft);
  if (running > 0 && running + count > maxConcurrent) return false;
  if (!hasTraffic) return true;
  const maxStarts = Math.max(1, engine.loadsPerS * (loadWindowMs / 1000) * loadRateShare);
  const started = draft.loads.filter(({ at }) => draft.now < later(at, loadWindowMs)).length;
  return started + count <= maxStarts;
}

/** Records the loads that a join or staging starts. */
export function noteLoads(draft: Draft, servers: readonly BackendServer[], model: ModelSpec): void {
  for (const server of servers) {
    const { ms } = joinCost(draft, server, model);
    draft.loads.push({ server: server.id, at: draft.now, until: later(draft.now, ms) });
  }
}

/** Removes the running loads of servers that did not start them. */
export function dropLoads(draft: Draft, servers: readonly BackendServer[]): void {
  const ids = new Set(servers.map(({ id }) => id));
  draft.loads = draft.loads.filter(({ server, until }) => !ids.has(server) || draft.now >= until);
}

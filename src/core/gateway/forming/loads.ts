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

/** Servers' entries show within this time which loads an earlier leader began, milliseconds. */
const ENTRY_LAG_MS = 500;

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
  if (draft.now < later(draft.leadingSince, ENTRY_LAG_MS)) return false;
  const maxStarts = Math.max(1, engine.loadsPerS * (loadWindowMs / 1000) * loadRateShare);
  const started = draft.loads.filter(({ at }) => draft.now < later(at, loadWindowMs)).length;
  return started + count <= maxStarts;
}

/**
 * Counts servers that join groups of an earlier leader, each as a load that begins when it is first seen.
 *
 * Load pattern: leaders are lost one after another while many empty servers are added. A leader that counts only
 * the loads that it started would use up the limit of the window again. A server that joins does not tell for which
 * model, so a join without a load counts as well, for the length of the window.
 */
export function noteForeignLoads(draft: Draft): void {
  const { now, view, formations, retirements, settings } = draft;
  const known = new Set(draft.loads.map(({ server }) => server));
  for (const { id, membership } of view.servers.values()) {
    if (membership?.state !== 'joining' || known.has(id)) continue;
    const { group } = membership;
    if (formations.has(group) || retirements.has(group)) continue;
    draft.loads.push({ server: id, at: now, until: later(now, settings.loadWindowMs) });
  }
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

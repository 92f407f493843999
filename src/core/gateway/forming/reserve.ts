/**
 * Computes how many servers of a domain are kept as spares.
 *
 * Load pattern: members of groups are lost every few seconds, and a new server can serve only after a
 * weight load. A spare used for another group of a model that has enough groups is missing at the next
 * loss, and a large group is then lost permanently. The reserve covers the losses expected while one
 * more spare is loaded: their mean plus one standard deviation of a Poisson count (its square root).
 */

import { later } from '../../ids';
import { isEnabled } from './state';
import type { Draft } from './state';

/** One server in this many is kept as a spare, whatever losses were observed. */
const SERVERS_PER_SPARE = 12;
/** Minimum while callers are served: a new leader has not observed any loss yet. */
const MIN_SPARES_WITH_TRAFFIC = 1;
/** Window over which losses are counted: about two weight loads. */
const LOSS_WINDOW_MS = 30_000;

/** Records that a group lost a member. */
export function noteLoss(draft: Draft): void {
  draft.recentLosses.push(draft.now);
}

/** Drops losses that are older than the window. */
export function pruneLosses(draft: Draft): void {
  draft.recentLosses = draft.recentLosses.filter((at) => draft.now < later(at, LOSS_WINDOW_MS));
}

/** Groups that each server loses per millisecond; at least one in the whole window, as with a new leader. */
export function lossRate({ recentLosses, view }: Draft): number {
  return Math.max(1, recentLosses.length) / LOSS_WINDOW_MS / Math.max(1, view.servers.size);
}

/** Number of spares to keep in a domain of `servers` servers; losses are spread over `domains`. */
export function countReserve(draft: Draft, servers: number, domains: number): number {
  const minSpares = Math.floor(servers / SERVERS_PER_SPARE);
  if (!draft.view.hasTraffic || !isEnabled(draft, 'reserve')) return minSpares;
  const loadMs = Math.max(0, ...draft.view.engine.models.map((model) => model.loadMs));
  const expectedLosses =
    (draft.recentLosses.length * loadMs) / LOSS_WINDOW_MS / Math.max(1, domains);
  return Math.max(
    minSpares,
    MIN_SPARES_WITH_TRAFFIC,
    Math.round(expectedLosses + Math.sqrt(expectedLosses)),
  );
}

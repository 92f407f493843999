/**
 * How many servers of a domain are kept spare.
 *
 * Load pattern: members of groups are lost every few seconds, and a server that comes anew serves only
 * after a load of weights. A spare that is put into a further group of a model with groups enough is
 * missing at the next loss, and a large group then ends for good. What is kept is what is likely to be
 * lost while one more spare is loaded: the mean number of such losses and one standard deviation of a
 * Poisson count, its square root.
 */

import { later } from '../../ids';
import { isEnabled } from './state';
import type { Draft } from './state';

/** One server in so many of a domain is kept spare whatever was observed. */
const SERVERS_PER_SPARE = 12;
/** Kept while callers are served and nothing has been observed: a new leader knows of no loss. */
const LEAST_WITH_TRAFFIC = 1;
/** Losses are counted over this time; about two loads of weights, milliseconds. */
const LOSS_WINDOW_MS = 30_000;

/** A group has lost a member. */
export function noteLoss(draft: Draft): void {
  draft.recentLosses.push(draft.now);
}

export function pruneLosses(draft: Draft): void {
  draft.recentLosses = draft.recentLosses.filter((at) => draft.now < later(at, LOSS_WINDOW_MS));
}

/** Servers to keep in a domain of `servers`, one of `domains`. */
export function countReserve(draft: Draft, servers: number, domains: number): number {
  const least = Math.floor(servers / SERVERS_PER_SPARE);
  if (!draft.view.hasTraffic || !isEnabled(draft, 'reserve')) return least;
  const loadMs = Math.max(0, ...draft.view.engine.models.map((model) => model.loadMs));
  const expected = (draft.recentLosses.length * loadMs) / LOSS_WINDOW_MS / Math.max(1, domains);
  return Math.max(least, LEAST_WITH_TRAFFIC, Math.round(expected + Math.sqrt(expected)));
}

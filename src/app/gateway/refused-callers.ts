/**
 * Callers that this daemon refused and that are expected to return. A caller is recognised by the id of
 * its request, so only if it returns to the same daemon with the same id.
 */

import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';
import type { Clock } from '../../ports/runtime';

export interface RefusedCallers {
  noteRefused(requestId: string | undefined): void;
  hasReturned(requestId: string | undefined): boolean;
  prune(): void;
}

/** Longer than the longest `Retry-After` with its spread. */
const KEPT_MS = 10_000;

export function createRefusedCallers(clock: Clock): RefusedCallers {
  const refused = new Map<string, MonoTime>();

  return {
    noteRefused: (requestId) => {
      if (requestId === undefined) return;
      refused.delete(requestId);
      refused.set(requestId, later(clock.now(), KEPT_MS));
    },
    hasReturned: (requestId) => {
      const until = requestId === undefined ? undefined : refused.get(requestId);
      return until !== undefined && clock.now() < until;
    },
    prune: () => {
      const now = clock.now();
      // Entries are in order of their time.
      for (const [requestId, until] of refused) {
        if (now < until) break;
        refused.delete(requestId);
      }
    },
  };
}

/** Requests that were answered completely a short while ago; such a request does not crash its servers. */

import { later } from '../../../core/ids';
import type { Fingerprint, MonoTime } from '../../../core/ids';

const REMEMBER_MS = 60_000;
const MAX_REMEMBERED = 5_000;

export interface RecentCompletions {
  note(fingerprint: Fingerprint, now: MonoTime): void;
  has(fingerprint: Fingerprint, now: MonoTime): boolean;
  clear(): void;
}

export function createRecentCompletions(): RecentCompletions {
  const completedAt = new Map<Fingerprint, MonoTime>();
  return {
    note: (fingerprint, now) => {
      completedAt.delete(fingerprint);
      completedAt.set(fingerprint, now);
      const oldest = completedAt.size > MAX_REMEMBERED ? completedAt.keys().next() : undefined;
      if (oldest?.done === false) completedAt.delete(oldest.value);
    },
    has: (fingerprint, now) => {
      const at = completedAt.get(fingerprint);
      return at !== undefined && now < later(at, REMEMBER_MS);
    },
    clear: () => {
      completedAt.clear();
    },
  };
}

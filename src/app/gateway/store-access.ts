/**
 * Lets one collection at a time try a store that does not answer. Every call has its price, whether it
 * is answered or not, and one answer shows all collections that the store is back.
 */

import { firstValueFrom, race, Subject, timer } from 'rxjs';

import type { MonoTime } from '../../core/ids';

export interface StoreAccess {
  /** Whether the last call of some collection failed, and none has been answered since. */
  isAway(): boolean;
  noteFailure(collection: string): void;
  noteAnswer(now: MonoTime): void;
  /** When the store last answered; undefined before the first answer. */
  answeredAt(): MonoTime | undefined;
  /**
   * Resolves when the collection may try again: at once for the one that tries for all, for others once
   * the store has answered, or after `longestMs`.
   */
  turn(collection: string, longestMs: number): Promise<void>;
}

export function createStoreAccess(): StoreAccess {
  const answers = new Subject<void>();
  let trying: string | undefined;
  let answeredAt: MonoTime | undefined;
  return {
    isAway: () => trying !== undefined,
    noteFailure: (collection) => {
      trying ??= collection;
    },
    noteAnswer: (now) => {
      trying = undefined;
      answeredAt = now;
      answers.next();
    },
    answeredAt: () => answeredAt,
    turn: async (collection, longestMs) => {
      if (trying === undefined || trying === collection) return;
      await firstValueFrom(race(answers, timer(longestMs)));
    },
  };
}

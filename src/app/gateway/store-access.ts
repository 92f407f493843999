/**
 * Lets one collection at a time try a store that does not answer. Every call has its price, whether it
 * is answered or not, and one answer shows all collections that the store is back.
 */

import { firstValueFrom, race, Subject, timer } from 'rxjs';

export interface StoreAccess {
  /** Whether the last call of some collection failed, and none has been answered since. */
  isAway(): boolean;
  noteFailure(collection: string): void;
  noteAnswer(): void;
  /** Resolves when the collection may try again: at once for the one that tries for all. */
  turn(collection: string): Promise<void>;
}

/** A collection tries for itself after this at the latest, milliseconds. */
const LONGEST_TURN_MS = 3_000;

export function createStoreAccess(): StoreAccess {
  const answers = new Subject<void>();
  let trying: string | undefined;
  return {
    isAway: () => trying !== undefined,
    noteFailure: (collection) => {
      trying ??= collection;
    },
    noteAnswer: () => {
      trying = undefined;
      answers.next();
    },
    turn: async (collection) => {
      if (trying === undefined || trying === collection) return;
      await firstValueFrom(race(answers, timer(LONGEST_TURN_MS)));
    },
  };
}

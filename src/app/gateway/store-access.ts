/**
 * Lets one collection at a time try a store that does not answer. Every call has its price, whether it
 * is answered or not, and one answer shows all collections that the store is back.
 */

import { firstValueFrom, race, Subject, timer } from 'rxjs';
import type { Observable } from 'rxjs';

import type { MonoTime } from '../../core/ids';
import { FIRST_ERA } from '../../core/store-era';
import type { StoreEra } from '../../core/store-era';

/** An era of the store that was not known here before. */
export interface EraChange {
  readonly before: StoreEra;
  readonly era: StoreEra;
  /** The call that showed it, or the peer that told of it. */
  readonly source: string;
}

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
  waitForRetry(collection: string, longestMs: number): Promise<void>;
  /** The newest era of the store that is known here. */
  era(): StoreEra;
  /** What a call or a peer shows of the era, before anything is made of what else it says. */
  noteEra(era: StoreEra, source: string): void;
  /** Each newer era, within the call that notes it. */
  readonly eras: Observable<EraChange>;
}

export function createStoreAccess(): StoreAccess {
  const answers = new Subject<void>();
  let trying: string | undefined;
  let answeredAt: MonoTime | undefined;
  const eras = new Subject<EraChange>();
  let known = FIRST_ERA;
  return {
    eras,
    era: () => known,
    noteEra: (era, source) => {
      if (era <= known) return;
      const before = known;
      known = era;
      eras.next({ before, era, source });
    },
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
    waitForRetry: async (collection, longestMs) => {
      if (trying === undefined || trying === collection) return;
      await firstValueFrom(race(answers, timer(longestMs)));
    },
  };
}

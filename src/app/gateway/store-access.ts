/**
 * Coordinates retries to a store that does not answer: only one collection at a time probes it.
 * Every call costs the store something, answered or not, and one answer shows all collections that
 * it is back.
 */

import { firstValueFrom, race, Subject, timer } from 'rxjs';
import type { Observable } from 'rxjs';

import type { MonoTime } from '../../core/ids';
import { FIRST_ERA } from '../../core/store-era';
import type { StoreEra } from '../../core/store-era';

/** A newly observed era of the store. */
export interface EraChange {
  readonly before: StoreEra;
  readonly era: StoreEra;
  /** The call or the peer that reported it. */
  readonly source: string;
}

export interface StoreAccess {
  /** Whether the last call of some collection failed and none has succeeded since. */
  isAway(): boolean;
  noteFailure(collection: string): void;
  noteAnswer(now: MonoTime): void;
  /** When the store last answered; undefined before the first answer. */
  answeredAt(): MonoTime | undefined;
  /**
   * Resolves when the collection may try again: immediately for the probing collection, for others
   * once the store has answered or after `longestMs`.
   */
  waitForRetry(collection: string, longestMs: number): Promise<void>;
  /** The newest known era of the store. */
  era(): StoreEra;
  /**
   * Notes an era reported by a call or a peer. Must be called before the rest of the message is
   * processed.
   */
  noteEra(era: StoreEra, source: string): void;
  /** Each newer era, emitted synchronously by `noteEra`. */
  readonly eras: Observable<EraChange>;
}

export function createStoreAccess(): StoreAccess {
  const answers = new Subject<void>();
  let probingCollection: string | undefined;
  let answeredAt: MonoTime | undefined;
  const eras = new Subject<EraChange>();
  let newestEra = FIRST_ERA;
  return {
    eras,
    era: () => newestEra,
    noteEra: (era, source) => {
      if (era <= newestEra) return;
      const before = newestEra;
      newestEra = era;
      eras.next({ before, era, source });
    },
    isAway: () => probingCollection !== undefined,
    noteFailure: (collection) => {
      probingCollection ??= collection;
    },
    noteAnswer: (now) => {
      probingCollection = undefined;
      answeredAt = now;
      answers.next();
    },
    answeredAt: () => answeredAt,
    waitForRetry: async (collection, longestMs) => {
      if (probingCollection === undefined || probingCollection === collection) return;
      await firstValueFrom(race(answers, timer(longestMs)));
    },
  };
}

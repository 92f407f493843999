/**
 * Eras of the platform's store. In a drill the store comes back from an older copy: what it had acknowledged
 * since is gone, versions go back and are given out again. Each return begins a new era, which all of the
 * store's answers name.
 */

import type { Brand, FencingNumber } from './ids';
import { brandAs } from './ids';

export type StoreEra = Brand<number, 'StoreEra'>;

/** The era of a store that names none. */
export const FIRST_ERA = brandAs<StoreEra>(0);

/** A point in the history of the store. Revisions of different eras say nothing of each other. */
export interface StorePosition {
  readonly era: StoreEra;
  readonly revision: number;
}

/** Before anything was read. */
export const ORIGIN_POSITION: StorePosition = { era: FIRST_ERA, revision: 0 };

/** Whether `a` knows of more than `b`: of a later era, or of more in the same one. */
export function isLater(a: StorePosition, b: StorePosition): boolean {
  return a.era === b.era ? a.revision > b.revision : a.era > b.era;
}

export function latest(a: StorePosition, b: StorePosition): StorePosition {
  return isLater(b, a) ? b : a;
}

/** Fencing numbers that each era has to itself. */
const FENCING_PER_ERA = 2 ** 20;
/** Epochs of groups are made of fencing numbers, and must stay whole numbers. */
const LAST_ERA = 2 ** 17 - 1;

/** The era with this number; undefined where it is none. */
export function toStoreEra(value: number): StoreEra | undefined {
  const isEra = Number.isInteger(value) && value >= 0 && value <= LAST_ERA;
  return isEra ? brandAs<StoreEra>(value) : undefined;
}

/**
 * The number below all fencing numbers of an era. The row that counts them goes back with the store, so the
 * era is a part of each: none is given out twice, and each is above all of earlier eras.
 */
export function fencingFloor(era: StoreEra): FencingNumber {
  return brandAs<FencingNumber>(era * FENCING_PER_ERA);
}

/** Whether the fencing number was given out in this era. */
export function isOfEra(fencing: FencingNumber, era: StoreEra): boolean {
  return fencing >= fencingFloor(era) && fencing < fencingFloor(era) + FENCING_PER_ERA;
}

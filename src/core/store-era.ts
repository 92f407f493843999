/**
 * Eras of the platform's store. In a drill the store is restored from an older copy: writes
 * acknowledged since that copy are lost, and versions go back and are reused. Each restore begins a
 * new era, which all of the store's responses name.
 */

import type { Brand, FencingNumber } from './ids';
import { brandAs } from './ids';

/** The number of an era; increases with each restore. */
export type StoreEra = Brand<number, 'StoreEra'>;

/** The era of a store whose responses name none. */
export const FIRST_ERA = brandAs<StoreEra>(0);

/** A point in the history of the store. Revisions of different eras are not comparable. */
export interface StorePosition {
  readonly era: StoreEra;
  readonly revision: number;
}

/** The position before anything was read. */
export const ORIGIN_POSITION: StorePosition = { era: FIRST_ERA, revision: 0 };

/** Whether `a` is later than `b`: in a later era, or at a higher revision of the same one. */
export function isLater(a: StorePosition, b: StorePosition): boolean {
  return a.era === b.era ? a.revision > b.revision : a.era > b.era;
}

/** The later of two positions; `a` if they are equal. */
export function latest(a: StorePosition, b: StorePosition): StorePosition {
  return isLater(b, a) ? b : a;
}

/** Size of each era's own range of fencing numbers. */
const FENCING_PER_ERA = 2 ** 20;
/** Epochs of groups are computed from fencing numbers and must remain safe integers. */
const LAST_ERA = 2 ** 17 - 1;

/** Validates the number of an era; undefined if no era may have it. */
export function toStoreEra(value: number): StoreEra | undefined {
  const isEra = Number.isInteger(value) && value >= 0 && value <= LAST_ERA;
  return isEra ? brandAs<StoreEra>(value) : undefined;
}

/**
 * The number below all fencing numbers of an era. The row that counts them is restored with the
 * store, so each number contains its era: none is issued twice, and each is above all of earlier
 * eras.
 */
export function fencingFloor(era: StoreEra): FencingNumber {
  return brandAs<FencingNumber>(era * FENCING_PER_ERA);
}

/** Whether the fencing number was issued in this era. */
export function isOfEra(fencing: FencingNumber, era: StoreEra): boolean {
  return fencing >= fencingFloor(era) && fencing < fencingFloor(era) + FENCING_PER_ERA;
}

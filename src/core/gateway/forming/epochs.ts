/** Epochs of groups: those of a later leader are greater, as the fencing number of its lease is. */

import { brandAs } from '../../ids';
import type { Epoch } from '../../ids';

/** Epochs that may be assigned under one fencing number; the holder must then acquire the lease again. */
export const EPOCHS_PER_LEASE = 65_536;

/** The n-th epoch that the holder of the lease assigns. */
export function epochOf(fencing: number, n: number): Epoch {
  return brandAs<Epoch>(fencing * EPOCHS_PER_LEASE + n);
}

/** Whether the holder of the lease with this fencing number assigned the epoch. */
export function isEpochOf(fencing: number, epoch: Epoch): boolean {
  return Math.floor(epoch / EPOCHS_PER_LEASE) === fencing;
}

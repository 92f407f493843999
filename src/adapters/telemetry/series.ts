/** Time series of one metric, by label set. */

import { compareText } from '../../utils/common';
import type { Labels } from '../../ports/telemetry';

/** One label set and its value. */
export interface Entry<T> {
  readonly labels: Labels;
  value: T;
}

/** Entries by a key made of the sorted labels. */
export type Series<T> = Map<string, Entry<T>>;

/** Label sets per metric; further ones share one overflow entry, which bounds memory. */
const MAX_LABEL_SETS = 2000;
const OVERFLOW: Labels = { overflow: 'true' };

function keyOf(labels: Labels): string {
  return Object.keys(labels)
    .sort(compareText)
    .map((name) => `${name}=${labels[name] ?? ''}`)
    .join('\0');
}

/** The entry of a label set; `create` makes the value of a new one. */
export function entryOf<T>(series: Series<T>, labels: Labels, create: () => T): Entry<T> {
  const key = keyOf(labels);
  const existing = series.get(key);
  if (existing !== undefined) return existing;
  if (series.size >= MAX_LABEL_SETS && labels !== OVERFLOW) {
    return entryOf(series, OVERFLOW, create);
  }
  const entry = { labels, value: create() };
  series.set(key, entry);
  return entry;
}

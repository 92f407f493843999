/** Values by label set: what one metric holds. */

import { compareText } from '../../utils/common';
import type { Labels } from '../../ports/telemetry';

/** One label set and what belongs to it. */
export interface Entry<T> {
  readonly labels: Labels;
  value: T;
}

/** By a text made of the sorted labels. */
export type Series<T> = Map<string, Entry<T>>;

/** Label sets that one metric may have; more are counted as the last one, so that memory stays bounded. */
const MAX_LABEL_SETS = 2000;
const OVERFLOW: Labels = { overflow: 'true' };

function keyOf(labels: Labels): string {
  return Object.keys(labels)
    .sort(compareText)
    .map((name) => `${name}=${labels[name] ?? ''}`)
    .join('\0');
}

/** The entry of a label set; made by `create` where there is none. */
export function entryOf<T>(series: Series<T>, labels: Labels, create: () => T): Entry<T> {
  const key = keyOf(labels);
  const known = series.get(key);
  if (known !== undefined) return known;
  if (series.size >= MAX_LABEL_SETS && labels !== OVERFLOW) {
    return entryOf(series, OVERFLOW, create);
  }
  const entry = { labels, value: create() };
  series.set(key, entry);
  return entry;
}

/** JSON merge patches (RFC 7396). */

import type { Json } from '../../core/json';
import { isRecord } from '../../utils/is';

type JsonRecord = Readonly<Record<string, Json>>;

/** Merges the fields of `patch` into `target`; a field that is null in `patch` is removed. */
export function mergePatch(target: Json | undefined, patch: Json): Json {
  if (!isRecord(patch)) return patch;
  const merged = new Map(Object.entries(isRecord(target) ? (target as JsonRecord) : {}));
  for (const [field, value] of Object.entries(patch as JsonRecord)) {
    if (value === null) merged.delete(field);
    else merged.set(field, mergePatch(merged.get(field), value));
  }
  return Object.fromEntries(merged);
}

/** JSON values, as used in rows, configuration documents and gossip. */

/** Any JSON value. */
export type Json =
  null | boolean | number | string | readonly Json[] | { readonly [k: string]: Json };

/** Serialises a value with object keys in sorted order: equal values have equal texts. */
export function canonicalText(value: Json): string {
  return JSON.stringify(value, (_, part: Json) => {
    if (part === null || typeof part !== 'object' || Array.isArray(part)) return part;
    return Object.fromEntries(Object.entries(part).sort(([a], [b]) => (a < b ? -1 : 1)));
  });
}

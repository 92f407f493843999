/** JSON values, as rows, documents and gossip hold them. */

export type Json =
  null | boolean | number | string | readonly Json[] | { readonly [k: string]: Json };

/** The text of a value with object keys in order: equal values have equal texts. */
export function canonicalText(value: Json): string {
  return JSON.stringify(value, (_, part: Json) => {
    if (part === null || typeof part !== 'object' || Array.isArray(part)) return part;
    return Object.fromEntries(Object.entries(part).sort(([a], [b]) => (a < b ? -1 : 1)));
  });
}

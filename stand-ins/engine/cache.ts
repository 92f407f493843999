/** A prefix cache of fixed size; its events come late and with gaps. */

import { hashParts } from '../../src/utils/common';

/** Prompts are cached in blocks of this many characters. */
const BLOCK_CHARS = 64;
const DIGEST_CHARS = 16;
/** Every so many events one is lost. */
const GAP_EVERY = 7;
const EVENTS_KEPT = 10_000;

export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'evicted';
  /** Digest of the prefix: each block hashed together with the digest before it. */
  readonly prefix: string;
}

export interface CacheEvents {
  readonly events: readonly CacheEvent[];
  readonly last: number;
}

export interface PrefixCache {
  /** Stores a prompt; returns how many of its characters were held already. */
  use(salt: string, prompt: string): number;
  eventsAfter(seq: number): CacheEvents;
  clear(): void;
}

export interface PrefixCacheOptions {
  readonly capacityBlocks?: number;
  /** How late events come, milliseconds. */
  readonly lagMs?: number;
}

/** Digests of the prefixes of a prompt, block by block; the salt keeps organisations apart. */
export function prefixesOf(salt: string, prompt: string): readonly string[] {
  const prefixes: string[] = [];
  let digest = hashParts(salt).slice(0, DIGEST_CHARS);
  for (let at = 0; at + BLOCK_CHARS <= prompt.length; at += BLOCK_CHARS) {
    digest = hashParts(digest, prompt.slice(at, at + BLOCK_CHARS)).slice(0, DIGEST_CHARS);
    prefixes.push(digest);
  }
  return prefixes;
}

export function createPrefixCache({
  capacityBlocks = 4096,
  lagMs = 200,
}: PrefixCacheOptions = {}): PrefixCache {
  /** In order of last use. */
  const held = new Set<string>();
  let events: (CacheEvent & { readonly at: number })[] = [];
  let seq = 0;

  const emit = (kind: CacheEvent['kind'], prefix: string): void => {
    seq += 1;
    if (seq % GAP_EVERY === 0) return;
    events.push({ seq, kind, prefix, at: Date.now() });
    if (events.length > EVENTS_KEPT) events = events.slice(-EVENTS_KEPT / 2);
  };

  const store = (prefix: string): void => {
    const known = held.delete(prefix);
    held.add(prefix);
    if (!known) emit('stored', prefix);
    const [oldest] = held;
    if (held.size <= capacityBlocks || oldest === undefined) return;
    held.delete(oldest);
    emit('evicted', oldest);
  };

  return {
    use: (salt, prompt) => {
      const prefixes = prefixesOf(salt, prompt);
      const missing = prefixes.findIndex((prefix) => !held.has(prefix));
      prefixes.forEach(store);
      return (missing === -1 ? prefixes.length : missing) * BLOCK_CHARS;
    },
    eventsAfter: (after) => {
      const due = Date.now() - lagMs;
      const ready = events.filter((item) => item.seq > after && item.at <= due);
      return {
        events: ready.map(({ seq: n, kind, prefix }) => ({ seq: n, kind, prefix })),
        last: ready.at(-1)?.seq ?? after,
      };
    },
    clear: () => {
      held.clear();
      events = [];
    },
  };
}

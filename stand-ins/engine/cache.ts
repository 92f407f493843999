/** LRU prefix cache whose events are delayed and have gaps. */

import { hashParts } from '../../src/utils/common';

/** Prompts are cached in blocks of this many characters. */
const BLOCK_CHARS = 64;
const DIGEST_CHARS = 16;
/** One in this many events is dropped. */
const GAP_EVERY = 7;
const EVENTS_KEPT = 10_000;

/** A change of the cache. A gap in `seq` is a lost event. */
export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'evicted';
  /** Digest of the prefix: hash of its last block and the digest of the blocks before. */
  readonly prefix: string;
}

export interface CacheEvents {
  readonly events: readonly CacheEvent[];
  readonly last: number;
}

export interface PrefixCache {
  /** Caches a prompt; returns how many of its characters were cached already. */
  use(salt: string, prompt: string): number;
  eventsAfter(seq: number): CacheEvents;
  clear(): void;
}

export interface PrefixCacheOptions {
  readonly capacityBlocks?: number;
  /** Delay of events, milliseconds. */
  readonly lagMs?: number;
}

/** Digests of all block-aligned prefixes; the salt separates the caches of organisations. */
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
  /** Least recently used first. */
  const cached = new Set<string>();
  let events: (CacheEvent & { readonly at: number })[] = [];
  let seq = 0;

  const emit = (kind: CacheEvent['kind'], prefix: string): void => {
    seq += 1;
    if (seq % GAP_EVERY === 0) return;
    events.push({ seq, kind, prefix, at: Date.now() });
    if (events.length > EVENTS_KEPT) events = events.slice(-EVENTS_KEPT / 2);
  };

  const store = (prefix: string): void => {
    const isCached = cached.delete(prefix);
    cached.add(prefix);
    if (!isCached) emit('stored', prefix);
    const [oldest] = cached;
    if (cached.size <= capacityBlocks || oldest === undefined) return;
    cached.delete(oldest);
    emit('evicted', oldest);
  };

  return {
    use: (salt, prompt) => {
      const prefixes = prefixesOf(salt, prompt);
      const missing = prefixes.findIndex((prefix) => !cached.has(prefix));
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
      cached.clear();
      events = [];
    },
  };
}

/** The store of gossip entries, and its comparison with another daemon's store by digests. */

import type { EpochTime } from '../ids';
import { hashText, mix } from './hash';
import type { DigestMessage, Entry, LinesMessage } from './types';

/** Entries by `entryId`. */
export type EntryStore = ReadonlyMap<string, Entry>;

const BUCKETS = 64;
/** Entries this close to their expiry are not compared, since clocks differ. */
const EXPIRY_MARGIN_MS = 2000;
/** Most entries listed in one message, unless its first bucket alone has more. */
const MAX_LINES = 128;
const ENTRY_OVERHEAD_BYTES = 60;
const MAX_ENTRIES = 50_000;

/** The key of an entry in the store. */
export function entryId(entry: Pick<Entry, 'topic' | 'key' | 'origin'>): string {
  return `${entry.topic}\n${entry.key}\n${entry.origin}`;
}

/** Approximate size of an entry in a message, bytes. */
export function entryBytes(entry: Entry): number {
  const { topic, key, origin, value } = entry;
  return (
    ENTRY_OVERHEAD_BYTES + topic.length + key.length + origin.length + JSON.stringify(value).length
  );
}

/** Whether the store has neither this version nor a newer one, and may take it. */
export function isNewer(store: EntryStore, entry: Entry, epoch: EpochTime): boolean {
  if (entry.expiresAt <= epoch) return false;
  const current = store.get(entryId(entry));
  if (!current) return store.size < MAX_ENTRIES;
  return current.version < entry.version;
}

/** The store with entries added or replaced. */
export function withEntries(store: EntryStore, entries: readonly Entry[]): EntryStore {
  const changed = new Map(store);
  for (const entry of entries) changed.set(entryId(entry), entry);
  return changed;
}

function hasExpired(store: EntryStore, epoch: EpochTime): boolean {
  for (const entry of store.values()) if (entry.expiresAt <= epoch) return true;
  return false;
}

/** The store without expired entries; the same object if none has expired. */
export function sweep(store: EntryStore, epoch: EpochTime): EntryStore {
  if (!hasExpired(store, epoch)) return store;
  return new Map([...store].filter(([, entry]) => entry.expiresAt > epoch));
}

interface HashedEntry {
  readonly entry: Entry;
  readonly hash: number;
  readonly bucket: number;
}

function hashEntries(store: EntryStore, salt: number, epoch: EpochTime): HashedEntry[] {
  const hashed: HashedEntry[] = [];
  for (const [id, entry] of store) {
    if (entry.expiresAt <= epoch + EXPIRY_MARGIN_MS) continue;
    const hash = mix(hashText(id, salt));
    hashed.push({ entry, hash, bucket: hash % BUCKETS });
  }
  return hashed;
}

function hashVersion(hash: number, version: number): number {
  return mix(hash ^ mix(version >>> 0) ^ Math.floor(version / 2 ** 32));
}

/** One hash per bucket: the exclusive or of the hashes of its entries. */
export function digestOf(store: EntryStore, salt: number, epoch: EpochTime): DigestMessage {
  const buckets = new Array<number>(BUCKETS).fill(0);
  for (const { entry, hash, bucket } of hashEntries(store, salt, epoch)) {
    buckets[bucket] = ((buckets[bucket] ?? 0) ^ hashVersion(hash, entry.version)) >>> 0;
  }
  return { kind: 'digest', salt, buckets };
}

/**
 * The answer to a digest: the lines of buckets that differ, as many as one message holds, starting
 * with bucket `first`. Undefined if all buckets are equal.
 */
export function answerDigest(
  store: EntryStore,
  digest: DigestMessage,
  first: number,
  epoch: EpochTime,
): LinesMessage | undefined {
  const ownDigest = digestOf(store, digest.salt, epoch);
  const hashed = hashEntries(store, digest.salt, epoch);
  const buckets: number[] = [];
  const lines: HashedEntry[] = [];
  for (let i = 0; i < BUCKETS; i += 1) {
    const bucket = (first + i) % BUCKETS;
    if (ownDigest.buckets[bucket] === digest.buckets[bucket]) continue;
    const inBucket = hashed.filter((line) => line.bucket === bucket);
    if (buckets.length > 0 && lines.length + inBucket.length > MAX_LINES) break;
    buckets.push(bucket);
    lines.push(...inBucket);
  }
  if (buckets.length === 0) return undefined;
  return {
    kind: 'lines',
    salt: digest.salt,
    buckets,
    ids: lines.map((line) => line.hash),
    versions: lines.map((line) => line.entry.version),
  };
}

/** Entries that either of two stores lacks, in some buckets. */
export interface Difference {
  /** Entries that the other store lacks. */
  readonly missingThere: readonly Entry[];
  /** Salted ids of the entries that this store lacks. */
  readonly missingHere: readonly number[];
}

/** Compares the store with the lines of another one. */
export function compareLines(store: EntryStore, lines: LinesMessage, epoch: EpochTime): Difference {
  const versions = new Map(lines.ids.map((id, i) => [id, lines.versions[i] ?? 0] as const));
  const missingThere: Entry[] = [];
  const known = new Set<number>();
  for (const { entry, hash, bucket } of hashEntries(store, lines.salt, epoch)) {
    if (!lines.buckets.includes(bucket)) continue;
    const version = versions.get(hash);
    if (version !== undefined && version <= entry.version) known.add(hash);
    if (version === undefined || version < entry.version) missingThere.push(entry);
  }
  return { missingThere, missingHere: lines.ids.filter((id) => !known.has(id)) };
}

/** The entries with these salted ids, unless expired or about to expire. */
export function entriesBySaltedId(
  store: EntryStore,
  salt: number,
  ids: readonly number[],
  epoch: EpochTime,
): readonly Entry[] {
  const wanted = new Set(ids);
  return hashEntries(store, salt, epoch)
    .filter(({ hash }) => wanted.has(hash))
    .map(({ entry }) => entry);
}

/**
 * Strikes and complete answers as daemons report them to each other. Each is reported for several messages,
 * so that a lost one does not matter; reports that arrive twice are applied once.
 */

import { brandAs, later } from '../../../core/ids';
import type { DomainId, EpochTime, Fingerprint, GroupId, MonoTime } from '../../../core/ids';
import type { Strike } from '../../../core/retry/quarantine-types';

/**
 * A strike as sent between daemons; ages and the remaining time in milliseconds, 0 if it was withdrawn. Last, if
 * there are any: the parts of its prompt that may be at fault.
 */
export type StrikeUpdate = [
  fingerprint: Fingerprint,
  group: GroupId,
  domain: DomainId,
  isSuspect: boolean,
  runMs: number,
  ageMs: number,
  remainingMs: number,
  parts?: Fingerprint[] | undefined,
];

/** A request or part of prompts that was answered completely, and how long ago, milliseconds. */
export type ClearUpdate = [fingerprint: Fingerprint, ageMs: number];

export interface StrikeReport {
  readonly strikes: StrikeUpdate[];
  readonly cleared: ClearUpdate[];
}

/** How long peers are informed of a strike or a complete answer. */
const REPORT_MS = 3_000;
/** Interval at which a leader repeats everything that it still reports. */
const REPEAT_ALL_MS = 1_000;
/** Longer than any report is under way or repeated. */
const REMEMBER_MS = 30_000;
const MAX_PER_REPORT = 64;
/** Prompts name their parts, so that a caller could fill the messages of all daemons. */
const MAX_PARTS_PER_REPORT = 256;
/** Reports of one complete answer differ in its time by less than this. */
const SAME_CLEAR_MS = 300;

type Item =
  | { readonly kind: 'strike'; readonly strike: Strike }
  | { readonly kind: 'clear'; readonly fingerprint: Fingerprint; readonly at: MonoTime };

interface Entry {
  readonly item: Item;
  /** When it was added here. */
  readonly at: MonoTime;
  readonly isOwn: boolean;
  /** Whether a report of this daemon's own strikes contained it. */
  isReported: boolean;
  /** Whether a leader has published it. */
  isPublished: boolean;
}

export interface StrikeSharing {
  /** Adds a strike; false if it was known. A withdrawn strike has `until` equal to `at`. */
  addStrike(strike: Strike, isOwn: boolean): boolean;
  /** Adds a complete answer; false if that was known. */
  addClear(fingerprint: Fingerprint, at: MonoTime, isOwn: boolean): boolean;
  /** When the request was last answered completely, if recently. */
  clearedAt(fingerprint: Fingerprint): MonoTime | undefined;
  /** What this daemon saw, for its peers; undefined if there is nothing. */
  report(now: MonoTime): StrikeReport | undefined;
  /** What any daemon saw: what is new since the last call, and everything at intervals. */
  reportOfAll(now: MonoTime): StrikeReport | undefined;
  prune(now: MonoTime): void;
}

/** Strikes use the monotonic clock for both of their clocks, as they travel with their ages. */
export function toStrike(
  [fingerprint, group, domain, suspect, ageMs, agoMs, remainingMs, parts]: StrikeUpdate,
  now: MonoTime,
): Strike {
  const at = brandAs<EpochTime>(now - agoMs);
  const until = remainingMs > 0 ? brandAs<EpochTime>(now + remainingMs) : at;
  return { fingerprint, ...(parts && { parts }), group, domain, suspect, ageMs, at, until };
}

function toUpdate({ at, until, ...strike }: Strike, now: MonoTime): StrikeUpdate {
  const { fingerprint, parts, group, domain, suspect, ageMs } = strike;
  const agoMs = Math.max(0, now - at);
  const remainingMs = until > at ? Math.max(0, until - now) : 0;
  const sentParts = parts && remainingMs > 0 ? [...parts] : undefined;
  return [fingerprint, group, domain, suspect, ageMs, agoMs, remainingMs, sentParts];
}

function countParts({ item }: Entry): number {
  return item.kind === 'strike' ? (item.strike.parts?.length ?? 0) : 0;
}

/** As many entries as one report may have: those that were never sent first, then the latest others. */
function chooseEntries(
  candidates: readonly Entry[],
  wasSent: (entry: Entry) => boolean,
): readonly Entry[] {
  const unsent = candidates.filter((entry) => !wasSent(entry));
  const sent = candidates.filter(wasSent);
  const chosen: Entry[] = [];
  let parts = 0;
  for (const entry of [...unsent, ...sent.reverse()]) {
    parts += countParts(entry);
    if (chosen.length === MAX_PER_REPORT || parts > MAX_PARTS_PER_REPORT) break;
    chosen.push(entry);
  }
  return chosen;
}

function toReport(entries: readonly Entry[], now: MonoTime): StrikeReport | undefined {
  if (entries.length === 0) return undefined;
  return {
    strikes: entries.flatMap(({ item }) =>
      item.kind === 'strike' ? [toUpdate(item.strike, now)] : [],
    ),
    cleared: entries.flatMap(({ item }) =>
      item.kind === 'clear' ? [[item.fingerprint, Math.max(0, now - item.at)]] : [],
    ),
  };
}

export function createStrikeSharing(now: () => MonoTime): StrikeSharing {
  let entries: readonly Entry[] = [];
  /** When strikes were first received, by request, group and whether withdrawn. */
  const seen = new Map<string, MonoTime>();
  const clearedAt = new Map<Fingerprint, MonoTime>();
  let repeatAllAt = now();

  const add = (item: Item, isOwn: boolean): void => {
    entries = [...entries, { item, at: now(), isOwn, isReported: false, isPublished: false }];
  };

  const isDue = ({ at }: Entry, time: MonoTime): boolean => time < later(at, REPORT_MS);

  return {
    addStrike: (strike, isOwn) => {
      const state = strike.until > strike.at ? 'made' : 'withdrawn';
      const key = `${strike.fingerprint} ${strike.group} ${state}`;
      if (seen.has(key)) return false;
      seen.set(key, now());
      add({ kind: 'strike', strike }, isOwn);
      return true;
    },
    addClear: (fingerprint, at, isOwn) => {
      const known = clearedAt.get(fingerprint);
      if (known !== undefined && at <= later(known, SAME_CLEAR_MS)) return false;
      clearedAt.set(fingerprint, at);
      add({ kind: 'clear', fingerprint, at }, isOwn);
      return true;
    },
    clearedAt: (fingerprint) => clearedAt.get(fingerprint),
    report: (time) => {
      const own = entries.filter((entry) => entry.isOwn && isDue(entry, time));
      const chosen = chooseEntries(own, ({ isReported }) => isReported);
      for (const entry of chosen) entry.isReported = true;
      return toReport(chosen, time);
    },
    reportOfAll: (time) => {
      const isRepeated = time >= repeatAllAt;
      if (isRepeated) repeatAllAt = later(time, REPEAT_ALL_MS);
      const due = entries.filter((entry) => isDue(entry, time));
      const candidates = isRepeated ? due : due.filter(({ isPublished }) => !isPublished);
      const chosen = chooseEntries(candidates, ({ isPublished }) => isPublished);
      for (const entry of chosen) entry.isPublished = true;
      return toReport(chosen, time);
    },
    prune: (time) => {
      entries = entries.filter((entry) => isDue(entry, time));
      for (const [key, at] of seen) if (time >= later(at, REMEMBER_MS)) seen.delete(key);
      for (const [key, at] of clearedAt) {
        if (time >= later(at, REMEMBER_MS)) clearedAt.delete(key);
      }
    },
  };
}

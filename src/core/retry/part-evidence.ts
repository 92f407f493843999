/**
 * Evidence that a part of prompts crashes the groups that answer them: groups that were lost under several
 * requests with that part, and none of whose answers has been complete since.
 *
 * Load pattern: requests of many callers, no two alike, have one fatal part in common, beside parts that sound
 * requests have as well. All that ran on a lost group is suspect, so a part counts only if it explains several
 * losses; one that many requests share is passed over for rarer ones that explain nearly as much.
 */

import type { Fingerprint, GroupId, MonoTime } from '../ids';
import { countInSequence } from './loss-sequence';

/** A request that ran on a group when it was lost, with the parts that it may share with others. */
export interface LostRun {
  readonly request: Fingerprint;
  readonly parts: readonly Fingerprint[];
  /** Time since it was sent, milliseconds. */
  readonly ageMs: number;
  /** Whether it was sent as a suspect, as in a trial. */
  readonly suspect?: boolean;
}

interface Loss {
  readonly at: MonoTime;
  readonly runs: Map<Fingerprint, LostRun>;
}

/** State of the evidence, updated in place. */
export interface PartEvidence {
  /** The group that was lost last comes last. */
  readonly losses: Map<GroupId, Loss>;
  /** By part: the latest moment up to which its complete answers clear it. */
  readonly soundUntil: Map<Fingerprint, MonoTime>;
}

/** What speaks against a part. */
export interface SuspectPart {
  /** Lost groups, in the order of their losses. */
  readonly groups: readonly GroupId[];
  readonly requests: ReadonlySet<Fingerprint>;
  readonly latestAt: MonoTime;
}

/** Several requests in sequence, as for a whole request; a single one may be the cause itself. */
const MIN_REQUESTS = 2;
const MIN_IN_SEQUENCE = 3;
/** Losses beside each other count as well, if there are as many as this. */
const MIN_GROUPS = 5;
/** A part with this many lost requests for each group, */
const MIN_COMMON_PER_LOSS = 2;
/** and with this many times those of rarer parts, is passed over for them, */
const COMMON_RATIO = 2;
/** if these explain at least this share of its losses. */
const MIN_EXPLAINED_SHARE = 2 / 3;
const MAX_LOSSES = 100;
const MAX_RUNS_OF_LOSS = 100;
const MAX_SOUND_PARTS = 5_000;

export function createPartEvidence(): PartEvidence {
  return { losses: new Map(), soundUntil: new Map() };
}

function deleteOldest<K>(map: Map<K, unknown>, maxSize: number): void {
  const oldest = map.size > maxSize ? map.keys().next() : undefined;
  if (oldest?.done === false) map.delete(oldest.value);
}

/** Records a request that was lost with its group. */
export function addLostRun(
  { losses }: PartEvidence,
  group: GroupId,
  at: MonoTime,
  run: LostRun,
): void {
  if (run.parts.length === 0) return;
  const loss = losses.get(group) ?? { at, runs: new Map<Fingerprint, LostRun>() };
  losses.set(group, loss);
  if (loss.runs.size < MAX_RUNS_OF_LOSS) loss.runs.set(run.request, run);
  deleteOldest(losses, MAX_LOSSES);
}

/**
 * Records a complete answer of a request with the part. `soundAt`: when that answer began, or a later moment at
 * which the part is known to be sound.
 */
export function noteSound(
  { soundUntil }: PartEvidence,
  part: Fingerprint,
  soundAt: MonoTime,
): void {
  const known = soundUntil.get(part);
  if (known !== undefined && known >= soundAt) return;
  soundUntil.delete(part);
  soundUntil.set(part, soundAt);
  deleteOldest(soundUntil, MAX_SOUND_PARTS);
}

/** Losses up to then do not count against the part. */
function countsAgainst({ soundUntil }: PartEvidence, part: Fingerprint, { at }: Loss): boolean {
  return at > (soundUntil.get(part) ?? -Infinity);
}

/** A loss that counts against a part, with the age of its latest run there. */
export interface PartLoss {
  readonly group: GroupId;
  readonly at: MonoTime;
  readonly ageMs: number;
}

type PartTest = (part: Fingerprint) => boolean;

const NEVER: PartTest = () => false;

/** Which losses are meant, all by default. */
export interface LossFilter {
  /** Whether another part of the runs that were lost explains the loss. */
  readonly explains?: PartTest;
  readonly since?: number;
  /** Only runs that were sent as suspects. */
  readonly suspectsOnly?: boolean;
}

/** Losses that count against the part. */
export function lossesOf(
  evidence: PartEvidence,
  part: Fingerprint,
  { explains = NEVER, since = -Infinity, suspectsOnly = false }: LossFilter = {},
): readonly PartLoss[] {
  const isExplained = ({ runs }: Loss): boolean =>
    [...runs.values()].some(({ parts }) => parts.some((one) => one !== part && explains(one)));
  return [...evidence.losses].flatMap(([group, loss]) => {
    if (loss.at < since || !countsAgainst(evidence, part, loss)) return [];
    const ages = [...loss.runs.values()].flatMap(({ parts, ageMs, suspect = false }) =>
      parts.includes(part) && (suspect || !suspectsOnly) ? [ageMs] : [],
    );
    if (ages.length === 0 || isExplained(loss)) return [];
    return [{ group, at: loss.at, ageMs: Math.min(...ages) }];
  });
}

/** Parts that any loss counts against. */
export function partsInDoubt(evidence: PartEvidence): ReadonlySet<Fingerprint> {
  return new Set(recordParts(evidence, NEVER).keys());
}

/** Whether a complete answer with the part is known. */
export function wasSound({ soundUntil }: PartEvidence, part: Fingerprint): boolean {
  return soundUntil.has(part);
}

/** Losses and lost requests of one part. */
interface PartRecord {
  readonly losses: PartLoss[];
  readonly requests: Set<Fingerprint>;
}

/** Collects what counts against each part. */
function recordParts(evidence: PartEvidence, isConfirmed: PartTest): Map<Fingerprint, PartRecord> {
  const records = new Map<Fingerprint, PartRecord>();
  for (const [group, loss] of evidence.losses) {
    const isAnyConfirmed = [...loss.runs.values()].some(({ parts }) => parts.some(isConfirmed));
    const youngest = new Map<Fingerprint, number>();
    for (const { request, parts, ageMs } of loss.runs.values()) {
      for (const part of parts) {
        if (!countsAgainst(evidence, part, loss)) continue;
        if (isAnyConfirmed && !isConfirmed(part)) continue;
        const record = records.get(part) ?? { losses: [], requests: new Set<Fingerprint>() };
        records.set(part, record);
        record.requests.add(request);
        youngest.set(part, Math.min(ageMs, youngest.get(part) ?? Infinity));
      }
    }
    for (const [part, ageMs] of youngest)
      records.get(part)?.losses.push({ group, at: loss.at, ageMs });
  }
  return records;
}

function toSuspect({ losses, requests }: PartRecord): SuspectPart | undefined {
  const isLikely = losses.length >= MIN_GROUPS || countInSequence(losses) >= MIN_IN_SEQUENCE;
  if (requests.size < MIN_REQUESTS || !isLikely) return undefined;
  const [latest] = losses.toSorted((a, b) => b.at - a.at);
  const groups = losses.map(({ group }) => group);
  return latest && { groups, requests, latestAt: latest.at };
}

function requestsPerLoss({ groups, requests }: SuspectPart): number {
  return requests.size / groups.length;
}

/**
 * Whether all requests with the rarer part have the common one as well, of which many more are lost with each
 * group. A request with a fatal part ends a group itself, so few others with that part are lost with it.
 */
function isRarerWithin(rare: SuspectPart, common: SuspectPart): boolean {
  return (
    requestsPerLoss(common) >= MIN_COMMON_PER_LOSS &&
    requestsPerLoss(common) >= COMMON_RATIO * requestsPerLoss(rare) &&
    [...rare.requests].every((request) => common.requests.has(request))
  );
}

/** Whether rarer parts of its requests explain nearly all losses of a common part. */
function isExplainedByRarer(common: SuspectPart, all: readonly SuspectPart[]): boolean {
  const rarer = all.filter((one) => isRarerWithin(one, common));
  const explained = new Set(rarer.flatMap(({ groups }) => groups));
  const count = common.groups.filter((group) => explained.has(group)).length;
  return count >= MIN_EXPLAINED_SHARE * common.groups.length;
}

/**
 * Parts that likely crash the groups that answer them. Losses with a part for which `isConfirmed` holds count
 * against no other part.
 */
export function findSuspectParts(
  evidence: PartEvidence,
  isConfirmed: PartTest = NEVER,
): ReadonlyMap<Fingerprint, SuspectPart> {
  const suspects = new Map<Fingerprint, SuspectPart>();
  for (const [part, record] of recordParts(evidence, isConfirmed)) {
    const suspect = toSuspect(record);
    if (suspect) suspects.set(part, suspect);
  }
  const all = [...suspects.values()];
  return new Map([...suspects].filter(([, suspect]) => !isExplainedByRarer(suspect, all)));
}

/** Forgets losses before `since`, and complete answers once no loss is known; true if it forgot a loss. */
export function pruneEvidence({ losses, soundUntil }: PartEvidence, since: MonoTime): boolean {
  const before = losses.size;
  for (const [group, { at }] of losses) if (at < since) losses.delete(group);
  if (losses.size === 0) soundUntil.clear();
  return losses.size < before;
}

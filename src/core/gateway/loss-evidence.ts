/**
 * Judges by the answers to requests for reports which members of a group are lost.
 *
 * Load pattern: all servers, a domain or a zone pause for a second; the leader's link is full of other bytes;
 * its process does not run. All of these look like lost servers from one place, and ending sound groups costs
 * loads of weights. A server that has ended, as peers confirm, is lost at once. One that is silent is lost only
 * if others answer as usual in the same time, twice; many members of a group, or all of them, only after two
 * seconds, as they may share a pause, and none of a group's members can be used before it answers.
 */

import { later } from '../ids';
import type { InstanceId, MonoTime } from '../ids';

/**
 * How a server answered a request for its report.
 *
 * - `answered`: with a report, `ms` after it was asked.
 * - `ended`: its port refuses connections, also those of peers, or another process answers there.
 * - `silent`: nothing of use came within `ms`.
 */
export interface Answer {
  readonly kind: 'answered' | 'ended' | 'silent';
  readonly ms: number;
}

/** The answer of a server that is asked for comparison. */
export interface ReferenceAnswer extends Answer {
  /** It is as far from the group as any server: in another zone, or in another domain if there is one zone. */
  readonly isFar: boolean;
}

/** Answers since the members of a group and some other servers were asked together. */
export interface Look {
  /** Answers of the members that have not ended, by id. */
  readonly members: ReadonlyMap<InstanceId, Answer>;
  readonly references: readonly ReferenceAnswer[];
  /** Time since then in which this process ran, milliseconds. */
  readonly ranMs: number;
  /** Minimum time of the look, milliseconds. */
  readonly minMs: number;
}

/**
 * - `open`: answers may still come.
 * - `answered`: all members did.
 * - `silent`: some did not although others answered as usual.
 * - `inconclusive`: others took long as well, or did not answer.
 */
export type LookResult = 'open' | 'answered' | 'silent' | 'inconclusive';

/** A sound server answers in about a millisecond; within this time also on a busy link. */
const MIN_LOOK_MS = 250;
/** Slower answers are not usual on any link: a report takes two round trips, as each has a new connection. */
const TOO_SLOW_MS = 500;
/** A server that needs this many times as long as the slowest of the others is silent. */
const SLOWEST_FACTOR = 4;
/** After this time a look without enough answers is given up, and all are asked again. */
const MAX_LOOK_MS = 1_000;
/** Looks in which a member must be silent while others of its group answer. */
const MIN_SILENT_LOOKS = 2;
/** Silence of a whole group, or many members, that shows a loss: longer than usual pauses of hosts. */
const SHARED_SILENCE_MS = 2_000;

const hasAnswered = ({ kind }: Answer): boolean => kind === 'answered';
const isSilent = ({ kind }: Answer): boolean => kind === 'silent';

/** Whether only one member in four, or a single one, is silent: many together may share a pause. */
function areFewSilent(members: Look['members']): boolean {
  const silent = [...members.values()].filter(isSilent).length;
  return silent < members.size && silent <= Math.max(1, Math.floor(members.size / 4));
}

/**
 * Share of the references that may be silent or slow themselves. That others of its group answer shows more of a
 * silent member than references do, so half of these may be lost or pause, as in a domain that is dark.
 */
const MAX_UNUSUAL_SHARE = { fewSilent: 1 / 2, manySilent: 1 / 4 } as const;

function maxUnusual(members: Look['members'], references: readonly Answer[]): number {
  const share = MAX_UNUSUAL_SHARE[areFewSilent(members) ? 'fewSilent' : 'manySilent'];
  return Math.floor(references.length * share);
}

/**
 * Whether the references answer as usual, but for a few that may be lost themselves. That those of the group's
 * zone are all silent and all others answer, or the other way, shows where a link is cut.
 */
function areReferencesUsual({ members, references }: Look): boolean {
  const silent = references.filter(isSilent);
  if (silent.length <= maxUnusual(members, references)) return true;
  if (!references.some(hasAnswered)) return false;
  const [first] = silent;
  return references.every((answer) => (answer.isFar === first?.isFar) === isSilent(answer));
}

/** The times of answers, in rising order. */
function answerTimes(answers: readonly Answer[]): readonly number[] {
  const times = answers.filter(hasAnswered).map(({ ms }) => ms);
  return times.sort((a, b) => a - b);
}

/**
 * The slowest answer, without the slowest references: some servers may pause or be slow, while an observer that is
 * slow itself gets all answers late.
 */
function slowestUsualMs({ members, references }: Look): number {
  const times = answerTimes(references);
  const skipped = Math.min(maxUnusual(members, references), times.length - 1);
  const usual = times[times.length - 1 - skipped] ?? 0;
  return Math.max(usual, answerTimes([...members.values()]).at(-1) ?? 0);
}

/** Judges a look by the answers that have come until now. */
export function judgeLook(look: Look): LookResult {
  const { members, references, ranMs, minMs } = look;
  const all = [...members.values(), ...references];
  if (![...members.values()].some(isSilent)) return 'answered';
  const slowestMs = slowestUsualMs(look);
  if (slowestMs > TOO_SLOW_MS) return ranMs < TOO_SLOW_MS ? 'open' : 'inconclusive';
  if (ranMs < Math.max(minMs, SLOWEST_FACTOR * slowestMs)) return 'open';
  if (all.some(hasAnswered) && areReferencesUsual(look)) return 'silent';
  return ranMs < MAX_LOOK_MS ? 'open' : 'inconclusive';
}

/** A group of which no member answers is asked less often, as it takes longer to be found lost. */
const SILENT_GROUP_LOOK_MS = 500;

/** Minimum time of the look after this one, or of the first, milliseconds. */
export function nextLookMs(last?: Look): number {
  const isGroupSilent = last && [...last.members.values()].every(isSilent);
  return isGroupSilent ? SILENT_GROUP_LOOK_MS : MIN_LOOK_MS;
}

/** Silence of one member since it last answered. */
interface Silence {
  /** Looks in which nearly all other members of its group answered as usual. */
  readonly looks: number;
  /** Time in which servers elsewhere answered as usual, milliseconds. */
  readonly ms: number;
}

/** Silent members, by id. */
export type Silences = ReadonlyMap<InstanceId, Silence>;

/** Adds what a finished look shows. An inconclusive one shows only who answered. */
export function noteLook(
  silences: Silences,
  { members, ranMs }: Look,
  result: LookResult,
): Silences {
  const look = areFewSilent(members) ? 1 : 0;
  const next = new Map(silences);
  for (const [id, answer] of members) {
    const { looks, ms } = next.get(id) ?? { looks: 0, ms: 0 };
    if (hasAnswered(answer)) next.delete(id);
    else if (result === 'silent') next.set(id, { looks: looks + look, ms: ms + ranMs });
  }
  return next;
}

/** The members that are lost by their silence, after the latest look. */
export function findSilent(silences: Silences, { members }: Look): readonly InstanceId[] {
  const areFew = areFewSilent(members);
  const isLost = ({ looks, ms }: Silence): boolean =>
    areFew ? looks >= MIN_SILENT_LOOKS : ms >= SHARED_SILENCE_MS;
  return [...members].flatMap(([id, answer]) => {
    const silence = isSilent(answer) ? silences.get(id) : undefined;
    return silence && isLost(silence) ? [id] : [];
  });
}

/** A peer's state, which tells of its latest event in a group, may be this old. */
const EVENT_AGE_MS = 500;

/**
 * Whether the group's latest event shows that the member which was found silent goes on.
 *
 * Load pattern: members pause several times in a row, and answer no question while they run in between. The finding
 * of the first pause ended their groups with all answers when it was `headBreakMs` old.
 */
export function isContradicted(foundAt: MonoTime, eventAt: MonoTime | undefined): boolean {
  return eventAt !== undefined && eventAt >= later(foundAt, EVENT_AGE_MS);
}

/** Groups that may be found lost by silence within a second without further evidence. */
const MAX_LOST_GROUPS = 2;
const LOST_GROUPS_WINDOW_MS = 1_000;

/**
 * Whether one more group may be found lost by silence, `foundAt` being the times of earlier ones. Many at once
 * are more likely a fault of the observer, unless all servers asked elsewhere answered.
 */
export function mayFindSilent(
  foundAt: readonly MonoTime[],
  { references }: Look,
  now: MonoTime,
): boolean {
  const far = references.filter(({ isFar }) => isFar);
  if (far.length > 0 && far.every(hasAnswered)) return true;
  const recent = foundAt.filter((at) => now < later(at, LOST_GROUPS_WINDOW_MS));
  return recent.length < MAX_LOST_GROUPS;
}

const ANSWER_FORMATS: Readonly<Record<Answer['kind'], (ms: number) => string>> = {
  answered: (ms) => `${ms}ms`,
  ended: () => 'ended',
  silent: (ms) => `silent ${ms}ms`,
};

/** The answers of servers for a log line, by id. */
export function formatAnswers(answers: Iterable<readonly [string, Answer]>): string {
  return [...answers]
    .map(([id, { kind, ms }]) => `${id}: ${ANSWER_FORMATS[kind](Math.round(ms))}`)
    .join(', ');
}

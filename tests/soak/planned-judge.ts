/** Counts each clause of the rule on lost requests by itself, from what callers and servers saw. */

import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

import { COMMON_SETTINGS } from '../support/gateway-daemon';
import { DEADLINE_MS } from './planned-callers';
import type { Attempt } from './planned-callers';

/** The rule's `lossSlackMs`. */
const SLACK_MS = 200;
const GRACE_MS = COMMON_SETTINGS.shutdownS * 1_000;
const EARLY_IN_GRACE_MS = 3_000;
/** Acts so long before the end of a request are told with it. */
const BESIDE_MS = 3_000;
/** A daemon that does not know when a request arrived ends it at the earliest possible deadline. */
const BEFORE_DEADLINE_MS = 250;

/** A planned act on a daemon, or on all. */
export interface Act {
  readonly name: string;
  readonly daemon?: string;
  readonly at: number;
}

/** Clauses of the rule, and other ends of a request without a whole answer. */
export type Outcome =
  | 'lost: passed on, no answer (kept)'
  | 'lost: passed on, no answer (new)'
  | 'lost: passed on, torn'
  | 'lost: passed on, cut shortly before its deadline'
  | 'lost: whole, not passed on, ended late'
  | 'not counted: ended within the slack'
  | 'not counted: not sent whole'
  | 'not counted: refused'
  | 'not counted: at its deadline'
  | 'not counted: in the last sixth of the grace';

/** Whether the rule excuses that a request had no whole answer. */
function excuse({ daemon, sentAt, endedAt }: Attempt, acts: readonly Act[]): Outcome | undefined {
  const sent = sentAt ?? endedAt;
  if (endedAt >= sent + DEADLINE_MS) return 'not counted: at its deadline';
  const isOutOfGrace = acts.some(
    (act) =>
      act.name === 'stop' &&
      act.daemon === daemon &&
      sent <= act.at + EARLY_IN_GRACE_MS &&
      endedAt >= act.at + (GRACE_MS * 5) / 6 &&
      endedAt <= act.at + GRACE_MS + 1_000,
  );
  return isOutOfGrace ? 'not counted: in the last sixth of the grace' : undefined;
}

/** What became of a request without a whole answer; undefined if it has one. */
export function outcomeOf(
  attempt: Attempt,
  isPassedOn: boolean,
  acts: readonly Act[],
): Outcome | undefined {
  const { end, sentAt, endedAt, reply, isKept } = attempt;
  if (end === 'answered') return undefined;
  if (end === 'refused') return 'not counted: refused';
  if (sentAt === undefined && !isPassedOn) return 'not counted: not sent whole';
  const excused = excuse(attempt, acts);
  if (excused) return excused;
  const isNearDeadline = endedAt - (sentAt ?? endedAt) > DEADLINE_MS - BEFORE_DEADLINE_MS;
  if (isPassedOn && isNearDeadline) return 'lost: passed on, cut shortly before its deadline';
  if (isPassedOn && reply !== undefined) return 'lost: passed on, torn';
  if (isPassedOn)
    return isKept ? 'lost: passed on, no answer (kept)' : 'lost: passed on, no answer (new)';
  const isLate = endedAt - (sentAt ?? endedAt) > SLACK_MS;
  return isLate ? 'lost: whole, not passed on, ended late' : 'not counted: ended within the slack';
}

/** The last line about the request in the daemons' logs; undefined if none has one. */
function findLogged(logs: readonly string[], requestId: string): string | undefined {
  return logs.findLast((line) => line.includes(`"${requestId}"`));
}

export interface PlannedVerdict {
  readonly counts: Readonly<Record<string, number>>;
  readonly faults: readonly string[];
}

export interface Evidence {
  readonly attempts: readonly Attempt[];
  /** Ids of the requests that reached a server. */
  readonly passedOn: ReadonlySet<string>;
  readonly acts: readonly Act[];
  /** Directory of the daemons' logs. */
  readonly logs?: string;
}

export function judgePlanned({ attempts, passedOn, acts, logs }: Evidence): PlannedVerdict {
  const counts: Record<string, number> = {};
  const count = (name: string): void => {
    counts[name] = (counts[name] ?? 0) + 1;
  };
  const lines =
    logs === undefined
      ? []
      : readdirSync(logs).flatMap((name) => readFileSync(join(logs, name), 'utf8').split('\n'));
  const faults = attempts.flatMap((attempt) => {
    const { requestId, caller, daemon, sentAt = NaN, endedAt, end, reply } = attempt;
    const outcome = outcomeOf(attempt, passedOn.has(requestId), acts);
    count(outcome ?? `${reply?.status ?? 0}`);
    if (outcome?.startsWith('lost') !== true) return [];
    const logged = findLogged(lines, requestId);
    count(`${outcome}, ${logged === undefined ? 'not logged' : 'logged'}`);
    const sinceStop = acts.findLast(
      (act) => act.name === 'stop' && act.daemon === daemon && act.at <= endedAt,
    );
    const stopped =
      sinceStop === undefined
        ? 'never stopped'
        : `sent ${Math.round(sentAt - sinceStop.at)} ms after the last stop`;
    const beside = acts
      .filter((act) => act.daemon === undefined || act.daemon === daemon)
      .filter(({ at }) => at < endedAt && at > Math.min(sentAt, endedAt - BESIDE_MS))
      .map(({ name, at }) => `${name} ${Math.round(at - sentAt)} ms`);
    const ms = Math.round(endedAt - sentAt);
    return [
      `${requestId} (${caller}) at ${daemon}: ${outcome}; ${end} after ${ms} ms, ${stopped}; beside ${beside.join() || 'nothing'}; ${logged ?? 'not logged'}`,
    ];
  });
  return { counts, faults };
}

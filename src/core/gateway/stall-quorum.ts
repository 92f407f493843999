/**
 * Whether a group that some daemon saw stand still is taken to do so by all.
 *
 * Load pattern: many daemons with one or two streams in each group, and groups that are nearly full. A
 * stream that waits for its first token then looks like a group that stands still. Taken for granted,
 * one such report keeps the whole fleet from the group for seconds, and while some members are cut off
 * from the daemons that ask them, it ends a group that serves. A group that truly stands still is seen
 * to do so by nearly all that have streams in it, within the time of a few events; one that gives events
 * to anybody does not.
 */

import { later } from '../ids';
import type { DaemonId, GroupId, MonoTime } from '../ids';

interface Report {
  readonly reporter: DaemonId;
  readonly at: MonoTime;
}

/** Reports of late, by group. */
export type StallReports = ReadonlyMap<GroupId, readonly Report[]>;

/** Reports of different daemons within this time speak of the same silence: some ten events, milliseconds. */
const TOGETHER_MS = 600;
/** A daemon that reports again after this, its streams having been moved, counts as a further one. */
const AGAIN_MS = 1_000;
const MEMORY_MS = 4_000;

/** Enters a report, and forgets old ones. */
export function noteStallReport(
  witnesses: StallReports,
  group: GroupId,
  reporter: DaemonId,
  now: MonoTime,
): StallReports {
  const next = new Map<GroupId, readonly Report[]>();
  for (const [id, reports] of witnesses) {
    const fresh = reports.filter(({ at }) => now < later(at, MEMORY_MS));
    if (fresh.length > 0) next.set(id, fresh);
  }
  return next.set(group, [...(next.get(group) ?? []), { reporter, at: now }]);
}

/** Requests of others in the group, and how many daemons must then have seen it stand still. */
const QUORUMS: readonly (readonly [others: number, daemons: number])[] = [
  [12, 3],
  [2, 2],
];

/** Daemons that must agree where the others have `running` requests in the group. */
export function quorumOf(running: number): number {
  return QUORUMS.find(([others]) => running >= others)?.[1] ?? 1;
}

/** Events this recent, of any daemon's stream, show that a group goes on; a few pauses of a busy one, milliseconds. */
const ALIVE_MS = 350;

/** What the daemon that judges knows of the group beside the reports. */
export interface GroupActivity {
  /** Requests of others in it. */
  readonly running: number;
  /** When it last gave an event to any daemon, as far as is known. */
  readonly eventAt: MonoTime | undefined;
}

/** Whether enough daemons saw the group stand still, or one saw it again and again. */
export function isStallConfirmed(
  witnesses: StallReports,
  group: GroupId,
  { running, eventAt }: GroupActivity,
  now: MonoTime,
): boolean {
  if (eventAt !== undefined && now < later(eventAt, ALIVE_MS)) return false;
  const reports = witnesses.get(group) ?? [];
  const together = new Set(
    reports.filter(({ at }) => now < later(at, TOGETHER_MS)).map(({ reporter }) => reporter),
  );
  if (together.size >= quorumOf(running)) return true;
  return reports.some(({ reporter, at }) =>
    reports.some((again) => again.reporter === reporter && again.at >= later(at, AGAIN_MS)),
  );
}

/**
 * Corroborates stall reports: decides whether the reports of single daemons confirm that a group has stalled.
 *
 * Load pattern: many daemons have one or two streams in each group, and groups are nearly full. A stream
 * that waits for its first token then looks like a stalled group. If one such report were trusted, the whole
 * fleet would avoid the group for seconds; and while some members cannot be reached by the daemons that
 * probe them, it would end a group that serves. A group that has really stalled is reported by nearly all
 * daemons with streams in it, within the time of a few events; one that sends events to any daemon has not.
 */

import { later } from '../ids';
import type { DaemonId, GroupId, MonoTime } from '../ids';

interface Report {
  readonly reporter: DaemonId;
  readonly at: MonoTime;
}

/** Recent reports, by group. */
export type StallReports = ReadonlyMap<GroupId, readonly Report[]>;

/** Reports of different daemons within this time concern the same stall: about ten events. */
const CORROBORATION_WINDOW_MS = 600;
/** A daemon that reports again after this time, when its streams have been moved, corroborates itself. */
const REPEAT_INTERVAL_MS = 1_000;
/** Time for which reports are kept. */
const REPORT_MEMORY_MS = 4_000;

/** Adds a report, and drops expired ones. */
export function noteStallReport(
  stallReports: StallReports,
  group: GroupId,
  reporter: DaemonId,
  now: MonoTime,
): StallReports {
  const next = new Map<GroupId, readonly Report[]>();
  for (const [id, reports] of stallReports) {
    const fresh = reports.filter(({ at }) => now < later(at, REPORT_MEMORY_MS));
    if (fresh.length > 0) next.set(id, fresh);
  }
  return next.set(group, [...(next.get(group) ?? []), { reporter, at: now }]);
}

/** Number of daemons that must report a stall, by the minimum number of requests of others in the group. */
const QUORUMS: readonly (readonly [minOthers: number, daemons: number])[] = [
  [12, 3],
  [2, 2],
];

/** Number of daemons that must report a stall if the others have `running` requests in the group. */
export function quorumOf(running: number): number {
  return QUORUMS.find(([minOthers]) => running >= minOthers)?.[1] ?? 1;
}

/** An event of any daemon's stream this recent shows that the group runs: a few pauses of a busy group. */
const RECENT_EVENT_MS = 350;

/** What the deciding daemon knows of the group beside the reports. */
export interface GroupActivity {
  /** Requests of other daemons in it. */
  readonly running: number;
  /** When it last sent an event to any daemon; undefined if unknown. */
  readonly eventAt: MonoTime | undefined;
}

/** Whether enough daemons reported the stall together, or one reported it repeatedly. */
export function isStallConfirmed(
  stallReports: StallReports,
  group: GroupId,
  { running, eventAt }: GroupActivity,
  now: MonoTime,
): boolean {
  if (eventAt !== undefined && now < later(eventAt, RECENT_EVENT_MS)) return false;
  const reports = stallReports.get(group) ?? [];
  const reporters = new Set(
    reports
      .filter(({ at }) => now < later(at, CORROBORATION_WINDOW_MS))
      .map(({ reporter }) => reporter),
  );
  if (reporters.size >= quorumOf(running)) return true;
  return reports.some(({ reporter, at }) =>
    reports.some(
      (again) => again.reporter === reporter && again.at >= later(at, REPEAT_INTERVAL_MS),
    ),
  );
}

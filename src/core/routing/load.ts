/** Load of a group: own requests, counted exactly, and others', from reports that lag. */

import type { MonoTime } from '../ids';
import type { GroupLoad, LoadReport, RoutingOptions } from './types';

/** Points of own load kept per group; enough for the lag of a report at a group's rate. */
const HISTORY_POINTS = 64;

export function createLoad(): GroupLoad {
  return { inFlight: 0, history: [], peerLoad: 0, reportedAt: undefined };
}

/** Adds `by` own requests, from `now` on. */
export function adjustInFlight(load: GroupLoad, by: 1 | -1, now: MonoTime): void {
  load.inFlight += by;
  load.history.push({ at: now, inFlight: load.inFlight });
  if (load.history.length > HISTORY_POINTS) load.history.splice(0, HISTORY_POINTS / 2);
}

/** Own requests in flight at an earlier instant; 0 before the first one remembered. */
function inFlightAt(load: GroupLoad, at: MonoTime): number {
  for (let i = load.history.length - 1; i >= 0; i--) {
    const point = load.history[i];
    if (point !== undefined && point.at <= at) return point.inFlight;
  }
  return 0;
}

/** Takes in a report, less what it counts of our own. */
export function applyLoadReport(
  load: GroupLoad,
  report: LoadReport,
  now: MonoTime,
  opts: RoutingOptions,
): void {
  const own = inFlightAt(load, (now - opts.reportLagMs) as MonoTime);
  load.peerLoad = Math.max(0, report.inFlight + report.queued - own);
  load.reportedAt = now;
}

/** Requests a group is believed to hold: own ones, and others' fading to the average. */
export function estimateLoad(
  load: GroupLoad,
  meanOthers: number,
  now: MonoTime,
  opts: RoutingOptions,
): number {
  if (load.reportedAt === undefined) return load.inFlight + meanOthers;
  const ageMs = now - load.reportedAt + opts.reportLagMs;
  const trust = 0.5 ** (ageMs / opts.reportHalfLifeMs);
  return load.inFlight + meanOthers + (load.peerLoad - meanOthers) * trust;
}

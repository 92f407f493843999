/**
 * Load of a group: requests of this daemon, counted exactly, and requests of other daemons,
 * estimated from load reports that lag behind.
 */

import type { MonoTime } from '../ids';
import type { GroupLoad, LoadReport, RoutingOptions } from './types';

/** Load points kept per group: enough to cover a report's lag at the request rate of one group. */
const HISTORY_POINTS = 64;

/** The load of a group without requests or reports. */
export function createLoad(): GroupLoad {
  return { inFlight: 0, history: [], peerLoad: 0, reportedAt: undefined };
}

/** Counts one request of this daemon in or out, as of `now`. */
export function adjustInFlight(load: GroupLoad, by: 1 | -1, now: MonoTime): void {
  load.inFlight += by;
  load.history.push({ at: now, inFlight: load.inFlight });
  if (load.history.length > HISTORY_POINTS) load.history.splice(0, HISTORY_POINTS / 2);
}

/** Requests of this daemon in flight at an earlier instant; 0 before the oldest point kept. */
function inFlightAt(load: GroupLoad, at: MonoTime): number {
  for (let i = load.history.length - 1; i >= 0; i--) {
    const point = load.history[i];
    if (point !== undefined && point.at <= at) return point.inFlight;
  }
  return 0;
}

/** Applies a load report, less the requests of this daemon that it includes. */
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

/**
 * Estimated requests on a group. The reported load of other daemons decays to the average of the
 * model as the report ages.
 */
export function estimateLoad(
  load: GroupLoad,
  meanPeerLoad: number,
  now: MonoTime,
  opts: RoutingOptions,
): number {
  if (load.reportedAt === undefined) return load.inFlight + meanPeerLoad;
  const ageMs = now - load.reportedAt + opts.reportLagMs;
  const weight = 0.5 ** (ageMs / opts.reportHalfLifeMs);
  return load.inFlight + meanPeerLoad + (load.peerLoad - meanPeerLoad) * weight;
}

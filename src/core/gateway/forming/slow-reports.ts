/**
 * Decides from the reports of a slow group's members and spares whether its slow members are replaced.
 *
 * Load pattern: as in `slow.ts`. A replacement interrupts the group for about two seconds, while slow periods
 * last from five seconds on, so a period that is nearly over, or a small gain, is not worth it.
 */

import type { GroupId, InstanceId, ModelId } from '../../ids';
import type { BackendServer } from '../types';

/** A server is slow from this factor on, both absolute and relative to the median of its group. */
const SLOW_SERVER = 1.5;
/** Slow periods of single servers last at least this long. */
const MIN_SLOW_PERIOD_MS = 5_000;
/**
 * Time without service in a replacement, besides the spare's join: streams in progress end, at a rate
 * that falls with their number, and the group opens. With the join of a warm spare it is two seconds.
 */
const REPLACEMENT_MS = 1_800;

/** A server that can take the place of a slow member. */
export interface Spare {
  readonly server: BackendServer;
  /** Time until it is ready for the group's model. */
  readonly joinMs: number;
}

/** A slow group whose members and spares are to be asked for reports. */
export interface SlowCheck {
  readonly group: GroupId;
  readonly model: ModelId;
  readonly members: readonly BackendServer[];
  /** The spares that the planner would use, the preferred first. */
  readonly spares: readonly Spare[];
  /** Slowdown factor of the group. */
  readonly slowdown: number;
  /** Age of the slow period. */
  readonly slowForMs: number;
}

/**
 * Whether a replacement gains more service than it costs. A slow period lasts `MIN_SLOW_PERIOD_MS` at least;
 * beyond that its length is unknown, and it is expected to last as long again as it has lasted so far.
 * `gain` is the factor by which the group becomes faster; a small one is within the differences between
 * servers. `joinMs` is the time of the spare's join.
 */
export function isReplacementWorthwhile(
  slowForMs: number,
  { gain, joinMs }: { readonly gain: number; readonly joinMs: number },
): boolean {
  const remainingMs = Math.max(MIN_SLOW_PERIOD_MS - slowForMs, slowForMs);
  return gain >= SLOW_SERVER && remainingMs * (1 - 1 / gain) > REPLACEMENT_MS + joinMs;
}

/** What the reports of a group's members and spares show. */
export interface SlowFinding {
  readonly outcome: 'replace' | 'no-answer' | 'no-slow-member' | 'no-fast-spare' | 'not-worthwhile';
  /** Slow members. */
  readonly members: readonly InstanceId[];
  /** Slow spares, which are no better than the members. */
  readonly spares: readonly InstanceId[];
}

/** The lower median, so that in a group of two the faster member is the measure. */
function medianOf(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor((values.length - 1) / 2)] ?? 1;
}

/** Whether a report shows that a server noted as slow has normal speed again. */
export function isNormalSpeed(slowdown: number): boolean {
  return slowdown < SLOW_SERVER;
}

/** Evaluates the slowdown factors that servers reported; one that is missing has not answered. */
export function evaluateReports(
  { members, spares, slowForMs }: SlowCheck,
  reported: ReadonlyMap<InstanceId, number>,
): SlowFinding {
  if (members.some(({ id }) => !reported.has(id)))
    return { outcome: 'no-answer', members: [], spares: [] };
  const factorOf = ({ id }: BackendServer): number => reported.get(id) ?? Infinity;
  const median = medianOf(members.map(factorOf));
  const isSlowServer = (server: BackendServer): boolean =>
    factorOf(server) >= SLOW_SERVER * Math.max(1, median);
  const slow = members.filter(isSlowServer);
  const used = spares.filter(({ server }) => !isSlowServer(server)).slice(0, slow.length);
  const found = {
    members: slow.map(({ id }) => id),
    spares: spares
      .filter(({ server: { id } }) => reported.has(id))
      .map(({ server }) => server)
      .filter(isSlowServer)
      .map(({ id }) => id),
  };
  if (slow.length === 0) return { ...found, outcome: 'no-slow-member' };
  if (used.length < slow.length) return { ...found, outcome: 'no-fast-spare' };
  const after = [
    ...members.filter((server) => !isSlowServer(server)),
    ...used.map(({ server }) => server),
  ];
  const gain = Math.max(...slow.map(factorOf)) / Math.max(...after.map(factorOf));
  const joinMs = Math.max(...used.map((spare) => spare.joinMs));
  const pays = isReplacementWorthwhile(slowForMs, { gain, joinMs });
  return { ...found, outcome: pays ? 'replace' : 'not-worthwhile' };
}

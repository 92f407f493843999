/**
 * Evacuated zones as known at a position in the history of the operator's table, and how the knowledge of
 * two daemons is merged.
 *
 * Load pattern: the operator evacuates a zone, usually because it fails, and the store refuses some daemons
 * or falls silent to them in the same moment. All daemons together send the zone several hundred requests a
 * second, so the zones spread between peers at once, and the newest known row decides, however it arrives.
 *
 * A store restored from an older copy may have lost rows. Zones that were evacuated before the restore stay
 * evacuated (`held`) until the operator has written to the table again.
 */

import { compareText } from '../../utils/common';
import type { ZoneId } from '../ids';
import { isLater } from '../store-era';
import type { StorePosition } from '../store-era';

/** The evacuated zones as one daemon knows them. */
export interface EvacuationReport {
  /** Position in the store's history at which the table was read. */
  readonly at: StorePosition;
  /** Zones whose rows the table contains. */
  readonly zones: readonly ZoneId[];
  /**
   * Zones evacuated before the store was restored. Absent once the operator is known to have written to the
   * table in the era of `at`.
   */
  readonly held?: readonly ZoneId[];
}

function sortZones(zones: Iterable<ZoneId>): readonly ZoneId[] {
  return [...new Set(zones)].sort(compareText);
}

/** All zones that are evacuated according to the report. */
export function evacuatedZones({ zones, held = [] }: EvacuationReport): readonly ZoneId[] {
  return sortZones([...zones, ...held]);
}

/** `hasWritten`: whether the operator is known to have written in the era of `at`. */
export function createReport(
  at: StorePosition,
  zones: Iterable<ZoneId>,
  hasWritten: boolean,
): EvacuationReport {
  return { at, zones: sortZones(zones), ...(!hasWritten && { held: [] }) };
}

/** Carries the zones of an earlier era over, unless the operator has written since. */
function mergeEras(older: EvacuationReport, newer: EvacuationReport): EvacuationReport {
  if (!newer.held) return newer;
  return { ...newer, held: sortZones([...newer.held, ...evacuatedZones(older)]) };
}

/** Merges two reports; where both are of the same position, the zones of `update` apply. */
export function mergeReports(known: EvacuationReport, update: EvacuationReport): EvacuationReport {
  if (known.at.era !== update.at.era) {
    return known.at.era < update.at.era ? mergeEras(known, update) : mergeEras(update, known);
  }
  const latest = isLater(known.at, update.at) ? known : update;
  const { at, zones } = latest;
  if (!known.held || !update.held) return latest.held ? { at, zones } : latest;
  return { at, zones, held: sortZones([...known.held, ...update.held]) };
}

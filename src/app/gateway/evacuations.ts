/**
 * Zones that the operator evacuated: nothing is sent to their servers until the operator ends the
 * evacuation. The zones are known from the operator's table and from reports of peers.
 */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import { createReport, evacuatedZones, mergeReports } from '../../core/gateway/evacuations';
import type { EvacuationReport } from '../../core/gateway/evacuations';
import type { ZoneId } from '../../core/ids';
import type { StorePosition } from '../../core/store-era';
import type { Change, OperatorEntry } from '../../ports/gateway';
import type { GatewayContext } from './context';
import type { ChangeKind } from './watch';

/** What decisions about single servers need to know. */
export interface EvacuatedZones {
  isEvacuated(zone: ZoneId): boolean;
  /** Emits after each change of the evacuated zones. */
  readonly changes: Observable<void>;
}

export interface Evacuations extends EvacuatedZones {
  zones(): ReadonlySet<ZoneId>;
  /** For messages to peers; undefined as long as no evacuation was ever seen. */
  report(): EvacuationReport | undefined;
  /** Applies a peer's report, if it is newer. */
  applyReport(report: EvacuationReport | undefined, source: string): void;
  /** Applies entries of the operator's table, known up to `at`. */
  applyEntries(
    changes: readonly Change<OperatorEntry>[],
    kind: ChangeKind,
    at: StorePosition,
  ): void;
}

/** For parts that are used without evacuations. */
export const NO_EVACUATIONS: EvacuatedZones = {
  isEvacuated: () => false,
  changes: new Subject<void>(),
};

export function createEvacuations({ logger, metrics }: GatewayContext): Evacuations {
  const changes = new Subject<void>();
  /** Zones of the rows that this daemon read from the store, by key. */
  const rows = new Map<string, ZoneId>();
  let known: EvacuationReport | undefined;
  let zones: ReadonlySet<ZoneId> = new Set();
  let hasSeenAny = false;

  const adopt = (next: EvacuationReport, source: string): void => {
    if (next === known) return;
    known = next;
    const before = zones;
    zones = new Set(evacuatedZones(next));
    hasSeenAny ||= zones.size > 0;
    const fields = { step: 'evacuation', source, ...next.at };
    const begun = [...zones].filter((zone) => !before.has(zone));
    const ended = [...before].filter((zone) => !zones.has(zone));
    const isHeld = (zone: ZoneId): boolean => next.held?.includes(zone) ?? false;
    for (const zone of begun)
      logger.warn('zone evacuated', { ...fields, zone, held: isHeld(zone) });
    for (const zone of ended) logger.info('evacuation ended', { ...fields, zone });
    if (begun.length + ended.length === 0) return;
    metrics.gauge('nutmegstack_evacuated_zones', zones.size);
    changes.next();
  };

  metrics.gauge('nutmegstack_evacuated_zones', 0);

  return {
    changes,
    isEvacuated: (zone) => zones.has(zone),
    zones: () => zones,
    report: () => (hasSeenAny ? known : undefined),
    applyReport: (report, source) => {
      if (!report) return;
      // A daemon that started after the end of an evacuation must tell peers that still know it.
      hasSeenAny = true;
      adopt(known ? mergeReports(report, known) : report, source);
    },
    applyEntries: (list, kind, at) => {
      if (kind !== 'changes') rows.clear();
      for (const { key, value } of list) {
        if (value?.kind === 'evacuation') rows.set(key, value.zone);
        else rows.delete(key);
      }
      const read = createReport(at, rows.values(), kind === 'changes');
      adopt(known ? mergeReports(known, read) : read, 'store');
    },
  };
}

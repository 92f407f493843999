/** Chooses servers that are asked for comparison when members of a group are silent. */

import type { BackendServer } from '../../core/gateway/types';
import { sample } from '../../utils/common';
import type { Reference } from './member-look';

/** Servers of each kind that are asked: one may be lost itself. */
const REFERENCES = 3;

/**
 * Some engine servers of other zones and of other domains of the group's zone; if there are none, other
 * servers of its domain. Servers of plain services give no reports.
 */
export function pickReferences(
  group: readonly BackendServer[],
  servers: Iterable<BackendServer>,
  random: () => number,
): readonly Reference[] {
  const [first] = group;
  if (!first) return [];
  const members = new Set(group.map(({ id }) => id));
  const others = [...servers].filter(
    ({ id, domain, isDraining }) => domain !== undefined && !isDraining && !members.has(id),
  );
  const pick = (isMeant: (server: BackendServer) => boolean): readonly BackendServer[] =>
    sample(others.filter(isMeant), REFERENCES, random);
  const ofOtherZones = pick(({ zone }) => zone !== first.zone);
  const ofZone = pick(({ zone, domain }) => zone === first.zone && domain !== first.domain);
  const ofDomain =
    ofOtherZones.length + ofZone.length > 0 ? [] : pick(({ domain }) => domain === first.domain);
  const hasFar = ofOtherZones.length > 0;
  return [
    ...ofOtherZones.map((server) => ({ server, isFar: true })),
    ...ofZone.map((server) => ({ server, isFar: !hasFar })),
    ...ofDomain.map((server) => ({ server, isFar: false })),
  ];
}

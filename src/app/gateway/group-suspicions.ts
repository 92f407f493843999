/** Groups that get no new requests for a while, and what was found about each. */

import {
  clearSuspicion,
  endSilence,
  isOnTrial,
  isSuspect,
  noteEvidence,
} from '../../core/gateway/suspicion';
import type { Evidence, Suspicions } from '../../core/gateway/suspicion';
import type { GroupId, MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';

/** Evidence against a group, and who found it or how. */
export interface GroupFinding {
  readonly evidence: Evidence;
  readonly reason: string;
  /** When it was last made here. */
  readonly at: MonoTime;
}

export interface GroupSuspicions {
  isSuspected(group: GroupId): boolean;
  /** Whether its suspension for silence has ended without an event: it gets one request at a time. */
  isOnTrial(group: GroupId): boolean;
  /** Suspends the group for a while. Returns false if it was already suspended. */
  suspect(group: GroupId, evidence: Evidence, reason: string): boolean;
  /** Ends the suspension of the group, unless the leader found it lost. */
  clear(group: GroupId): void;
  /**
   * Ends the suspension of a group that gave an event, unless its head could not be reached or took no
   * requests. Returns whether it was suspended or on trial.
   */
  noteAlive(group: GroupId): boolean;
  /** The latest finding about a group that is suspended. */
  finding(group: GroupId): GroupFinding | undefined;
}

export function createGroupSuspicions({
  clock,
  logger,
}: Pick<GatewayContext, 'clock' | 'logger'>): GroupSuspicions {
  let suspicions: Suspicions = new Map();
  const findings = new Map<GroupId, GroupFinding>();

  const isSuspected = (group: GroupId): boolean => isSuspect(suspicions, group, clock.now());

  return {
    isSuspected,
    isOnTrial: (group) => isOnTrial(suspicions, group, clock.now()),
    suspect: (group, evidence, reason) => {
      const isNew = !isSuspected(group);
      suspicions = noteEvidence(suspicions, group, evidence, clock.now());
      for (const id of findings.keys()) if (!suspicions.has(id)) findings.delete(id);
      findings.set(group, { evidence, reason, at: clock.now() });
      if (isNew) logger.warn('group suspected', { step: 'board', group, evidence, reason });
      return isNew;
    },
    clear: (group) => {
      suspicions = clearSuspicion(suspicions, group);
    },
    noteAlive: (group) => {
      if (suspicions.size === 0) return false;
      const next = endSilence(suspicions, group);
      if (next === suspicions) return false;
      const wasLimited = isSuspected(group) || isOnTrial(suspicions, group, clock.now());
      suspicions = next;
      if (wasLimited) logger.info('group gives events again', { step: 'board', group });
      return wasLimited;
    },
    finding: (group) => (isSuspected(group) ? findings.get(group) : undefined),
  };
}

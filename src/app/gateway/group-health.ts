/** Suspected groups of this daemon, and the groups in which its streams have stalled. */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import { isSuspect, noteEvidence } from '../../core/gateway/suspicion';
import type { Evidence, Suspicions } from '../../core/gateway/suspicion';
import type { GroupId, InstanceId } from '../../core/ids';
import type { GatewayContext } from './context';
import type { ServingGroup } from './group-index';
import type { GroupLoads } from './group-loads';
import type { PeerLoads } from './peer-loads';
import { createStallDetector } from './stall-detector';

export interface Stall {
  readonly group: GroupId;
  readonly head: InstanceId;
}

export interface GroupHealth {
  isSuspected(group: GroupId): boolean;
  /** Suspends the group for a while. Returns false if it was already suspended. */
  suspect(group: GroupId, evidence: Evidence, reason: string): boolean;
  /** Groups in which all streams of this daemon are silent, as found by `tick`. */
  readonly stalls: Observable<Stall>;
  tick(): void;
}

export interface GroupHealthDeps {
  readonly ctx: GatewayContext;
  readonly peerLoads: PeerLoads;
  readonly groupLoads: GroupLoads;
  readonly find: (head: InstanceId) => ServingGroup | undefined;
}

export function createGroupHealth({
  ctx: { clock, logger },
  peerLoads,
  groupLoads,
  find,
}: GroupHealthDeps): GroupHealth {
  let suspicions: Suspicions = new Map();
  const stalls = new Subject<Stall>();
  const stallDetector = createStallDetector(clock);

  const isSuspected = (group: GroupId): boolean => isSuspect(suspicions, group, clock.now());

  const suspect = (group: GroupId, evidence: Evidence, reason: string): boolean => {
    const isNew = !isSuspected(group);
    suspicions = noteEvidence(suspicions, group, evidence, clock.now());
    if (isNew) logger.warn('group suspected', { step: 'board', group, evidence, reason });
    return isNew;
  };

  const findStalls = (): void => {
    for (const [head, seen] of groupLoads.progress) {
      const group = seen.running > 0 ? find(head) : undefined;
      if (!group || isSuspected(group.id)) continue;
      const reason = stallDetector.detect(seen, {
        expectedPauseMs: groupLoads.expectedPauseOf(group),
        prefillMs: groupLoads.prefillMs(group),
        running: groupLoads.runningIn(head),
        hasPeerLoads: peerLoads.areFresh(),
        runningOnPeers: peerLoads.running(head),
      });
      if (reason === undefined) continue;
      suspect(group.id, 'silent', reason);
      stalls.next({ group: group.id, head });
    }
  };

  return {
    isSuspected,
    suspect,
    stalls,
    tick: () => {
      stallDetector.tick();
      findStalls();
    },
  };
}

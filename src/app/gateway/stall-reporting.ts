/**
 * Groups that give no sign: what this daemon sees of them, what peers tell, and what is then done. Nothing
 * is sent to such a group, its streams are moved, and the leader asks its members.
 */

import { isStallConfirmed, noteStallReport } from '../../core/gateway/stall-quorum';
import type { StallReports } from '../../core/gateway/stall-quorum';
import type { DaemonId, InstanceId, MonoTime } from '../../core/ids';
import { later } from '../../core/ids';
import type { GroupRegistry, Stall } from './group-registry';
import type { GatewayContext } from './context';
import type { Fleet } from './fleet';
import type { GroupPlanner } from './group-planner';
import type { Leadership } from './lease';
import type { StallFinding, PeerState } from './messages';

export interface StallReportingDeps {
  readonly ctx: GatewayContext;
  readonly board: GroupRegistry;
  readonly fleet: Fleet;
  readonly planner: GroupPlanner;
  readonly leadership: Leadership;
}

export interface StallReporting {
  /** What a daemon found of a group that is known here. */
  receive(finding: StallFinding, stall: Stall, reporter: DaemonId): void;
  /** When groups gave events to a peer, as it told just now. */
  noteIdleTimes(quiet: PeerState['quiet']): void;
  expire(now: MonoTime): void;
}

/** Requests of others that a group is taken to have while their loads are not known: as many as a busy one. */
const UNKNOWN_RUNNING = 12;
/** Older events say nothing of a group any more. */
const EVENT_MEMORY_MS = 10_000;

export function createStallReporting({
  ctx,
  board,
  fleet,
  planner: former,
  leadership,
}: StallReportingDeps): StallReporting {
  let witnesses: StallReports = new Map();
  /** When groups last gave an event to a peer, by head. */
  const lastEvents = new Map<InstanceId, MonoTime>();

  /** Nothing is sent to the group for a while, its streams are moved, and the leader looks into it. */
  const believe = ({ group, head }: Stall, finding: 'confirmed' | 'lost', source: string): void => {
    const evidence = finding === 'lost' ? 'lost' : 'silent';
    const isNews = board.suspect(group, evidence, source);
    board.evacuate({ group, head });
    if (finding === 'confirmed') former.inspect({ group, head });
    // In a large fleet only the leader was told; what it found by itself is news to all.
    const mustTell = finding === 'lost' || (isNews && fleet.isLarge());
    if (mustTell && leadership.heldFencing() !== undefined) {
      fleet.broadcastAsLeader({ kind: 'stalled', group, head, finding });
    }
  };

  const noteSeen = (stall: Stall, reporter: DaemonId): void => {
    const now = ctx.clock.now();
    const { group, head } = stall;
    witnesses = noteStallReport(witnesses, group, reporter, now);
    // Where the others' loads are not known, they are taken to have many streams there.
    const running = board.hasPeerLoads() ? board.runningOnPeers(head) : UNKNOWN_RUNNING;
    const eventAt = latest(lastEvents.get(head), board.lastEventAt(head));
    const isSure = isStallConfirmed(witnesses, group, { running, eventAt }, now);
    ctx.logger.info('group seen silent', { step: 'stall', group, reporter, running, isSure });
    if (isSure) believe(stall, 'confirmed', `reported by ${reporter}`);
  };

  /** What a daemon found of a group. One that could not reach it may have lost only its own link. */
  const takeFinding: Readonly<Record<StallFinding, (stall: Stall, reporter: DaemonId) => void>> = {
    seen: noteSeen,
    unreachable: (stall) => {
      former.inspect(stall);
    },
    confirmed: (stall, reporter) => {
      believe(stall, 'confirmed', `told by ${reporter}`);
    },
    lost: (stall, reporter) => {
      board.suspect(stall.group, 'lost', `found by ${reporter}`);
      board.evacuate(stall);
    },
  };

  const report = ({ group, head }: Stall, finding: 'seen' | 'unreachable'): void => {
    const message = { kind: 'stalled', group, head, finding } as const;
    const isLarge = fleet.isLarge();
    const leader = isLarge ? fleet.leader() : undefined;
    if (leader) fleet.send(leader.address, message);
    else if (isLarge) fleet.sendToLikelyLeaders(message);
    else fleet.broadcast(message);
    takeFinding[finding]({ group, head }, ctx.settings.id);
  };

  board.stalls.subscribe((stall) => {
    report(stall, 'seen');
  });
  board.unreachable.subscribe((stall) => {
    report(stall, 'unreachable');
  });
  former.lost.subscribe((stall) => {
    believe(stall, 'lost', 'members asked');
  });

  const noteEvents = (quiet: PeerState['quiet']): void => {
    const now = ctx.clock.now();
    for (const [head, quietMs] of quiet) {
      const eventAt = later(now, -quietMs);
      const known = lastEvents.get(head);
      if (known === undefined || eventAt > known) lastEvents.set(head, eventAt);
    }
  };

  const forgetEvents = (now: MonoTime): void => {
    for (const [head, at] of lastEvents) {
      if (now >= later(at, EVENT_MEMORY_MS)) lastEvents.delete(head);
    }
  };

  return {
    receive: (finding, stall, reporter) => {
      takeFinding[finding](stall, reporter);
    },
    noteIdleTimes: noteEvents,
    expire: forgetEvents,
  };
}

function latest(a: MonoTime | undefined, b: MonoTime | undefined): MonoTime | undefined {
  if (a === undefined || b === undefined) return a ?? b;
  return a > b ? a : b;
}

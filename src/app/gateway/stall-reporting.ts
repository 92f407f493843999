/**
 * Handles groups that seem to be stalled: combines this daemon's observations with reports of
 * peers. A confirmed group is suspended, its streams are moved, and the leader inspects its
 * members.
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
import type { ServerLinkWatch } from './server-links';

export interface StallReportingDeps {
  readonly ctx: GatewayContext;
  readonly groupRegistry: GroupRegistry;
  readonly fleet: Fleet;
  readonly planner: GroupPlanner;
  readonly leadership: Leadership;
  readonly serverLinks: Pick<ServerLinkWatch, 'hasReceivedRecently' | 'verify' | 'isBlocked'>;
}

export interface StallReporting {
  /** Handles a daemon's finding about a group that is known here. */
  receive(finding: StallFinding, stall: Stall, reporter: DaemonId): void;
  /** Notes when groups last gave events to a peer, from its latest state. */
  noteIdleTimes(idleTimes: PeerState['quiet']): void;
  /** To be called periodically. */
  tick(now: MonoTime): void;
}

/**
 * Requests of others that a group is assumed to have while their load is unknown: as many as a busy
 * one.
 */
const ASSUMED_RUNNING = 12;
/** A peer's state, and with it the time of an event, may be this old when it is received. */
const MAX_STATE_AGE_MS = 500;
/** Older events say nothing about a group's current state. */
const EVENT_RETENTION_MS = 10_000;

export function createStallReporting({
  ctx,
  groupRegistry,
  fleet,
  planner,
  leadership,
  serverLinks,
}: StallReportingDeps): StallReporting {
  let reports: StallReports = new Map();
  /** When groups last gave an event to a peer, by head. */
  const lastEvents = new Map<InstanceId, MonoTime>();

  /** When the group last gave an event to any daemon, as far as this one knows. */
  const eventTimeOf = (head: InstanceId) => (): MonoTime | undefined =>
    latest(lastEvents.get(head), groupRegistry.lastEventAt(head));

  /** Suspends the group for a while, moves its streams, and has the leader inspect it. */
  const actOn = (stall: Stall, finding: 'confirmed' | 'lost', source: string): void => {
    const { group, head, evidence: lossEvidence } = stall;
    const evidence = finding === 'lost' ? evidenceOf(stall) : 'silent';
    const isNew = groupRegistry.suspect(group, evidence, source);
    groupRegistry.evacuate(stall);
    if (finding === 'confirmed') {
      planner.noteStalled(stall);
      planner.inspect(stall, eventTimeOf(head));
    }
    // In a large fleet only the leader receives reports, so it publishes what it concludes from
    // them.
    const mustBroadcast = finding === 'lost' || (isNew && fleet.isLarge());
    if (mustBroadcast && leadership.heldFencing() !== undefined) {
      fleet.broadcastAsLeader({
        ...{ kind: 'stalled', group, head, finding },
        ...(lossEvidence && { evidence: lossEvidence }),
      });
    }
  };

  const noteReport = (stall: Stall, reporter: DaemonId): void => {
    const service = groupRegistry.find(stall.head)?.service;
    // It sees all groups of the service silent.
    if (service !== undefined && fleet.cutOff(reporter).has(service)) return;
    const now = ctx.clock.now();
    const { group, head } = stall;
    reports = noteStallReport(reports, group, reporter, now);
    // While the other daemons' load is unknown, assume that they have many streams in the group.
    const running = groupRegistry.hasPeerLoads()
      ? groupRegistry.runningOnPeers(head)
      : ASSUMED_RUNNING;
    const eventAt = eventTimeOf(head)();
    const isSure = isStallConfirmed(reports, group, { running, eventAt }, now);
    ctx.logger.info('group seen silent', { step: 'stall', group, reporter, running, isSure });
    if (isSure) actOn(stall, 'confirmed', `reported by ${reporter}`);
  };

  /** Handlers by finding. A daemon that could not reach a group may only have lost its own link. */
  const findingHandlers: Readonly<
    Record<StallFinding, (stall: Stall, reporter: DaemonId) => void>
  > = {
    seen: noteReport,
    unreachable: (stall) => {
      planner.inspect(stall, eventTimeOf(stall.head));
    },
    confirmed: (stall, reporter) => {
      actOn(stall, 'confirmed', `confirmed by ${reporter}`);
    },
    alive: (stall) => {
      groupRegistry.noteAlive(stall);
    },
    lost: (stall, reporter) => {
      const { group, evidence = 'silent' } = stall;
      groupRegistry.suspect(group, evidenceOf(stall), `found by ${reporter}, members ${evidence}`);
      groupRegistry.evacuate(stall);
    },
  };

  const sendReport = ({ group, head }: Stall, finding: 'seen' | 'unreachable'): void => {
    const message = { kind: 'stalled', group, head, finding } as const;
    const isLarge = fleet.isLarge();
    const leader = isLarge ? fleet.leader() : undefined;
    if (leader) fleet.send(leader.address, message);
    else if (isLarge) fleet.sendToLikelyLeaders(message);
    else fleet.broadcast(message);
    findingHandlers[finding]({ group, head }, ctx.settings.id);
  };

  /** Reports a group unless this daemon's own link turns out to be what failed. */
  const verifyAndReport = async (stall: Stall, finding: 'seen' | 'unreachable'): Promise<void> => {
    const address = groupRegistry.find(stall.head)?.head.address;
    if (address !== undefined) await serverLinks.verify(address);
    if (address === undefined || !serverLinks.isBlocked(address)) sendReport(stall, finding);
  };

  const report = (stall: Stall, finding: 'seen' | 'unreachable'): void => {
    if (serverLinks.hasReceivedRecently()) sendReport(stall, finding);
    else void verifyAndReport(stall, finding);
  };

  groupRegistry.stalls.subscribe((stall) => {
    report(stall, 'seen');
  });
  groupRegistry.unreachable.subscribe((stall) => {
    report(stall, 'unreachable');
  });
  planner.lost.subscribe((stall) => {
    actOn(stall, 'lost', `members asked: ${stall.evidence ?? 'silent'}`);
  });

  planner.recovered.subscribe(({ group, head }) => {
    groupRegistry.noteAlive({ group, head });
    if (leadership.heldFencing() !== undefined)
      fleet.broadcastAsLeader({ kind: 'stalled', group, head, finding: 'alive' });
  });

  // Daemons without a stream in the group learn of its events from nobody else in a large fleet.
  groupRegistry.resumed.subscribe(({ group, head }) => {
    if (fleet.isLarge() && leadership.heldFencing() !== undefined)
      fleet.broadcastAsLeader({ kind: 'stalled', group, head, finding: 'alive' });
  });

  /** An event at a peer after the finding shows that the group goes on. */
  const endSuspension = (head: InstanceId, eventAt: MonoTime): void => {
    const group = groupRegistry.find(head)?.id;
    const finding = group === undefined ? undefined : groupRegistry.finding(group);
    // A group of which a member has ended is being ended.
    const isSilence = finding?.evidence === 'silent' || finding?.evidence === 'dark';
    if (group === undefined || !isSilence) return;
    if (eventAt >= later(finding.at, MAX_STATE_AGE_MS)) groupRegistry.noteAlive({ group, head });
  };

  const noteIdleTimes = (idleTimes: PeerState['quiet']): void => {
    const now = ctx.clock.now();
    for (const [head, idleMs] of idleTimes) {
      const eventAt = later(now, -idleMs);
      const known = lastEvents.get(head);
      if (known !== undefined && eventAt <= known) continue;
      lastEvents.set(head, eventAt);
      endSuspension(head, eventAt);
    }
  };

  const pruneEvents = (now: MonoTime): void => {
    for (const [head, at] of lastEvents) {
      if (now >= later(at, EVENT_RETENTION_MS)) lastEvents.delete(head);
    }
  };

  /** The members of groups that an earlier leader found silent are asked by this one, or nobody would ask them. */
  const recheckDark = (): void => {
    if (leadership.heldFencing() === undefined) return;
    for (const stall of groupRegistry.darkGroups()) planner.recheck(stall, eventTimeOf(stall.head));
  };

  return {
    receive: (finding, stall, reporter) => {
      findingHandlers[finding](stall, reporter);
    },
    noteIdleTimes,
    tick: (now) => {
      pruneEvents(now);
      recheckDark();
    },
  };
}

/** Evidence against a group that the leader found lost. */
function evidenceOf({ evidence }: Stall): 'lost' | 'dark' {
  return evidence === 'ended' ? 'lost' : 'dark';
}

function latest(a: MonoTime | undefined, b: MonoTime | undefined): MonoTime | undefined {
  if (a === undefined || b === undefined) return a ?? b;
  return a > b ? a : b;
}

/** Inspects the members of stalled groups while this daemon holds the lease. */

import { errAsync } from 'neverthrow';
import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import { formatAnswers, mayFindSilent } from '../../core/gateway/loss-evidence';
import { isStandby } from '../../core/gateway/forming/start';
import type { LossEvidence } from '../../core/gateway/suspicion';
import type { BackendServer } from '../../core/gateway/types';
import { later } from '../../core/ids';
import type { GroupId, InstanceId, MonoTime } from '../../core/ids';
import type { Servers } from '../../ports/gateway';
import { fail } from '../../utils/errors';
import type { GatewayContext } from './context';
import type { EvacuatedZones } from './evacuations';
import { inspectGroup } from './group-inspection';
import type { Conclusion, LastEventAt } from './group-inspection';
import type { Stall } from './group-registry';
import type { Leadership } from './lease';
import { createLostServers } from './lost-servers';
import { pickReferences } from './reference-servers';
import type { ServerRegistry } from './server-registry';

export interface MemberInspection {
  /** Asks the members of a stalled group for reports and notes those that are lost. */
  inspect(stall: Stall, lastEventAt?: LastEventAt): void;
  /**
   * Asks the members of a group that is suspended because an earlier leader found them silent, unless they are
   * being asked.
   */
  recheck(stall: Stall, lastEventAt: LastEventAt): void;
  /** Groups with a member that is lost. */
  readonly lost: Observable<Stall>;
  /** Groups that were lost by silence alone and whose members answer again. */
  readonly recovered: Observable<Stall>;
  /** Groups that with streams that gave no event although all known members answered a while before. */
  readonly stillSilent: Observable<Stall>;
}

export interface MemberInspectionOptions {
  readonly serverRegistry: Pick<ServerRegistry, 'servers' | 'lapsed' | 'changes'>;
  readonly leadership: Pick<Leadership, 'heldFencing'>;
  readonly servers: Pick<Servers, 'report'>;
  /** Whether any daemon has streams running in the group. */
  readonly isBusy: (group: GroupId) => boolean;
  readonly evacuations: Pick<EvacuatedZones, 'isEvacuated'>;
  /** Excludes servers as lost until the given time. */
  readonly noteLost: (
    lost: readonly BackendServer[],
    until: MonoTime,
    evidence: LossEvidence,
  ) => void;
  /** Ends the exclusion of a server that answers again. */
  readonly noteFound: (server: BackendServer) => void;
  /** Whether a server that does not answer here is reached through a peer. */
  readonly isReachedByPeer: (address: string) => Promise<boolean>;
  /** Whether a server that refuses this daemon has ended, as far as peers can tell. */
  readonly hasEnded: (address: string) => Promise<boolean>;
  /** Called after `noteLost` and `noteFound`. */
  readonly replan: () => void;
}

/** Minimum time between the starts of two inspections of the same group. */
const INSPECT_INTERVAL_MS = 700;
/** Times of losses by silence that are remembered, more than are counted. */
const MAX_FOUND = 16;

const NO_EVENTS: LastEventAt = () => undefined;

/** A group that is inspected under the present lease. */
interface Inspected {
  readonly members: readonly BackendServer[];
  readonly lastEventAt: LastEventAt;
  readonly isCurrent: () => boolean;
  /** Called if all members answer. */
  readonly onAnswered: () => void;
}

/** Why a group is inspected. */
interface Inspecting {
  readonly lastEventAt: LastEventAt;
  /** The inspection ends without a finding once this is false. */
  readonly isNeeded?: () => boolean;
  readonly onAnswered?: () => void;
}

export function createMemberInspection(
  ctx: Pick<GatewayContext, 'clock' | 'logger' | 'metrics' | 'random'>,
  options: MemberInspectionOptions,
): MemberInspection {
  const { clock, logger, metrics, random } = ctx;
  const { serverRegistry, leadership, isBusy, evacuations, replan } = options;
  const running = new Set<GroupId>();
  const nextInspectionAt = new Map<GroupId, MonoTime>();
  /** Servers whose entries expired and whose groups were inspected since. */
  const inspectedLapsed = new Set<InstanceId>();
  const lostGroups = new Subject<Stall>();
  const recoveredGroups = new Subject<Stall>();
  const stillSilent = new Subject<Stall>();
  /** When groups were last found lost by silence. */
  let silentFoundAt: readonly MonoTime[] = [];

  /** Asks servers, but those of zones that have been evacuated meanwhile. */
  const servers: Pick<Servers, 'report'> = {
    report: (server, timeoutMs) =>
      evacuations.isEvacuated(server.zone)
        ? errAsync(fail('cancelled', 'the zone is evacuated', { step: 'report' }))
        : options.servers.report(server, timeoutMs),
  };

  const lostServers = createLostServers({
    ...{ clock, servers, noteLost: options.noteLost },
    fencing: () => leadership.heldFencing(),
    isKnown: (id) => serverRegistry.servers.has(id) || serverRegistry.lapsed.has(id),
    noteRefused: ({ membership }) => {
      const head = membership && membersOf(membership.group).find(isHead);
      if (head) inspect({ group: membership.group, head: head.id });
    },
    noteFound: (server) => {
      logger.info('lost server answers again', { step: 'inspect', server: server.id });
      options.noteFound(server);
      replan();
      noteRecovered(server);
    },
  });

  /** The members of the group that are listed or were. */
  const membersOf = (group: GroupId): readonly BackendServer[] =>
    [...serverRegistry.servers.values(), ...serverRegistry.lapsed.values()].filter(
      ({ membership }) => membership?.group === group,
    );

  /** The group of a server that answers again may go on once no other member is lost. */
  const noteRecovered = ({ membership }: BackendServer): void => {
    if (!membership) return;
    const { group } = membership;
    const members = membersOf(group);
    const head = members.find(isHead);
    if (head && !members.some(({ id }) => lostServers.has(id)))
      recoveredGroups.next({ group, head: head.id });
  };

  const begin = (
    stall: Stall,
    { lastEventAt, isNeeded = () => true, onAnswered = () => undefined }: Inspecting,
  ): void => {
    const { group } = stall;
    const now = clock.now();
    const nextAt = nextInspectionAt.get(group);
    const fencing = leadership.heldFencing();
    if (fencing === undefined || running.has(group) || (nextAt !== undefined && now < nextAt))
      return;
    const members = membersOf(group);
    // Nothing may be sent to servers of evacuated zones; the streams there end by their own silence.
    if (members.some(({ zone }) => evacuations.isEvacuated(zone))) return;
    // It is being ended.
    if (members.some(({ id }) => lostServers.hasEnded(id))) return;
    nextInspectionAt.set(group, later(now, INSPECT_INTERVAL_MS));
    running.add(group);
    const isCurrent = (): boolean =>
      leadership.heldFencing() === fencing &&
      isNeeded() &&
      !members.some(({ zone }) => evacuations.isEvacuated(zone));
    void inspectMembers(stall, { members, lastEventAt, isCurrent, onAnswered }).finally(() => {
      running.delete(group);
    });
  };

  const inspect = (stall: Stall, lastEventAt: LastEventAt = NO_EVENTS): void => {
    begin(stall, { lastEventAt });
  };

  const recheck = (stall: Stall, lastEventAt: LastEventAt): void => {
    if (membersOf(stall.group).some(({ id }) => lostServers.has(id))) return;
    begin(stall, {
      lastEventAt,
      onAnswered: () => {
        recoveredGroups.next(stall);
      },
    });
  };

  const inspectMembers = async (
    stall: Stall,
    { members, lastEventAt, isCurrent, onAnswered }: Inspected,
  ): Promise<void> => {
    const { group, head } = stall;
    const publish = (lost: readonly BackendServer[], evidence: LossEvidence): void => {
      lostServers.add(lost, evidence, lastEventAt);
      if (!isStandby(group)) lostGroups.next({ group, head, evidence });
      replan();
    };
    await inspectGroup({
      ...{ clock, servers, members, lastEventAt, isCurrent },
      pickReferences: () => pickReferences(members, askableServers(), () => random.next()),
      isReachedByPeer: options.isReachedByPeer,
      hasEnded: options.hasEnded,
      mayFindSilent: (look) => mayFindSilent(silentFoundAt, look, clock.now()),
      onStillSilent: () => {
        // Without streams it has no events to give.
        if (isBusy(group)) stillSilent.next(stall);
      },
      report: (conclusion) => {
        logConclusion(stall, conclusion);
        const { outcome, lost } = conclusion;
        if (outcome === 'silent') silentFoundAt = [...silentFoundAt, clock.now()].slice(-MAX_FOUND);
        if (outcome === 'silent' || outcome === 'ended') publish(lost, outcome);
        if (outcome === 'answered' && isCurrent()) onAnswered();
      },
    });
  };

  /** Engine servers that may be asked for comparison: neither excluded nor in an evacuated zone. */
  const askableServers = (): readonly BackendServer[] =>
    [...serverRegistry.servers.values()].filter(
      ({ id, zone }) => !evacuations.isEvacuated(zone) && !lostServers.has(id),
    );

  const logConclusion = ({ group, head }: Stall, conclusion: Conclusion): void => {
    const { outcome, members, lost, answers, references, eventAt, tookMs, delayMs } = conclusion;
    metrics.count('nutmegstack_member_inspections_total', { outcome });
    logger.info('members asked', {
      ...{ step: 'inspect', group, head, outcome, members },
      lost: lost.map(({ id }) => id).join(' '),
      answers: formatAnswers(answers),
      references: formatAnswers(references),
      ...(eventAt !== undefined && { eventAgeMs: Math.round(clock.now() - eventAt) }),
      tookMs: Math.round(tookMs),
      longestDelayMs: Math.round(delayMs),
    });
  };

  /**
   * A member whose entry expired may be lost, or may only be cut off from the store and from this
   * daemon. If its group has streams, their events or their silence decide; a group is inspected
   * while it is idle.
   */
  const inspectLapsed = (): void => {
    for (const { id, membership } of serverRegistry.lapsed.values()) {
      if (inspectedLapsed.has(id)) continue;
      inspectedLapsed.add(id);
      if (!membership) continue;
      const isIdle = (): boolean => !isBusy(membership.group);
      if (isIdle())
        begin({ group: membership.group, head: id }, { lastEventAt: NO_EVENTS, isNeeded: isIdle });
    }
    for (const id of inspectedLapsed)
      if (!serverRegistry.lapsed.has(id)) inspectedLapsed.delete(id);
  };

  serverRegistry.changes.subscribe(inspectLapsed);

  return { inspect, recheck, lost: lostGroups, recovered: recoveredGroups, stillSilent };
}

function isHead({ membership }: BackendServer): boolean {
  return membership?.rank === 0;
}

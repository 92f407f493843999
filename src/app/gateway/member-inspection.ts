/** Inspects the members of stalled groups while this daemon holds the lease. */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import { formatAnswers } from '../../core/gateway/loss-evidence';
import type { Answer } from '../../core/gateway/loss-evidence';
import { isStandby } from '../../core/gateway/forming/start';
import type { BackendServer } from '../../core/gateway/types';
import { later } from '../../core/ids';
import type { GroupId, InstanceId, MonoTime } from '../../core/ids';
import type { Servers } from '../../ports/gateway';
import type { StepError } from '../../utils/errors';
import { pause } from '../../utils/pause';
import type { GatewayContext } from './context';
import { startDelayWatch } from './delay-watch';
import type { EvacuatedZones } from './evacuations';
import type { Stall } from './group-registry';
import type { Leadership } from './lease';
import type { ServerRegistry } from './server-registry';

export interface MemberInspection {
  /**
   * Asks the members of a stalled group for reports and notes those that do not answer as lost.
   * `lastEventAt`: when the group last gave an event to any daemon, as far as known.
   */
  inspect(stall: Stall, lastEventAt?: LastEventAt): void;
  /** Groups with a member that did not answer and is therefore considered lost. */
  readonly lost: Observable<Stall>;
}

export type LastEventAt = () => MonoTime | undefined;

export interface MemberInspectionOptions {
  readonly serverRegistry: Pick<ServerRegistry, 'servers' | 'lapsed' | 'changes'>;
  readonly leadership: Pick<Leadership, 'heldFencing'>;
  readonly servers: Pick<Servers, 'report'>;
  /** Whether any daemon has streams running in the group. */
  readonly isBusy: (group: GroupId) => boolean;
  readonly evacuations: Pick<EvacuatedZones, 'isEvacuated'>;
  /** Records servers as lost until the given time. */
  readonly noteLost: (lost: readonly BackendServer[], until: MonoTime) => void;
  /** Whether a server that does not answer here is reached through a peer. */
  readonly isReachedByPeer: (address: string) => Promise<boolean>;
  /** Called after `noteLost`. */
  readonly replan: () => void;
}

/**
 * A member that sends no report within this time is considered lost. A healthy one takes about a
 * millisecond.
 */
const REPORT_TIMEOUT_MS = 250;
/**
 * After this time a second request is sent on a connection of its own, in case a packet was lost.
 */
const RETRY_REPORT_MS = 90;
/** A lost member is excluded for this long, or until it restarts under another id. */
const LOST_EXCLUSION_MS = 20_000;
/** Minimum time between two inspections of the same group. */
const INSPECT_INTERVAL_MS = 700;

const NO_EVENTS: LastEventAt = () => undefined;

/**
 * What an inspection found: all members answer, one has ended, one is silent, or nothing, as this daemon
 * reached no other server either.
 */
type InspectionOutcome = 'answered' | 'ended' | 'silent' | 'inconclusive';

export function createMemberInspection(
  { clock, logger, metrics }: Pick<GatewayContext, 'clock' | 'logger' | 'metrics'>,
  options: MemberInspectionOptions,
): MemberInspection {
  const { serverRegistry, leadership, servers, isBusy, evacuations, noteLost, replan } = options;
  const { isReachedByPeer } = options;
  const nextInspectionAt = new Map<GroupId, MonoTime>();
  /** Servers whose entries expired and whose groups were inspected since. */
  const inspectedLapsed = new Set<InstanceId>();
  const lostGroups = new Subject<Stall>();

  /** How the server answers the first or the second request. */
  const ask = async (server: BackendServer): Promise<Answer> => {
    const askedAt = clock.now();
    const requestReport = async (timeoutMs: number): Promise<Answer['kind']> =>
      (await servers.report(server, timeoutMs)).match(() => 'answered', kindOf);
    const askTwice = async (): Promise<Answer['kind']> => {
      const first = requestReport(REPORT_TIMEOUT_MS);
      const early = await Promise.race([first, pause(RETRY_REPORT_MS)]);
      if (early === 'answered') return early;
      const both = await Promise.all([first, requestReport(REPORT_TIMEOUT_MS - RETRY_REPORT_MS)]);
      if (both.includes('answered')) return 'answered';
      if (await isReachedByPeer(server.address)) return requestReport(REPORT_TIMEOUT_MS);
      return both.includes('ended') ? 'ended' : 'silent';
    };
    const kind = await askTwice();
    return { kind, ms: clock.now() - askedAt };
  };

  const inspect = ({ group, head }: Stall, lastEventAt: LastEventAt = NO_EVENTS): void => {
    const now = clock.now();
    const nextAt = nextInspectionAt.get(group);
    if (leadership.heldFencing() === undefined || (nextAt !== undefined && now < nextAt)) return;
    nextInspectionAt.set(group, later(now, INSPECT_INTERVAL_MS));
    const members = [...serverRegistry.servers.values(), ...serverRegistry.lapsed.values()].filter(
      ({ membership }) => membership?.group === group,
    );
    // Nothing may be sent to servers of evacuated zones; the streams there end by their own silence.
    if (members.some(({ zone }) => evacuations.isEvacuated(zone))) return;
    void inspectMembers({ group, head }, members, lastEventAt);
  };

  const inspectMembers = async (
    { group, head }: Stall,
    members: readonly BackendServer[],
    lastEventAt: LastEventAt,
  ): Promise<void> => {
    const delayWatch = startDelayWatch(clock);
    const answers = await Promise.all(members.map(ask));
    const lost = members.filter((_, i) => answers[i]?.kind !== 'answered');
    // If no member answers, this daemon's own link may be down: check it against other domains
    // first.
    const mustCheckLink = lost.length === members.length && members.length > 1;
    const references = mustCheckLink ? pickReferences(members) : [];
    const referenceAnswers = await Promise.all(references.map(ask));
    const isLinkDown = mustCheckLink && !referenceAnswers.some(({ kind }) => kind === 'answered');
    const outcome = outcomeOf(answers, isLinkDown);
    const eventAt = lastEventAt();
    metrics.count('nutmegstack_member_inspections_total', { outcome });
    logger.info('members asked', {
      step: 'inspect',
      group,
      head,
      outcome,
      members: members.length,
      lost: lost.map(({ id }) => id).join(' '),
      answers: formatAnswers(zip(members, answers)),
      references: formatAnswers(zip(references, referenceAnswers)),
      ...(eventAt !== undefined && { eventAgeMs: Math.round(clock.now() - eventAt) }),
      longestDelayMs: delayWatch.stop(),
    });
    if (outcome === 'inconclusive' || outcome === 'answered') return;
    noteLost(lost, later(clock.now(), LOST_EXCLUSION_MS));
    if (!isStandby(group)) lostGroups.next({ group, head, evidence: outcome });
    replan();
  };

  /**
   * A member whose entry expired may be lost, or may only be cut off from the store and from this
   * daemon. If its group has streams, their events or their silence decide; an idle group is
   * inspected.
   */
  const inspectLapsed = (): void => {
    for (const { id, membership } of serverRegistry.lapsed.values()) {
      if (inspectedLapsed.has(id)) continue;
      inspectedLapsed.add(id);
      if (membership && !isBusy(membership.group)) inspect({ group: membership.group, head: id });
    }
    for (const id of inspectedLapsed)
      if (!serverRegistry.lapsed.has(id)) inspectedLapsed.delete(id);
  };

  serverRegistry.changes.subscribe(inspectLapsed);

  /** Engine servers of other domains; servers of plain services give no reports. */
  const pickReferences = (members: readonly BackendServer[]): readonly BackendServer[] => {
    const ownDomain = members[0]?.domain;
    return [...serverRegistry.servers.values()]
      .filter(({ domain }) => domain !== undefined && domain !== ownDomain)
      .filter(({ zone }) => !evacuations.isEvacuated(zone))
      .slice(0, 2);
  };

  return { inspect, lost: lostGroups };
}

/** Codes of errors that show that the server's process has ended. */
const ENDED_CODES: ReadonlySet<StepError['code']> = new Set(['backend-refused', 'backend-lost']);

function kindOf({ code }: StepError): Answer['kind'] {
  return ENDED_CODES.has(code) ? 'ended' : 'silent';
}

function outcomeOf(answers: readonly Answer[], isLinkDown: boolean): InspectionOutcome {
  if (answers.every(({ kind }) => kind === 'answered')) return 'answered';
  if (isLinkDown) return 'inconclusive';
  return answers.some(({ kind }) => kind === 'ended') ? 'ended' : 'silent';
}

function zip(
  servers: readonly BackendServer[],
  answers: readonly Answer[],
): readonly (readonly [string, Answer])[] {
  return servers.flatMap(({ id }, i) => {
    const answer = answers[i];
    return answer ? [[id, answer] as const] : [];
  });
}

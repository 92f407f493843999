/** Inspects the members of stalled groups while this daemon holds the lease. */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import { isStandby } from '../../core/gateway/forming/start';
import type { BackendServer } from '../../core/gateway/types';
import { later } from '../../core/ids';
import type { GroupId, InstanceId, MonoTime } from '../../core/ids';
import type { Servers } from '../../ports/gateway';
import { pause } from '../../utils/pause';
import type { GatewayContext } from './context';
import type { EvacuatedZones } from './evacuations';
import type { Stall } from './group-registry';
import type { Leadership } from './lease';
import type { ServerRegistry } from './server-registry';

export interface MemberInspection {
  /** Asks the members of a stalled group for reports and notes those that do not answer as lost. */
  inspect(stall: Stall): void;
  /** Groups with a member that did not answer and is therefore considered lost. */
  readonly lost: Observable<Stall>;
}

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

export function createMemberInspection(
  { clock, logger }: Pick<GatewayContext, 'clock' | 'logger'>,
  options: MemberInspectionOptions,
): MemberInspection {
  const { serverRegistry, leadership, servers, isBusy, evacuations, noteLost, replan } = options;
  const { isReachedByPeer } = options;
  const nextInspectionAt = new Map<GroupId, MonoTime>();
  /** Servers whose entries expired and whose groups were inspected since. */
  const inspectedLapsed = new Set<InstanceId>();
  const lostGroups = new Subject<Stall>();

  /** Whether the server sends a report, on the first or the second request. */
  const isResponding = async (server: BackendServer): Promise<boolean> => {
    const requestReport = async (timeoutMs: number): Promise<boolean> =>
      (await servers.report(server, timeoutMs)).isOk();
    const first = requestReport(REPORT_TIMEOUT_MS);
    const hasAnswered = await Promise.race([first, pause(RETRY_REPORT_MS).then(() => false)]);
    if (hasAnswered) return true;
    const both = await Promise.all([first, requestReport(REPORT_TIMEOUT_MS - RETRY_REPORT_MS)]);
    if (both.includes(true)) return true;
    return (await isReachedByPeer(server.address)) && requestReport(REPORT_TIMEOUT_MS);
  };

  const inspect = ({ group, head }: Stall): void => {
    const now = clock.now();
    const nextAt = nextInspectionAt.get(group);
    if (leadership.heldFencing() === undefined || (nextAt !== undefined && now < nextAt)) return;
    nextInspectionAt.set(group, later(now, INSPECT_INTERVAL_MS));
    const members = [...serverRegistry.servers.values(), ...serverRegistry.lapsed.values()].filter(
      ({ membership }) => membership?.group === group,
    );
    // Nothing may be sent to servers of evacuated zones; the streams there end by their own silence.
    if (members.some(({ zone }) => evacuations.isEvacuated(zone))) return;
    void inspectMembers(group, head, members);
  };

  const inspectMembers = async (
    group: GroupId,
    head: InstanceId,
    members: readonly BackendServer[],
  ): Promise<void> => {
    const responding = await Promise.all(members.map(isResponding));
    const lost = members.filter((_, i) => !responding[i]);
    logger.info('members asked', {
      step: 'inspect',
      group,
      head,
      members: members.length,
      lost: lost.map(({ id }) => id).join(' '),
    });
    // If no member answers, this daemon's own link may be down: check it against other domains
    // first.
    if (
      lost.length === members.length &&
      members.length > 1 &&
      !(await canReachOtherDomains(members))
    )
      return;
    if (lost.length === 0) return;
    noteLost(lost, later(clock.now(), LOST_EXCLUSION_MS));
    if (!isStandby(group)) lostGroups.next({ group, head });
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

  /**
   * Whether any engine server of another domain answers; servers of plain services give no reports.
   */
  const canReachOtherDomains = async (members: readonly BackendServer[]): Promise<boolean> => {
    const ownDomain = members[0]?.domain;
    const others = [...serverRegistry.servers.values()]
      .filter(({ domain }) => domain !== undefined && domain !== ownDomain)
      .filter(({ zone }) => !evacuations.isEvacuated(zone))
      .slice(0, 2);
    const responding = await Promise.all(others.map(isResponding));
    return responding.includes(true);
  };

  return { inspect, lost: lostGroups };
}

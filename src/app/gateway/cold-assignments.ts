/**
 * Which daemons may send to each cold server. The leader assigns them and publishes the
 * assignments; the other daemons keep what they receive until the limit of the server ends.
 *
 * A leader that has no assignment for a server looks for one in the states that it received since it
 * took the lease. It assigns senders beside an earlier leader's only if it receives states of most
 * daemons, but of none of these senders.
 */

import { assignSenders } from '../../core/gateway/limits/cold';
import type { ColdAssignment } from '../../core/gateway/limits/cold';
import { later } from '../../core/ids';
import type { DaemonId, FencingNumber, InstanceId, MonoTime } from '../../core/ids';
import { compareText } from '../../utils/common';
import type { GatewayContext } from './context';
import type { Fleet } from './fleet';
import type { Leadership } from './lease';
import type { ColdSendersMessage } from './messages';
import type { PeerView } from './peer-view';

/** A cold server that takes requests. */
export interface ColdServer {
  readonly server: InstanceId;
  /** Bound on the requests that it may receive in one second. */
  readonly bound: number;
  /** For how long it stays cold, milliseconds. */
  readonly leftMs: number;
  /** Earliest time at which senders may be assigned; absent if at once. */
  readonly assignAt?: MonoTime;
}

export interface ColdAssignments {
  of(server: InstanceId): ColdAssignment | undefined;
  /** Whether the message is of an earlier leader than the last one. */
  isOutdated(message: ColdSendersMessage): boolean;
  /** Applies a leader's message. */
  receive(message: ColdSendersMessage, source: string): void;
  /** Forgets the assignment of a server whose limit has ended. Returns whether there was one. */
  forget(server: InstanceId): boolean;
  /** As the leader: assigns senders to servers that have none, and publishes the assignments. */
  tick(cold: readonly ColdServer[]): void;
}

export interface ColdAssignmentsOptions {
  readonly leadership: Pick<Leadership, 'heldFencing'>;
  readonly fleet: Pick<Fleet, 'live' | 'candidates'>;
  readonly isStopping: () => boolean;
  readonly publish: (message: ColdSendersMessage) => void;
}

/** Interval at which the leader repeats assignments, for daemons that missed them or just started. */
const REPEAT_MS = 500;
/**
 * Assignments in one repetition, in turn. Each takes about 250 bytes, and the control messages of a
 * daemon may take 8 KB/s.
 */
const MAX_REPEATED = 6;
/** Assignments made in one tick: the servers of a whole zone may become cold together. */
const MAX_ASSIGNED = 100;
/**
 * States that arrive this soon after the leader took the lease may have been sent before an
 * assignment of its predecessor arrived: relays collect them for 0.1 s.
 */
const STATE_DELAY_MS = 300;
/**
 * A new leader makes no assignment before this: daemons send their states every 0.2 s, and those
 * that have not reported their assignment by then lose it.
 */
const TERM_SETTLE_MS = 700;

export function createColdAssignments(
  { clock, logger, settings }: GatewayContext,
  { leadership, fleet, isStopping, publish }: ColdAssignmentsOptions,
): ColdAssignments {
  const assignments = new Map<InstanceId, ColdAssignment>();
  /**
   * The highest fencing number seen, which those of later eras of the store exceed; and as the
   * leader, since when it is this daemon's.
   */
  let newestTerm = 0;
  let term: FencingNumber | undefined;
  let termSince = clock.now();
  let repeatDueAt = clock.now();
  let repeatFrom = 0;
  /** Servers without senders whose coldness was published. */
  let announced: ReadonlySet<InstanceId> = new Set();

  const send = (fencing: FencingNumber, cold: readonly ColdServer[]): void => {
    const servers = cold.flatMap(({ server, leftMs }): ColdSendersMessage['servers'] => {
      const assignment = assignments.get(server);
      if (!assignment) return [];
      return [[server, assignment.perSender, Math.round(leftMs), [...assignment.senders]]];
    });
    if (servers.length > 0) publish({ kind: 'cold-senders', fencing, servers });
  };

  /** The daemons that reported since the lease was taken. */
  const listHeard = (): readonly PeerView[] => {
    const since = later(termSince, STATE_DELAY_MS);
    return fleet.live().filter(({ at }) => at >= since);
  };

  /** The daemons that report to be senders of the server, by an assignment of an earlier leader. */
  const findAssigned = (
    server: InstanceId,
    heard: readonly PeerView[],
  ): ColdAssignment | undefined => {
    const found = heard.flatMap(({ id, cold = [] }) => {
      const entry = cold.find(([reported, , perSender]) => reported === server && perSender > 0);
      return entry ? [{ id, perSender: entry[2] }] : [];
    });
    if (found.length === 0) return undefined;
    return {
      senders: found.map(({ id }) => id),
      perSender: Math.max(...found.map(({ perSender }) => perSender)),
    };
  };

  const logAssigned = (
    { server, bound, leftMs }: ColdServer,
    { senders, perSender }: ColdAssignment,
    facts: { readonly outcome: 'assigned' | 'adopted'; readonly daemons: number },
  ): void => {
    logger.info('senders of a cold server', {
      step: 'cold',
      server,
      bound,
      leftMs: Math.round(leftMs),
      ...facts,
      senders: [...senders].sort(compareText).join(' '),
      perSender,
    });
  };

  const assignMissing = (cold: readonly ColdServer[]): readonly ColdServer[] => {
    const now = clock.now();
    const missing = cold
      .filter(({ server, assignAt = now }) => !assignments.has(server) && now >= assignAt)
      .slice(0, MAX_ASSIGNED);
    if (missing.length === 0 || now < later(termSince, TERM_SETTLE_MS)) return [];
    const heard = listHeard();
    if (2 * (heard.length + 1) <= fleet.candidates().size) return [];
    const daemons: DaemonId[] = heard.flatMap(({ id, isStopping: stops }) => (stops ? [] : [id]));
    if (!isStopping()) daemons.push(settings.id);
    for (const coldServer of missing) {
      const { server, bound } = coldServer;
      const adopted = findAssigned(server, heard);
      const assignment = adopted ?? assignSenders(server, bound, daemons);
      assignments.set(server, assignment);
      const outcome = adopted ? 'adopted' : 'assigned';
      logAssigned(coldServer, assignment, { outcome, daemons: daemons.length });
    }
    return missing;
  };

  /**
   * Publishes servers that became cold while they took requests, before they are assigned senders:
   * daemons that do not know it from the store would go on to send without a limit until then.
   */
  const announce = (fencing: FencingNumber, cold: readonly ColdServer[]): void => {
    const unassigned = cold.filter(
      ({ server, assignAt }) => assignAt !== undefined && !assignments.has(server),
    );
    const isAnnounced = ({ server }: ColdServer): boolean => announced.has(server);
    const next = unassigned.filter((entry) => !isAnnounced(entry)).slice(0, MAX_ASSIGNED);
    announced = new Set([...unassigned.filter(isAnnounced), ...next].map(({ server }) => server));
    const servers = next.map(({ server, leftMs }): ColdSendersMessage['servers'][number] => [
      server,
      0,
      Math.round(leftMs),
      [],
    ]);
    if (servers.length > 0) publish({ kind: 'cold-senders', fencing, servers });
  };

  const repeat = (fencing: FencingNumber, cold: readonly ColdServer[], now: MonoTime): void => {
    if (now < repeatDueAt || cold.length === 0) return;
    repeatDueAt = later(now, REPEAT_MS);
    const start = repeatFrom < cold.length ? repeatFrom : 0;
    const next = cold.slice(start, start + MAX_REPEATED);
    repeatFrom = start + next.length;
    send(fencing, next);
  };

  return {
    of: (server) => assignments.get(server),
    isOutdated: ({ fencing }) => fencing < newestTerm,
    receive: ({ fencing, servers }, source) => {
      newestTerm = fencing;
      for (const [server, perSender, leftMs, senders] of servers) {
        if (senders.length === 0) continue;
        const before = assignments.get(server);
        const isSender = senders.includes(settings.id);
        const wasSender = before?.senders.includes(settings.id);
        assignments.set(server, { senders, perSender });
        if (isSender === wasSender && before?.perSender === perSender) continue;
        logger.info('share of a cold server', {
          step: 'cold',
          server,
          source,
          leftMs,
          senders: senders.length,
          perSecond: isSender ? perSender : 0,
        });
      }
    },
    forget: (server) => assignments.delete(server),
    tick: (cold) => {
      const fencing = leadership.heldFencing();
      const now = clock.now();
      if (fencing !== undefined && fencing !== term) termSince = now;
      term = fencing;
      if (fencing === undefined) return;
      newestTerm = Math.max(newestTerm, fencing);
      send(fencing, assignMissing(cold));
      announce(fencing, cold);
      repeat(fencing, cold, now);
    },
  };
}

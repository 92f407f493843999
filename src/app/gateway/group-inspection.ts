/** One inspection of a group: looks at its members until it is known whether any of them is lost. */

import { findSilent, nextLookMs, noteLook } from '../../core/gateway/loss-evidence';
import type { Answer, Look, Silences } from '../../core/gateway/loss-evidence';
import type { LossEvidence } from '../../core/gateway/suspicion';
import type { BackendServer } from '../../core/gateway/types';
import { later } from '../../core/ids';
import type { InstanceId, MonoTime } from '../../core/ids';
import type { Servers } from '../../ports/gateway';
import type { Clock } from '../../ports/runtime';
import { pause } from '../../utils/pause';
import { createMemberLooks } from './member-look';
import type { MemberLooks, Reference } from './member-look';

/** When a group last gave an event to any daemon, as far as known. */
export type LastEventAt = () => MonoTime | undefined;

/** What an inspection found, and what it was found by. */
export interface Conclusion {
  /**
   * All members answer; one has ended; one is silent among others that answer; or nothing, as others were
   * silent or slow as well, or the group gives events.
   */
  readonly outcome: 'answered' | LossEvidence | 'inconclusive';
  readonly members: number;
  readonly lost: readonly BackendServer[];
  readonly answers: readonly (readonly [string, Answer])[];
  readonly references: readonly (readonly [string, Answer])[];
  /** When the group last gave an event to any daemon. */
  readonly eventAt: MonoTime | undefined;
  readonly tookMs: number;
  /** The longest time for which this process did not run, milliseconds. */
  readonly delayMs: number;
}

export interface GroupInspectionOptions {
  readonly clock: Clock;
  readonly servers: Pick<Servers, 'report'>;
  readonly members: readonly BackendServer[];
  readonly lastEventAt: LastEventAt;
  /** Whether this daemon still leads as at the start. */
  readonly isCurrent: () => boolean;
  readonly pickReferences: () => readonly Reference[];
  readonly isReachedByPeer: (address: string) => Promise<boolean>;
  /** Whether a server that refuses this daemon has ended, as far as peers can tell. */
  readonly hasEnded: (address: string) => Promise<boolean>;
  readonly mayFindSilent: (look: Look) => boolean;
  /** Called when servers have ended, and once at the end if that tells more. */
  readonly report: (conclusion: Conclusion) => void;
  /** Called if the group gives no event for a while although all members answer. */
  readonly onStillSilent: () => void;
}

/** A head that waits for a lost member breaks within this time, which its entry then shows. */
const MAX_INSPECTION_MS = 6_000;

/**
 * A group whose members answer gives events within this time unless one is lost that this daemon does not know:
 * a few passes of the engine, and the states in which peers tell of events, every 400 ms in a large fleet.
 */
const RESUME_MS = 1_000;

/** Members for which peers are asked whether they reach them. */
function createPeerChecks(
  { isReachedByPeer }: Pick<GroupInspectionOptions, 'isReachedByPeer'>,
  onReached: (server: BackendServer) => void,
) {
  const pending = new Set<InstanceId>();
  const checked = new Set<InstanceId>();

  const check = async (server: BackendServer): Promise<void> => {
    checked.add(server.id);
    pending.add(server.id);
    try {
      if (await isReachedByPeer(server.address)) onReached(server);
    } finally {
      pending.delete(server.id);
    }
  };

  return {
    start: (servers: readonly BackendServer[]): void => {
      for (const server of servers) if (!checked.has(server.id)) void check(server);
    },
    arePending: (ids: readonly InstanceId[]): boolean => ids.some((id) => pending.has(id)),
  };
}

/** Whether the group gave an event since this was last asked. */
function createEventWatch(lastEventAt: LastEventAt, startedAt: MonoTime): () => boolean {
  let knownAt = startedAt;
  return () => {
    const eventAt = lastEventAt();
    if (eventAt === undefined || eventAt <= knownAt) return false;
    knownAt = eventAt;
    return true;
  };
}

export async function inspectGroup(options: GroupInspectionOptions): Promise<void> {
  const { clock, servers, members, lastEventAt, isCurrent, report } = options;
  const startedAt = clock.now();
  const endsAt = later(startedAt, MAX_INSPECTION_MS);
  const ended = new Set<InstanceId>();
  const hasNewEvent = createEventWatch(lastEventAt, startedAt);
  let references: readonly Reference[] = [];
  let silences: Silences = new Map();
  let look: Look | undefined;

  const conclude = (
    outcome: Conclusion['outcome'],
    lost: readonly BackendServer[],
    looks: MemberLooks,
  ): void => {
    const now = clock.now();
    const isEnded = ({ id }: BackendServer): boolean => ended.has(id);
    report({
      ...{ outcome, lost, members: members.length },
      answers: [
        ...(look?.members ?? []),
        ...members.filter(isEnded).map(({ id }) => [id, { kind: 'ended', ms: 0 }] as const),
      ],
      references: references.flatMap(({ server }, i): [string, Answer][] => {
        const answer = look?.references[i];
        return answer ? [[server.id, answer]] : [];
      }),
      eventAt: lastEventAt(),
      tookMs: now - startedAt,
      delayMs: looks.longestDelayMs(),
    });
  };

  const looks = createMemberLooks({
    ...{ clock, servers },
    onSlow: (slow) => {
      peerChecks.start(slow);
    },
    // A draining member may refuse connections while its group still has work: only its silence counts.
    hasEnded: ({ address, isDraining }) =>
      isDraining ? Promise.resolve(false) : options.hasEnded(address),
    onEnded: (server) => {
      if (!members.includes(server) || !isCurrent()) return;
      ended.add(server.id);
      conclude('ended', [server], looks);
    },
  });
  const peerChecks = createPeerChecks(options, (server) => {
    silences = new Map([...silences].filter(([id]) => id !== server.id));
    looks.ask(server);
  });

  for (;;) {
    // Others each time, as a few servers may be lost or paused themselves.
    references = options.pickReferences();
    const finished = await looks.take({ members, references, minMs: nextLookMs(look) });
    look = finished.look;
    const { result } = finished;
    if (!isCurrent()) return;
    if (result === 'answered') {
      if (ended.size > 0) return;
      conclude('answered', [], looks);
      await pause(RESUME_MS);
      if (isCurrent() && !hasNewEvent()) options.onStillSilent();
      return;
    }
    silences = hasNewEvent() ? new Map() : noteLook(silences, look, result);
    const found = new Set(result === 'silent' ? findSilent(silences, look) : []);
    const lost = members.filter(({ id }) => found.has(id));
    if (lost.length > 0 && !peerChecks.arePending([...found]) && options.mayFindSilent(look)) {
      conclude('silent', lost, looks);
      return;
    }
    if (clock.now() >= endsAt) {
      conclude('inconclusive', [], looks);
      return;
    }
    peerChecks.start(members.filter(({ id }) => look?.members.get(id)?.kind === 'silent'));
  }
}

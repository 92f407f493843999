/** Servers that the leader found lost. They are asked again: one that answers is used again. */

import { isContradicted } from '../../core/gateway/loss-evidence';
import type { LossEvidence } from '../../core/gateway/suspicion';
import type { BackendServer } from '../../core/gateway/types';
import { later } from '../../core/ids';
import type { FencingNumber, InstanceId, MonoTime } from '../../core/ids';
import type { Servers } from '../../ports/gateway';
import type { Clock } from '../../ports/runtime';
import type { LastEventAt } from './group-inspection';
import { pause } from '../../utils/pause';
import { isEnded } from './member-look';

export interface LostServers {
  /** `lastEventAt` tells of the group of the servers. */
  add(servers: readonly BackendServer[], evidence: LossEvidence, lastEventAt: LastEventAt): void;
  /** Whether the server was found lost under the present lease and has not answered since. */
  has(id: InstanceId): boolean;
  /** The same, for one that has ended. */
  hasEnded(id: InstanceId): boolean;
}

export interface LostServersOptions {
  readonly clock: Clock;
  readonly servers: Pick<Servers, 'report'>;
  /** The fencing number under which this daemon leads. */
  readonly fencing: () => FencingNumber | undefined;
  /** Whether the server is listed, or was and has not restarted. */
  readonly isKnown: (id: InstanceId) => boolean;
  /** Excludes servers until the given time. */
  readonly noteLost: (
    servers: readonly BackendServer[],
    until: MonoTime,
    evidence: LossEvidence,
  ) => void;
  /** Notes that a server which was silent refuses connections now. */
  readonly noteRefused: (server: BackendServer) => void;
  /** Ends the exclusion of a server. */
  readonly noteFound: (server: BackendServer) => void;
}

/** A lost server is excluded for this long unless it answers before, or restarts under another id. */
const EXCLUSION_MS = 20_000;
/**
 * How a lost server is asked. One that is only silent has a question waiting, so that it is used again as soon as
 * it goes on: its group may not have been ended yet.
 */
const ASKING: Readonly<Record<LossEvidence, { intervalMs: number; timeoutMs: number }>> = {
  ended: { intervalMs: 1_000, timeoutMs: 500 },
  silent: { intervalMs: 100, timeoutMs: 900 },
};
/** The exclusion of an ended server is prolonged this long before its end. */
const PROLONG_MS = 3_000;

interface LostServer {
  /** Under which it was found. */
  readonly fencing: FencingNumber;
  evidence: LossEvidence;
  readonly foundAt: MonoTime;
  readonly lastEventAt: LastEventAt;
}

export function createLostServers({
  clock,
  servers,
  fencing,
  isKnown,
  noteLost,
  noteRefused,
  noteFound,
}: LostServersOptions): LostServers {
  const watched = new Map<InstanceId, LostServer>();

  const find = (id: InstanceId): LostServer | undefined => {
    const found = watched.get(id);
    return found?.fencing === fencing() ? found : undefined;
  };

  const has = (id: InstanceId): boolean => find(id) !== undefined;

  const noteAlive = (server: BackendServer): void => {
    watched.delete(server.id);
    noteFound(server);
  };

  /** Asks the server until it answers, its group gives an event although it is only silent, or its exclusion ends; that of an ended one is prolonged. */
  const watch = async (server: BackendServer, lost: LostServer): Promise<void> => {
    const isWatched = (): boolean => has(server.id) && isKnown(server.id);
    let until = later(clock.now(), EXCLUSION_MS);
    let hasEnded = lost.evidence === 'ended';
    while (isWatched() && (hasEnded || clock.now() < until)) {
      const { intervalMs, timeoutMs } = ASKING[hasEnded ? 'ended' : lost.evidence];
      await pause(intervalMs);
      if (!isWatched()) return;
      if (
        lost.evidence === 'silent' &&
        !hasEnded &&
        isContradicted(lost.foundAt, lost.lastEventAt())
      ) {
        noteAlive(server);
        return;
      }
      const report = await servers.report(server, timeoutMs);
      if (report.isOk() || (!hasEnded && report.error.code === 'bad-answer')) {
        noteAlive(server);
        return;
      }
      hasEnded = isEnded(report.error);
      if (hasEnded && lost.evidence === 'silent') noteRefused(server);
      if (!hasEnded || clock.now() < later(until, -PROLONG_MS)) continue;
      until = later(clock.now(), EXCLUSION_MS);
      noteLost([server], until, lost.evidence);
    }
  };

  return {
    has,
    hasEnded: (id) => find(id)?.evidence === 'ended',
    add: (found, evidence, lastEventAt) => {
      const current = fencing();
      if (current === undefined) return;
      const foundAt = clock.now();
      noteLost(found, later(foundAt, EXCLUSION_MS), evidence);
      for (const server of found) {
        const known = find(server.id);
        if (known && evidence === 'ended') known.evidence = evidence;
        if (known) continue;
        const lost: LostServer = { fencing: current, evidence, foundAt, lastEventAt };
        watched.set(server.id, lost);
        void watch(server, lost).finally(() => {
          if (watched.get(server.id) === lost) watched.delete(server.id);
        });
      }
    },
  };
}

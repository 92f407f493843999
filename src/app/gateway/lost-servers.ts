/** Servers that the leader found lost. They are asked again: one that answers is used again. */

import type { LossEvidence } from '../../core/gateway/suspicion';
import type { BackendServer } from '../../core/gateway/types';
import { later } from '../../core/ids';
import type { FencingNumber, InstanceId, MonoTime } from '../../core/ids';
import type { Servers } from '../../ports/gateway';
import type { Clock } from '../../ports/runtime';
import { pause } from '../../utils/pause';
import { isEnded } from './member-look';

export interface LostServers {
  add(servers: readonly BackendServer[], evidence: LossEvidence): void;
  /** Whether the server was found lost under the present lease and has not answered since. */
  has(id: InstanceId): boolean;
}

export interface LostServersOptions {
  readonly clock: Clock;
  readonly servers: Pick<Servers, 'report'>;
  /** The fencing number under which this daemon leads. */
  readonly fencing: () => FencingNumber | undefined;
  /** Whether the server is listed, or was and has not restarted. */
  readonly isKnown: (id: InstanceId) => boolean;
  /** Excludes servers until the given time. */
  readonly noteLost: (servers: readonly BackendServer[], until: MonoTime) => void;
  /** Ends the exclusion of a server. */
  readonly noteFound: (server: BackendServer) => void;
}

/** A lost server is excluded for this long unless it answers before, or restarts under another id. */
const EXCLUSION_MS = 20_000;
const ASK_INTERVAL_MS = 1_000;
const ASK_TIMEOUT_MS = 500;

export function createLostServers({
  clock,
  servers,
  fencing,
  isKnown,
  noteLost,
  noteFound,
}: LostServersOptions): LostServers {
  /** Lost servers, and the fencing number under which they were found. */
  const watched = new Map<InstanceId, FencingNumber>();

  const has = (id: InstanceId): boolean => {
    const found = watched.get(id);
    return found !== undefined && found === fencing();
  };

  /** Asks the server until it answers or its exclusion ends; that of an ended one is prolonged. */
  const watch = async (server: BackendServer, evidence: LossEvidence): Promise<void> => {
    const isWatched = (): boolean => has(server.id) && isKnown(server.id);
    let until = later(clock.now(), EXCLUSION_MS);
    let hasEnded = evidence === 'ended';
    while (isWatched() && (hasEnded || clock.now() < until)) {
      await pause(ASK_INTERVAL_MS);
      if (!isWatched()) return;
      const report = await servers.report(server, ASK_TIMEOUT_MS);
      if (report.isOk()) {
        noteFound(server);
        return;
      }
      hasEnded = isEnded(report.error);
      if (!hasEnded || clock.now() < later(until, -ASK_INTERVAL_MS * 3)) continue;
      until = later(clock.now(), EXCLUSION_MS);
      noteLost([server], until);
    }
  };

  return {
    has,
    add: (found, evidence) => {
      const current = fencing();
      if (current === undefined) return;
      noteLost(found, later(clock.now(), EXCLUSION_MS));
      for (const server of found) {
        if (has(server.id)) continue;
        watched.set(server.id, current);
        void watch(server, evidence).finally(() => {
          if (watched.get(server.id) === current) watched.delete(server.id);
        });
      }
    },
  };
}

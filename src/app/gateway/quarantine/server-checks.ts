/**
 * Finds out whether a server has ended after a connection to it broke. A reset connection alone is no
 * evidence: the port of a process that has ended refuses new ones, or another incarnation registers.
 */

import type { ObservedState } from '../../../adapters/upstream/forward-client';
import { later } from '../../../core/ids';
import type { DomainId, GroupId, InstanceId, MonoTime } from '../../../core/ids';
import type { GatewayContext } from '../context';
import type { ServerRegistry } from '../server-registry';

/** Where a request runs: a group, or a server of a plain service, which is a group of its own. */
export interface RunTarget {
  readonly server: InstanceId;
  readonly address: string;
  readonly group: GroupId;
  readonly domain: DomainId;
}

export interface ServerCheckDeps {
  readonly serverRegistry: Pick<ServerRegistry, 'ended'>;
  /** State of a server; `unknown` if it may be this daemon's link that has failed. */
  readonly findState: (address: string, timeoutMs: number) => Promise<ObservedState>;
  /** Whether a connection to the group broke recently. */
  readonly isInterrupted: (group: GroupId) => boolean;
  readonly onLost: (group: GroupId, domain: DomainId) => void;
}

export interface ServerChecks {
  /** Checks the server of a target unless that is under way or done. */
  check(target: RunTarget): void;
  /** The loss of the group is known. */
  forget(group: GroupId): void;
  /**
   * Looks for servers that restarted so soon that they listened again when they were checked, and checks again
   * those whose state is not certain.
   */
  tick(): void;
}

/** An ended process refuses connections at once; a paused host, or one that is gone, does not answer at all. */
const CHECK_TIMEOUT_MS = 500;
/**
 * When a server is checked again, by what was found, milliseconds. A silent one may be paused. One that ends may
 * close its port a moment after its connections, so that the first check can find it listening; the second is
 * conclusive.
 */
const RECHECK_AFTER_MS: Readonly<Record<Exclude<ObservedState, 'refused'>, number>> = {
  listening: 200,
  unreachable: 500,
  unknown: 500,
};

interface Unconfirmed {
  readonly target: RunTarget;
  /** When it is checked again; undefined while a check is under way, or if none is needed. */
  recheckAt: MonoTime | undefined;
  hasListened: boolean;
}

export function createServerChecks(
  { clock, logger }: Pick<GatewayContext, 'clock' | 'logger'>,
  { serverRegistry, findState, isInterrupted, onLost }: ServerCheckDeps,
): ServerChecks {
  /** Targets that are being checked, still listened, or could not be told. */
  const unconfirmed = new Map<GroupId, Unconfirmed>();

  const check = async (entry: Unconfirmed): Promise<void> => {
    const { group, domain, address, server } = entry.target;
    entry.recheckAt = undefined;
    const startedAt = clock.now();
    const found = await findState(address, CHECK_TIMEOUT_MS);
    logger.info('server checked after a broken connection', {
      step: 'quarantine',
      ...{ server, group, found },
      tookMs: Math.round(clock.now() - startedAt),
    });
    if (found === 'refused') {
      onLost(group, domain);
      return;
    }
    if (found === 'listening' && entry.hasListened) return;
    entry.recheckAt = later(clock.now(), RECHECK_AFTER_MS[found]);
    if (found === 'listening') entry.hasListened = true;
  };

  const review = (entry: Unconfirmed): void => {
    const { group, domain, server } = entry.target;
    if (serverRegistry.ended.has(server)) onLost(group, domain);
    else if (!isInterrupted(group)) unconfirmed.delete(group);
    else if (entry.recheckAt !== undefined && clock.now() >= entry.recheckAt) void check(entry);
  };

  return {
    check: (target) => {
      if (unconfirmed.has(target.group)) return;
      const entry: Unconfirmed = { target, recheckAt: undefined, hasListened: false };
      unconfirmed.set(target.group, entry);
      void check(entry);
    },
    forget: (group) => {
      unconfirmed.delete(group);
    },
    tick: () => {
      for (const entry of unconfirmed.values()) review(entry);
    },
  };
}

/**
 * Finds out whether a server has ended after a connection to it broke. A reset connection alone is no
 * evidence: the port of a process that has ended refuses new ones, or another incarnation registers.
 */

import type { ObservedState } from '../../../adapters/upstream/forward-client';
import type { DomainId, GroupId, InstanceId } from '../../../core/ids';
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
  /** Looks for servers that restarted so soon that they listened again when they were checked. */
  tick(): void;
}

/** An ended process refuses connections at once; a host that is gone does not answer at all. */
const CHECK_TIMEOUT_MS = 500;

export function createServerChecks(
  { logger }: GatewayContext,
  { serverRegistry, findState, isInterrupted, onLost }: ServerCheckDeps,
): ServerChecks {
  /** Targets that are being checked, or that still listened. */
  const unconfirmed = new Map<GroupId, RunTarget>();

  const check = async (target: RunTarget): Promise<void> => {
    const { group, domain, address, server } = target;
    unconfirmed.set(group, target);
    const found = await findState(address, CHECK_TIMEOUT_MS);
    logger.info('server checked after a broken connection', {
      step: 'quarantine',
      ...{ server, group, found },
    });
    if (found === 'refused' || found === 'unreachable') onLost(group, domain);
  };

  return {
    check: (target) => {
      if (!unconfirmed.has(target.group)) void check(target);
    },
    forget: (group) => {
      unconfirmed.delete(group);
    },
    tick: () => {
      for (const { group, domain, server } of unconfirmed.values()) {
        if (serverRegistry.ended.has(server)) onLost(group, domain);
        else if (!isInterrupted(group)) unconfirmed.delete(group);
      }
    },
  };
}

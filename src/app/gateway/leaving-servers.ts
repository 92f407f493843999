/**
 * Servers that announce in their answers that they are leaving. This daemon knows of it before the
 * platform's list shows it, and informs its peers, which may not contact these servers before then.
 */

import { later } from '../../core/ids';
import type { InstanceId, MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';
import type { ServerRegistry } from './server-registry';

export interface LeavingServers {
  /** Notes that the server announced it in an answer to this daemon. */
  note(server: InstanceId): void;
  /** Applies a peer's report. */
  applyReport(servers: readonly InstanceId[], source: string): void;
  /** Servers that recently announced it to this daemon, or with `ofAll` to any daemon. */
  report(options?: { readonly ofAll?: boolean }): InstanceId[];
}

/** How long peers are informed: several messages to each, so that a lost one does not matter. */
const REPORT_MS = 2_000;

interface Announcement {
  readonly at: MonoTime;
  readonly isOwn: boolean;
}

export function createLeavingServers(
  { clock, logger }: GatewayContext,
  serverRegistry: ServerRegistry,
): LeavingServers {
  const announcements = new Map<InstanceId, Announcement>();

  const pruneOld = (now: MonoTime): void => {
    for (const [server, { at }] of announcements)
      if (now >= later(at, REPORT_MS)) announcements.delete(server);
  };

  const add = (server: InstanceId, isOwn: boolean, source: string): void => {
    if (!serverRegistry.noteLeaving(server)) return;
    announcements.set(server, { at: clock.now(), isOwn });
    logger.info('server leaves', { step: 'leaving', server, source });
  };

  return {
    note: (server) => {
      add(server, true, 'answer');
    },
    applyReport: (servers, source) => {
      for (const server of servers) add(server, false, source);
    },
    report: ({ ofAll = false } = {}) => {
      pruneOld(clock.now());
      return [...announcements].flatMap(([server, { isOwn }]) => (isOwn || ofAll ? [server] : []));
    },
  };
}

/**
 * Servers that say in their answers that they leave: known to this daemon before the platform's list shows it, and told
 * to peers, which may not ask them before it does.
 */

import { later } from '../../core/ids';
import type { InstanceId, MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';
import type { ServerRegistry } from './server-registry';

export interface LeavingServers {
  /** The server said so in an answer to this daemon. */
  note(server: InstanceId): void;
  /** A peer says that it did. */
  applyReport(servers: readonly InstanceId[], source: string): void;
  /** Servers that said so to this daemon of late; `ofAll`: to any. */
  report(options?: { readonly ofAll?: boolean }): InstanceId[];
}

/** Peers are told for so long: several times each, whatever becomes of one message. */
const TELL_MS = 2_000;

interface Heard {
  readonly at: MonoTime;
  readonly isOwn: boolean;
}

export function createLeavingServers(
  { clock, logger }: GatewayContext,
  roster: ServerRegistry,
): LeavingServers {
  const heard = new Map<InstanceId, Heard>();

  const forgetOld = (now: MonoTime): void => {
    for (const [server, { at }] of heard) if (now >= later(at, TELL_MS)) heard.delete(server);
  };

  const take = (server: InstanceId, isOwn: boolean, source: string): void => {
    if (!roster.noteLeaving(server)) return;
    heard.set(server, { at: clock.now(), isOwn });
    logger.info('server leaves', { step: 'leaving', server, source });
  };

  return {
    note: (server) => {
      take(server, true, 'answer');
    },
    applyReport: (servers, source) => {
      for (const server of servers) take(server, false, source);
    },
    report: ({ ofAll = false } = {}) => {
      forgetOld(clock.now());
      return [...heard].flatMap(([server, { isOwn }]) => (isOwn || ofAll ? [server] : []));
    },
  };
}

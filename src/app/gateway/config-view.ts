/**
 * The configuration in force on this daemon: the newest version received from the store or a peer.
 */

import { BehaviorSubject } from 'rxjs';

import { maxCallMs, pollDelayMs } from '../../core/gateway/polling';
import { createRouteTable } from '../../core/gateway/routes';
import type { RouteTable } from '../../core/gateway/routes';
import type { GatewayConfig } from '../../core/gateway/types';
import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';
import type { Feed, OperatorEntry, Receipt } from '../../ports/gateway';
import type { GatewayContext } from './context';
import type { Evacuations } from './evacuations';
import type { Leader } from './peer-view';
import { watchFeed } from './watch';
import type { Watch } from './watch';

export interface ConfigView {
  /** Undefined until a version is known. */
  readonly table: BehaviorSubject<RouteTable | undefined>;
  readonly watch: Watch;
  version(): number;
  /** When the version in force was adopted. */
  since(): MonoTime;
  /**
   * Time since the store last confirmed, here or to the leader, that no version is newer,
   * milliseconds.
   */
  ageMs(): number;
  /**
   * Puts a version in force if it is newer than the current one; a version is never downgraded.
   * Returns whether it did.
   */
  adoptIfNewer(config: GatewayConfig, source: string, receipt?: Receipt): boolean;
}

/**
 * How long a poll waits while the leader's confirmation is fresh, milliseconds for each daemon, and
 * the bounds of the total. A daemon that receives a version sends it to the others, so the more
 * daemons there are, the less often each needs to poll.
 */
const WAIT_PER_DAEMON_MS = 500;
const MIN_WAIT_MS = 4_000;
const MAX_WAIT_MS = 20_000;
export interface ConfigViewOptions {
  readonly feed: Feed<OperatorEntry>;
  /** Receives the evacuated zones, which are in the same table. */
  readonly evacuations?: Pick<Evacuations, 'applyEntries'>;
  /** Running daemons, as far as known. */
  readonly daemons: () => number;
  /** The leader's latest statement, if recent. */
  readonly leader: () => Pick<Leader, 'at' | 'progress'> | undefined;
}

export function createConfigView(
  ctx: GatewayContext,
  { feed, evacuations, daemons, leader }: ConfigViewOptions,
): ConfigView {
  const table = new BehaviorSubject<RouteTable | undefined>(undefined);
  let adoptedAt = ctx.clock.now();
  /** Size of the store's last answer with changes. */
  let answerBytes = 0;

  const version = (): number => table.value?.config.version ?? 0;

  const adoptIfNewer = (config: GatewayConfig, source: string, receipt?: Receipt): boolean => {
    const before = version();
    if (config.version <= before) return false;
    const startedAt = receipt?.at ?? ctx.clock.now();
    const next = createRouteTable(config);
    adoptedAt = ctx.clock.now();
    table.next(next);
    const applyMs = ctx.clock.now() - startedAt;
    ctx.metrics.observe('nutmegstack_config_apply_ms', applyMs);
    ctx.logger.info('configuration in force', {
      ...{ step: 'config', version: config.version, before, source },
      ...(receipt && { bytes: receipt.bytes }),
      applyMs: Math.round(applyMs),
    });
    return true;
  };

  /**
   * Age of the leader's confirmation of the version known here, milliseconds; infinite if it
   * confirms another version or none.
   */
  const confirmedAgeMs = (now: MonoTime): number => {
    const leaderView = leader();
    const { configAgeMs, configVersion } = leaderView?.progress ?? {};
    if (!leaderView || configAgeMs === undefined || configVersion !== version()) return Infinity;
    return configAgeMs + now - leaderView.at;
  };

  const freshUntil = (now: MonoTime): MonoTime => {
    const remainingMs = maxCallMs(ctx.tunables.value.settleMs) - confirmedAgeMs(now);
    return later(now, Math.max(0, remainingMs));
  };

  const watch = watchFeed(ctx, {
    feed,
    waitMs: () => Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, WAIT_PER_DAEMON_MS * daemons())),
    freshUntil,
    nextPollAt: (at) => later(at, pollDelayMs(ctx.tunables.value.configMs, answerBytes)),
    apply: (changes, kind, receipt) => {
      answerBytes = receipt?.bytes ?? 0;
      // Evacuations first: requests are sent as soon as a configuration is in force.
      evacuations?.applyEntries(changes, kind, watch.position());
      for (const { value } of changes)
        if (value?.kind === 'config') adoptIfNewer(value.config, 'store', receipt);
    },
  });
  const ageMs = (): number => Math.min(watch.ageMs(), confirmedAgeMs(ctx.clock.now()));

  return { table, watch, version, since: () => adoptedAt, ageMs, adoptIfNewer };
}

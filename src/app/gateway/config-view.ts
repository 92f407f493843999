/** The configuration in force on this daemon: the newest version that the store or a peer has shown. */

import { BehaviorSubject } from 'rxjs';

import { maxCallMs } from '../../core/gateway/polling';
import { createRouteTable } from '../../core/gateway/routes';
import type { RouteTable } from '../../core/gateway/routes';
import type { GatewayConfig } from '../../core/gateway/types';
import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';
import type { Feed } from '../../ports/gateway';
import type { GatewayContext } from './context';
import type { Leader } from './peer-view';
import { watchFeed } from './watch';
import type { Watch } from './watch';

export interface ConfigView {
  /** Undefined until a version is known. */
  readonly table: BehaviorSubject<RouteTable | undefined>;
  readonly watch: Watch;
  version(): number;
  /** When the version in force was learned. */
  since(): MonoTime;
  /** Time since the store last said, here or to the leader, that no version is newer, milliseconds. */
  ageMs(): number;
  /** Puts a version in force if it is newer than the present one; it never goes back. */
  adoptIfNewer(config: GatewayConfig, source: string): boolean;
}

/**
 * How long a poll waits for each daemon while the leader's word is young, milliseconds, and its bounds.
 * Whoever hears of a version tells the others, so that among many daemons each may ask less often.
 */
const WAIT_PER_DAEMON_MS = 500;
const LEAST_WAIT_MS = 4_000;
const LONGEST_WAIT_MS = 20_000;
/**
 * After a version a daemon asks again only after this part of the time in which versions must be in
 * force. An operator's series of them then costs a few calls of each daemon in place of one a version;
 * the rest of that time is for the call, and for peers where the store turns this daemon away.
 */
const REST_SHARE = 0.15;

export interface ConfigViewOptions {
  readonly feed: Feed<GatewayConfig>;
  /** Daemons at work, as far as is known. */
  readonly daemons: () => number;
  /** What the leader said last, and lately. */
  readonly leader: () => Pick<Leader, 'at' | 'progress'> | undefined;
}

export function createConfigView(
  ctx: GatewayContext,
  { feed, daemons, leader }: ConfigViewOptions,
): ConfigView {
  const table = new BehaviorSubject<RouteTable | undefined>(undefined);
  let since = ctx.clock.now();

  const version = (): number => table.value?.config.version ?? 0;

  const offer = (config: GatewayConfig, source: string): boolean => {
    if (config.version <= version()) return false;
    since = ctx.clock.now();
    ctx.logger.info('configuration in force', {
      step: 'config',
      version: config.version,
      before: version(),
      source,
    });
    table.next(createRouteTable(config));
    return true;
  };

  /** Age of the leader's knowledge by now, milliseconds, where it vouches for the version known here. */
  const vouchedAgeMs = (now: MonoTime): number => {
    const told = leader();
    const { configAgeMs, configVersion } = told?.progress ?? {};
    if (!told || configAgeMs === undefined || configVersion !== version()) return Infinity;
    return configAgeMs + now - told.at;
  };

  const trustUntil = (now: MonoTime): MonoTime => {
    const leftMs = maxCallMs(ctx.tunables.value.settleMs) - vouchedAgeMs(now);
    return later(now, Math.max(0, leftMs));
  };

  const watch = watchFeed(ctx, {
    feed,
    waitMs: () =>
      Math.min(LONGEST_WAIT_MS, Math.max(LEAST_WAIT_MS, WAIT_PER_DAEMON_MS * daemons())),
    freshUntil: trustUntil,
    nextPollAt: (at) => later(at, ctx.tunables.value.configMs * REST_SHARE),
    apply: (changes) => {
      for (const { value } of changes) if (value) offer(value, 'store');
    },
  });
  const ageMs = (): number => Math.min(watch.ageMs(), vouchedAgeMs(ctx.clock.now()));

  return { table, watch, version, since: () => since, ageMs, adoptIfNewer: offer };
}

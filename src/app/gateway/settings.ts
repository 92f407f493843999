/** Settings of a gateway daemon. Durations are milliseconds and end in `Ms`. */

import type { DaemonId, ZoneId } from '../../core/ids';

/** What holds for the life of the process. */
export interface GatewaySettings {
  readonly id: DaemonId;
  readonly zone: ZoneId;
  /** Processor cores that this daemon may use. */
  readonly cores: number;
  /** `host:port` for callers. */
  readonly listen: string;
  /** `host:port` for the balancer's readiness probe, and for metrics. */
  readonly readyListen: string;
  /** `host:port` for other daemons. */
  readonly peerListen: string;
  /** Where to listen for them, if not at that address. */
  readonly peerBind?: string;
  readonly peerSecret: string;
}

/** What may change while the daemon runs. */
export interface GatewayTunables {
  /** Peer addresses to join by. */
  readonly seeds: readonly string[];
  /** A planned stop is cut off after this. */
  readonly shutdownMs: number;
  /** A head that waits for a lost member is broken after this. */
  readonly headBreakMs: number;
  /** A server whose entry is gone, or says that it is leaving, gets nothing new after this. */
  readonly leavingMs: number;
  /** A configuration is in force on all daemons within this time of its acknowledgement. */
  readonly configMs: number;
  /**
   * Daemons whose store or links were disturbed keep every promise again after this time of calm: what
   * they learned before the disturbance must have been confirmed or replaced by then.
   */
  readonly settleMs: number;
  /** Retries that the whole fleet may make in a window: a share of the requests, and a number. */
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  /** Weight loads are limited over windows of this length. */
  readonly loadWindowMs: number;
}

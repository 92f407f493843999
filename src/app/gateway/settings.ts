/** Settings of a gateway daemon. Durations are in milliseconds and end in `Ms`. */

import type { DaemonId, ZoneId } from '../../core/ids';

/** Settings that are fixed for the lifetime of the process. */
export interface GatewaySettings {
  readonly id: DaemonId;
  readonly zone: ZoneId;
  /** Processor cores that this daemon may use. */
  readonly cores: number;
  /** `host:port` for callers. */
  readonly listen: string;
  /** `host:port` for the load balancer's readiness probe and for metrics. */
  readonly readyListen: string;
  /** `host:port` for other daemons. */
  readonly peerListen: string;
  /** Address to bind for other daemons, if different. */
  readonly peerBind?: string;
  readonly peerSecret: string;
  /** `host:port` for requests that peers ask this daemon to forward; if absent, it forwards none. */
  readonly forwardListen?: string;
}

/** Settings that may change while the daemon runs. */
export interface GatewayTunables {
  /** Addresses of peers to contact first. */
  readonly seeds: readonly string[];
  /** Time limit of a graceful shutdown. */
  readonly shutdownMs: number;
  /** A head that waits for a lost member is broken after this. */
  readonly headBreakMs: number;
  /**
   * A server whose entry expired, or that announces that it is leaving, gets no new requests after
   * this.
   */
  readonly leavingMs: number;
  /** A configuration is in force on all daemons within this time of its acknowledgement. */
  readonly configMs: number;
  /**
   * After a disturbance of the store or of links, daemons meet all their guarantees again once it
   * has been calm for this long: knowledge from before must be confirmed or replaced by then.
   */
  readonly settleMs: number;
  /**
   * Retries that the whole fleet may make in a window: a ratio of the requests, plus a fixed
   * number.
   */
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  /** Length of the windows over which weight loads are limited. */
  readonly loadWindowMs: number;
  /**
   * Bound on requests to a cold server in any one second, over all daemons: this factor on the rate
   * that it tolerates, plus a fixed number. Without the factor there is no bound.
   */
  readonly coldFactor?: number;
  readonly coldSlack?: number;
}

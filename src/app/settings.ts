/** Settings of a daemon, complete and validated. The command line creates them. */

import type { DaemonId, ZoneId } from '../core/ids';

/** Paths of the TLS files for the links between daemons. */
export interface PeerTlsFiles {
  readonly certFile: string;
  readonly keyFile: string;
  readonly caFile: string;
}

/** Settings of one daemon. */
export interface DaemonSettings {
  readonly id: DaemonId;
  readonly zone: ZoneId;
  /** `host:port` for callers; port 0 selects a free port. */
  readonly listen: string;
  /** `host:port` for operators. */
  readonly adminListen: string;
  /** `host:port` for other daemons. */
  readonly peerListen: string;
  /** Peer addresses to join through, in addition to the instance list. */
  readonly seeds: readonly string[];
  /** Secret shared by all daemons of one system. */
  readonly peerSecret: string;
  readonly peerTls?: PeerTlsFiles;
  /** `host:port` of the platform's services. */
  readonly platform: string;
  /** SHA-256 (hex) of the key that may submit the first configuration. */
  readonly bootstrapKeyHash?: string;
  /** OTLP endpoint, `http://host:port/v1/traces`. If omitted, traces are not exported. */
  readonly otlpUrl?: string;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
  /** Seed of the random number generator. */
  readonly seed: number;
  /** Maximum size of a request body, bytes. */
  readonly maxBodyBytes: number;
  /** Maximum size of the request headers, bytes. */
  readonly maxHeaderBytes: number;
  /** Maximum number of open connections of callers. */
  readonly maxConnections: number;
  /** How long the load balancer may take to notice that this daemon is not ready, milliseconds. */
  readonly drainWaitMs: number;
  /** Maximum wait for requests in flight during a graceful shutdown, milliseconds. */
  readonly drainLimitMs: number;
  /** Claim transactions per second that all daemons together may commit. */
  readonly claimCommitsPerSecond: number;
}

/** Addresses that a started daemon listens on. */
export interface DaemonAddresses {
  readonly callers: string;
  readonly admin: string;
  readonly peers: string;
}

/** A started daemon. */
export interface RunningDaemon {
  readonly addresses: DaemonAddresses;
  /** Shuts down gracefully: refuses new requests, lets streams finish, releases leases, stops. */
  drain(): Promise<void>;
  /** Resolves once the graceful shutdown is complete, whoever requested it. */
  readonly stopped: Promise<void>;
}

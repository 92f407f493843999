/** The settings of one daemon, checked and complete. The command line makes them. */

import type { DaemonId, ZoneId } from '../core/ids';

/** Files of a certificate for the links between daemons. */
export interface PeerTlsFiles {
  readonly certFile: string;
  readonly keyFile: string;
  readonly caFile: string;
}

export interface DaemonSettings {
  readonly id: DaemonId;
  readonly zone: ZoneId;
  /** `host:port` for callers; port 0 takes a free one. */
  readonly listen: string;
  /** `host:port` for operators. */
  readonly adminListen: string;
  /** `host:port` for other daemons. */
  readonly peerListen: string;
  /** Peer addresses to join by, besides the instance list. */
  readonly seeds: readonly string[];
  /** Shared by all daemons of one system. */
  readonly peerSecret: string;
  readonly peerTls?: PeerTlsFiles;
  /** `host:port` of the platform's services. */
  readonly platform: string;
  /** SHA-256 (hex) of a key with which the first configuration may be submitted. */
  readonly bootstrapKeyHash?: string;
  /** OTLP over HTTP, `http://host:port/v1/traces`; left out: no export. */
  readonly otlpUrl?: string;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
  readonly seed: number;
  /** Longest request body, bytes. */
  readonly maxBodyBytes: number;
  /** Longest request header, bytes. */
  readonly maxHeaderBytes: number;
  /** Open connections of callers. */
  readonly maxConnections: number;
  /** How long the balancer may take to see that this daemon is not ready, milliseconds. */
  readonly drainWaitMs: number;
  /** Longest wait for streams at a planned stop, milliseconds. */
  readonly drainLimitMs: number;
  /** Transactions of claims a second that all daemons together may commit. */
  readonly claimCommitsPerSecond: number;
}

/** Where a started daemon listens. */
export interface DaemonAddresses {
  readonly callers: string;
  readonly admin: string;
  readonly peers: string;
}

export interface RunningDaemon {
  readonly addresses: DaemonAddresses;
  /** The planned stop: refuses new work, lets streams finish, hands back leases, stops. */
  drain(): Promise<void>;
  /** Resolves once the planned stop is over, whoever asked for it. */
  readonly stopped: Promise<void>;
}

/** Settings of the configuration part and their defaults. */

export interface ConfigSettings {
  /** Interval at which the head row in the table is read. */
  readonly pollMs: number;
  /** Fraction by which each poll interval varies, so that daemons don't read in step. */
  readonly jitter: number;
  /** Maximum time that a change is attempted; after it, the outcome is unknown. */
  readonly submitTimeoutMs: number;
  /** Maximum bytes of a pushed delta; a larger change is only announced, and daemons fetch it. */
  readonly maxPushBytes: number;
  /** Time to live of a pushed change in gossip. */
  readonly pushTtlMs: number;
  /** Fetches after an announcement are spread over this time multiplied by the number of daemons. */
  readonly fetchSpreadMsPerDaemon: number;
}

export const CONFIG_DEFAULTS: ConfigSettings = {
  pollMs: 3000,
  jitter: 0.2,
  submitTimeoutMs: 5000,
  maxPushBytes: 2048,
  pushTtlMs: 30_000,
  fetchSpreadMsPerDaemon: 0.5,
};

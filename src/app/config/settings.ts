/** Settings of the configuration part, with defaults. */

export interface ConfigSettings {
  /** Period at which the head in the table is read. */
  readonly pollMs: number;
  /** Share of a period by which each wait varies, so that daemons do not read together. */
  readonly jitter: number;
  /** Longest that a submitted change is tried before its outcome is unknown. */
  readonly submitTimeoutMs: number;
  /** A change larger than this is only announced; daemons fetch the document. */
  readonly maxPushBytes: number;
  /** Life of a pushed change in gossip. */
  readonly pushTtlMs: number;
  /** Fetches after an announcement are spread over this time for each daemon known. */
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

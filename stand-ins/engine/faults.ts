/** Fault switches of an engine member. */

import type { GateFaults } from '../shared/gate';

/** Counts go down by one with each answer hit. */
export interface EngineFaults extends GateFaults {
  /** Time of a step, milliseconds; makes the member a straggler. */
  tokenMs?: number;
  /** How old the load in the report is, milliseconds. */
  lagMs?: number;
  leaving?: boolean;
  /** Crashes the member at once; it comes back after `restartMs`. */
  crash?: boolean;
  restartMs?: number;
  /** Whether streams can be resumed. */
  resumable?: boolean;
  /** The next n answers start `lateMs` late. */
  lateAnswers?: number;
  lateMs?: number;
  /** The next n answers carry another attempt's id. */
  wrongAttempt?: number;
  /** The next n answers end cleanly halfway. */
  truncate?: number;
  /** The next n streams have no finish reason. */
  noFinish?: number;
  /** The next n answers come twice. */
  duplicate?: number;
  /** The next n whole answers promise more bytes than they bring; streams break before `[DONE]`. */
  wrongLength?: number;
  /** The next n orders take effect; their connections are cut before the answer. */
  loseOrderAnswers?: number;
}

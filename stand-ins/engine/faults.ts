/** Injected faults of an engine member. */

import type { GateFaults } from '../shared/gate';

/** Each affected response decrements its counter. */
export interface EngineFaults extends GateFaults {
  /** Duration of a step, milliseconds; a high value makes the member a straggler. */
  tokenMs?: number;
  /** Staleness of the reported load, milliseconds. */
  lagMs?: number;
  /** Whether the member announces that it is leaving. */
  leaving?: boolean;
  /** Crashes the member immediately; it restarts after `restartMs`. */
  crash?: boolean;
  restartMs?: number;
  /** Whether streams can be resumed. */
  resumable?: boolean;
  /** The next n responses are delayed by `lateMs`. */
  lateAnswers?: number;
  lateMs?: number;
  /** The next n responses carry the id of another attempt. */
  wrongAttempt?: number;
  /** The next n responses end halfway, without a connection error. */
  truncate?: number;
  /** The next n streams lack the event with the finish reason. */
  noFinish?: number;
  /** The next n responses repeat their content. */
  duplicate?: number;
  /** The next n bodies are shorter than their content-length; streams break before `[DONE]`. */
  wrongLength?: number;
  /** The next n orders take effect; their connections are closed before the response. */
  loseOrderAnswers?: number;
}

/** The model call type. */

import type { Fingerprint, ModelId } from '../../core/ids';
import type { Labels } from '../../ports/telemetry';
import type { Call } from './exchange';

/** A parsed and validated model call. */
export interface ModelCall extends Call {
  readonly model: ModelId;
  readonly stream: boolean;
  readonly maxTokens: number | undefined;
  readonly prefixKeys: readonly string[];
  /** Identifies the request content: equal for a resubmission of the same request. */
  readonly fingerprint: Fingerprint;
  /** Separates the prefix caches of organisations. */
  readonly cacheSalt: string;
  readonly labels: Labels;
}

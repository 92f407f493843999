/** A model call as its attempts and answers see it. */

import type { Fingerprint, ModelId } from '../../core/ids';
import type { Labels } from '../../ports/telemetry';
import type { Call } from './exchange';

/** A call of a model that was read and checked. */
export interface ModelCall extends Call {
  readonly model: ModelId;
  readonly stream: boolean;
  readonly maxTokens: number | undefined;
  readonly prefixKeys: readonly string[];
  /** The same for the same request sent again. */
  readonly fingerprint: Fingerprint;
  /** Keeps the cached prefixes of organisations apart. */
  readonly cacheSalt: string;
  readonly labels: Labels;
}

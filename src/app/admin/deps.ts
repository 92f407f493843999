/** Dependencies of the administration API. */

import type { Logger } from '../../ports/runtime';
import type { ConfigPart, ControlPart, MembershipPart, RequestPart } from '../parts';

export interface AdminDeps {
  readonly config: ConfigPart;
  readonly control: ControlPart;
  readonly membership: MembershipPart;
  readonly requests: RequestPart;
  readonly logger: Logger;
  /** SHA-256 (hex) of a platform operator's key that is valid before any configuration exists. */
  readonly bootstrapKeyHash?: string;
  /** Starts the graceful shutdown of this daemon. */
  readonly drain: () => Promise<void>;
  /** Maximum size of a request body, bytes. */
  readonly maxBodyBytes?: number;
}

export const DEFAULT_MAX_BODY_BYTES = 2 * 1024 * 1024;

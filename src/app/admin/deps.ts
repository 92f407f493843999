/** What the administration API works on. */

import type { Logger } from '../../ports/runtime';
import type { ConfigPart, ControlPart, MembershipPart, RequestPart } from '../parts';

export interface AdminDeps {
  readonly config: ConfigPart;
  readonly control: ControlPart;
  readonly membership: MembershipPart;
  readonly requests: RequestPart;
  readonly logger: Logger;
  /** SHA-256 (hex) of a key with which the first configuration may be submitted. */
  readonly bootstrapKeyHash?: string;
  /** Starts the planned stop of this daemon. */
  readonly drain: () => Promise<void>;
  /** Longest body, bytes. */
  readonly maxBodyBytes?: number;
}

export const DEFAULT_MAX_BODY_BYTES = 2 * 1024 * 1024;

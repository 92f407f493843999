/** What the unfinished answers of servers hold in this process, whose memory all of them share. */

import { createHeldBytes } from '../core/gateway/held-bytes';
import { MAX_HELD_BYTES } from '../core/input-limits';

export const heldAnswers = createHeldBytes(MAX_HELD_BYTES);

/** The parts of the request plane, as its calls use them. */

import type { Backends } from './backends';
import type { Claims } from './claims';
import type { Gate } from './gate';
import type { GroupChoice } from './group-choice';
import type { Strikes } from './strikes';

/** The parts of the request plane that keep state. */
export interface RequestParts {
  readonly backends: Backends;
  readonly claims: Claims;
  readonly gate: Gate;
  readonly choice: GroupChoice;
  readonly strikes: Strikes;
}

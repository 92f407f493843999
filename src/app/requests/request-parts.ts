/** The stateful parts of the request plane. */

import type { Backends } from './backends';
import type { Claims } from './claims';
import type { AdmissionGate } from './admission-gate';
import type { GroupSelector } from './group-selector';
import type { Strikes } from './strikes';

/** The stateful parts of the request plane, shared by all calls. */
export interface RequestParts {
  readonly backends: Backends;
  readonly claims: Claims;
  readonly gate: AdmissionGate;
  readonly selector: GroupSelector;
  readonly strikes: Strikes;
}

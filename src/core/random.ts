/** Randomness in the core: an injected source, seeded by whoever runs the core. */

import type { StepContext } from './reducer';

/** A source of random numbers; identical to the port of that name. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
}

/** Context of a step that makes random choices. */
export interface RandomContext extends StepContext {
  readonly random: Random;
}

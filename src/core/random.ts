/** Chance as the core sees it: handed in, seeded by whoever runs the core. */

import type { StepContext } from './reducer';

/** A source of chance; the same as the port of that name. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
}

/** What a decision that draws lots may know. */
export interface RandomContext extends StepContext {
  readonly random: Random;
}

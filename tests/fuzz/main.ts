/** Longer stateful fuzzing by hand: `npm run fuzz -- --seed S --runs N [--only name]`. */

import sade from 'sade';
import { z } from 'zod';

import { fuzzAdmission } from './admission';
import { fuzzConfig } from './config';
import { fuzzGroups } from './groups/groups';
import { fuzzLedger } from './ledger';
import { fuzzMembership } from './membership';
import { fuzzRouting } from './routing';

/** How a fuzz run is asked for. */
export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
}

/** A property over histories; throws with the seed and the shrunk history of a failure. */
type Fuzz = (opts: FuzzOptions) => Promise<void> | void;

const FUZZES: Readonly<Record<string, Fuzz>> = {
  admission: fuzzAdmission,
  routing: fuzzRouting,
  ledger: fuzzLedger,
  config: fuzzConfig,
  membership: fuzzMembership,
  groups: fuzzGroups,
};

const options = z.object({
  seed: z.coerce.number().int(),
  runs: z.coerce.number().int().positive(),
  only: z.string().optional(),
});

async function fuzz(args: unknown): Promise<void> {
  const { seed, runs, only } = options.parse(args);
  const chosen = Object.entries(FUZZES).filter(([name]) => only === undefined || only === name);
  for (const [name, property] of chosen) {
    try {
      await property({ seed, runs });
      process.stdout.write(`${JSON.stringify({ fuzz: name, seed, runs, passed: true })}\n`);
    } catch (err) {
      const report = err instanceof Error ? err.message : String(err);
      process.stdout.write(
        `${JSON.stringify({ fuzz: name, seed, runs, passed: false })}\n${report}\n`,
      );
      process.exitCode = 1;
    }
  }
}

sade('fuzz', true)
  .option('--seed', 'Seed of the histories', 1)
  .option('--runs', 'Histories of each property', 1000)
  .option('--only', 'Name of one property')
  .action((opts: unknown) => {
    void fuzz(opts);
  })
  .parse(process.argv);

/** Command line for longer stateful fuzzing: `npm run fuzz -- --seed S --runs N [--only name]`. */

import sade from 'sade';
import * as z from 'zod';

import { fuzzAdmission } from './admission';
import { fuzzConfig } from './config';
import { fuzzCrashes, fuzzCrashingParts } from './crashes';
import { fuzzGroups } from './groups/groups';
import { fuzzLeaseEras } from './lease-eras';
import { fuzzLedger } from './ledger';
import { fuzzLinks } from './links';
import { fuzzLimits } from './limits';
import { fuzzMembership } from './membership';
import type { FuzzOptions } from './options';
import { fuzzRouting } from './routing';

/** A property over histories; throws with the seed and the shrunk history of a failure. */
type Fuzz = (opts: FuzzOptions) => Promise<void> | void;

const FUZZES: Readonly<Record<string, Fuzz>> = {
  admission: fuzzAdmission,
  routing: fuzzRouting,
  ledger: fuzzLedger,
  config: fuzzConfig,
  membership: fuzzMembership,
  groups: fuzzGroups,
  'lease-eras': fuzzLeaseEras,
  limits: fuzzLimits,
  crashes: fuzzCrashes,
  'crashing-parts': fuzzCrashingParts,
  links: fuzzLinks,
};

const options = z.object({
  seed: z.coerce.number().int(),
  runs: z.coerce.number().int().positive(),
  only: z
    .string()
    .refine((name) => name in FUZZES, {
      error: `unknown property; expected one of ${Object.keys(FUZZES).join(', ')}`,
    })
    .optional(),
});

/** Interval between progress lines, in milliseconds. */
const PROGRESS_MS = 10_000;

/** Periodically prints the number of passed histories and the rate per second. */
function createProgress(name: string): (passed: number) => void {
  const startedAt = Date.now();
  let printedAt = startedAt;
  return (passed) => {
    const now = Date.now();
    if (now - printedAt < PROGRESS_MS) return;
    printedAt = now;
    const perSecond = Number(((passed * 1_000) / (now - startedAt)).toFixed(2));
    process.stdout.write(`${JSON.stringify({ fuzz: name, passed, perSecond })}\n`);
  };
}

async function fuzz(args: unknown): Promise<void> {
  const parsed = options.safeParse(args);
  if (!parsed.success) {
    process.stderr.write(`${z.prettifyError(parsed.error)}\n`);
    process.exitCode = 2;
    return;
  }
  const { seed, runs, only } = parsed.data;
  const chosen = Object.entries(FUZZES).filter(([name]) => only === undefined || only === name);
  for (const [name, property] of chosen) {
    try {
      await property({ seed, runs, onRun: createProgress(name) });
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

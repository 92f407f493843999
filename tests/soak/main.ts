/** Command line of the soak: `npm run soak -- --seed 1 --seeds 50`. Exits with 1 if a guarantee was violated. */

import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import sade from 'sade';
import * as z from 'zod';

import { soakPlanned } from './planned';
import { soak } from './soak';

/** Linux assigns ports from 32,768 to outgoing connections; a daemon cannot listen on a port in use. */
const MAX_PORT = 32_300;

const optionsSchema = z.object({
  seed: z.coerce.number().int(),
  seeds: z.coerce.number().int().positive(),
  step: z.coerce.number().int().positive(),
  daemons: z.coerce.number().int().min(2),
  callers: z.coerce.number().int().positive(),
  faults: z.coerce.number().int().nonnegative(),
  entryFaults: z.coerce.number().int().nonnegative(),
  returns: z.coerce.number().int().nonnegative(),
  cuts: z.coerce.number().int().nonnegative(),
  pauses: z.coerce.number().int().nonnegative(),
  silences: z.coerce.number().int().nonnegative(),
  spoils: z.coerce.number().int().nonnegative(),
  cutAnswers: z.coerce.number().int().nonnegative(),
  silentRounds: z.coerce.number().int().nonnegative(),
  statementRounds: z.coerce.number().int().nonnegative(),
  zoneRounds: z.coerce.number().int().nonnegative(),
  seconds: z.coerce.number().positive(),
  port: z.coerce
    .number()
    .int()
    .max(MAX_PORT, 'the soak needs ports below those of outgoing connections'),
  logs: z.string().optional(),
  planned: z.boolean().optional(),
  program: z.string().optional(),
});

type Options = z.infer<typeof optionsSchema>;

async function runPlanned(options: Options, seed: number, logs: string | undefined) {
  const { daemons, callers: callersPerType, seconds, port: firstPort, program } = options;
  return soakPlanned({
    ...{ seed, daemons, callers: callersPerType, durationMs: seconds * 1_000, firstPort },
    ...(logs !== undefined && { logs }),
    ...(program !== undefined && { program }),
  });
}

function printReport(report: { readonly faults: readonly string[] }): void {
  if (report.faults.length > 0) process.exitCode = 1;
  process.stdout.write(`${JSON.stringify(report)}\n`);
}

async function run(args: unknown): Promise<void> {
  const options = optionsSchema.parse(args);
  const { seed: first, seeds, step, daemons, faults, entryFaults, returns, silentRounds } = options;
  const { cuts, pauses, silences, spoils, cutAnswers } = options;
  const { seconds, port, logs, statementRounds, zoneRounds, callers } = options;
  for (let seed = first; seed < first + seeds * step; seed += step) {
    const seedLogs = logs === undefined ? undefined : join(logs, `seed-${seed}`);
    if (seedLogs !== undefined) mkdirSync(seedLogs, { recursive: true });
    if (options.planned === true) {
      printReport(await runPlanned(options, seed, seedLogs));
      continue;
    }
    const report = await soak({
      seed,
      daemons,
      callersPerDaemon: callers,
      faults,
      entryFaults,
      returns,
      cuts,
      pauses,
      silences,
      spoils,
      cutAnswers,
      silentRounds,
      statementRounds,
      zoneRounds,
      durationMs: seconds * 1_000,
      firstPort: port,
      ...(seedLogs !== undefined && { logs: seedLogs }),
    });
    printReport(report);
  }
}

sade('soak', true)
  .describe('Runs daemons as processes under load and a seeded schedule of faults.')
  .option('--seed', 'First seed', 1)
  .option('--seeds', 'Number of seeds', 1)
  .option('--step', 'Distance of the seeds; neighbours begin their schedules alike', 1)
  .option('--daemons', 'Daemon processes', 3)
  .option('--callers', 'Callers at each daemon', 6)
  .option('--faults', 'Faults of a schedule', 14)
  .option('--returns', 'Restores of the store from an older copy', 0)
  .option('--cuts', 'Cuts of daemons from all servers', 0)
  .option('--pauses', 'Pauses of servers or of all daemons', 0)
  .option('--silences', 'Silences of sound servers, which end no answer', 0)
  .option('--spoils', 'Spoiled answers and entries, and added organisations', 0)
  .option('--cutAnswers', 'Answers that their servers cut by closing their connections', 0)
  .option('--entryFaults', 'Server restarts under the same name, and invalid rows', 0)
  .option(
    '--silentRounds',
    'Rounds of silent faults, each followed by a configuration change, before the faults',
    0,
  )
  .option(
    '--statementRounds',
    'Rounds in which servers send limits, Retry-After or leaving headers',
    0,
  )
  .option(
    '--zoneRounds',
    'Rounds in which a zone is evacuated and its servers are cold afterwards',
    0,
  )
  .option('--seconds', 'Period in which the faults start', 14)
  .option('--logs', "Directory for the daemons' logs, one folder per seed")
  .option('--planned', 'Planned work alone: stops, SIGHUPs and configurations, without any fault')
  .option('--program', 'Bundle of the daemon for planned work, instead of dist/gateway.cjs')
  .option('--port', 'First of about 400 ports', 23_000)
  .action((options: unknown) => {
    run(options).catch((err: unknown) => {
      process.stderr.write(`${String(err)}\n`);
      process.exitCode = 2;
    });
  })
  .parse(process.argv);

/** Runs the benchmarks named on the command line, or all; prints a JSON line for each figure. */

import { compareIsolation, compareWorth } from './admission';
import { benchGroups } from './groups';
import { benchControlSlopes } from './groups-slopes';
import { measureRequestSlopes } from './request-slopes';
import { compareRouting } from './routing';

type Benchmark = () => Promise<readonly object[]> | readonly object[];

const BENCHMARKS: Readonly<Record<string, Benchmark>> = {
  'admission-worth': compareWorth,
  'admission-isolation': compareIsolation,
  routing: compareRouting,
  groups: () => benchGroups(),
  'slopes-control': benchControlSlopes,
  'slopes-request': measureRequestSlopes,
};

async function main(names: readonly string[]): Promise<void> {
  const chosen = names.length > 0 ? names : Object.keys(BENCHMARKS);
  for (const name of chosen) {
    const benchmark = BENCHMARKS[name];
    if (benchmark === undefined) {
      process.stderr.write(
        `no benchmark ${name}; there are: ${Object.keys(BENCHMARKS).join(', ')}\n`,
      );
      process.exitCode = 2;
      return;
    }
    for (const row of await benchmark()) {
      process.stdout.write(`${JSON.stringify({ benchmark: name, ...row })}\n`);
    }
  }
}

void main(process.argv.slice(2));

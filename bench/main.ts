/** Runs the benchmarks named on the command line, or all; prints a JSON line for each figure. */

type Benchmark = () => Promise<readonly object[]> | readonly object[];

const BENCHMARKS: Readonly<Record<string, Benchmark>> = {};

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

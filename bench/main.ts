/** Runs the benchmarks named on the command line, or all; prints one JSON line per result. */

import { compareIsolation, compareWorth } from './admission';
import { benchConfigPropagation } from './config-propagation';
import { benchForming } from './forming';
import { benchGroups } from './groups';
import { benchLoads } from './groups-loads';
import { benchControlSlopes } from './groups-slopes';
import { benchLimits } from './limits';
import { benchMembershipSlopes } from './membership-slopes';
import { benchMembershipTraffic } from './membership-traffic';
import { benchQuarantine } from './quarantine';
import { measureRelay } from './relay';
import { measureRelaySlopes } from './relay-slopes';
import { measureRequestSlopes } from './request-slopes';
import { compareRetries } from './retry';
import { compareRouting } from './routing';

type Benchmark = () => Promise<readonly object[]> | readonly object[];

const BENCHMARKS: Readonly<Record<string, Benchmark>> = {
  'admission-worth': compareWorth,
  'admission-isolation': compareIsolation,
  routing: compareRouting,
  forming: benchForming,
  groups: () => benchGroups(),
  'slopes-control': benchControlSlopes,
  'slopes-request': measureRequestSlopes,
  retries: compareRetries,
  quarantine: benchQuarantine,
  limits: benchLimits,
  'group-loads': benchLoads,
  'config-propagation': benchConfigPropagation,
  'slopes-membership': benchMembershipSlopes,
  'membership-traffic': benchMembershipTraffic,
  relay: measureRelay,
  'slopes-relay': measureRelaySlopes,
};

async function main(names: readonly string[]): Promise<void> {
  const chosen = names.length > 0 ? names : Object.keys(BENCHMARKS);
  for (const name of chosen) {
    const benchmark = BENCHMARKS[name];
    if (benchmark === undefined) {
      process.stderr.write(
        `unknown benchmark ${name}; available: ${Object.keys(BENCHMARKS).join(', ')}\n`,
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

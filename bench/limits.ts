/** Measures by fleet size what sharing servers' rate limits costs a daemon, and how much of a limit is used. */

import { createRandom } from '../src/adapters/runtime';
import { encodeFrame } from '../src/adapters/peers/codec';
import { listLimitUpdates } from '../src/core/gateway/limits/known';
import type { KnownLimits } from '../src/core/gateway/limits/known';
import { refill, shareOf } from '../src/core/gateway/limits/share';
import type { ShareBucket } from '../src/core/gateway/limits/share';
import { brandAs } from '../src/core/ids';
import type { DaemonId, InstanceId, MonoTime } from '../src/core/ids';
import { findExcess, usedShare } from '../tests/fuzz/limits';
import { runLimits } from '../tests/fuzz/limits-world';
import { mean, round } from './statistics';

/** Numbers of daemons and of group heads; a twentieth of the heads declare a limit. */
const SIZES: readonly (readonly [daemons: number, heads: number])[] = [
  [7, 12],
  [70, 20],
  [195, 75],
  [670, 900],
];
const LIMITED_PART = 20;
const LIMIT_PER_S = 5;
const REPEATS = 20;
const LOOKUPS = 100_000;
const MODEL_MS = 40_000;
const MODEL_SEEDS = 4;

function now(ms: number): MonoTime {
  return brandAs<MonoTime>(ms);
}

function timeMs(run: () => void, repeats: number): number {
  const startedAt = performance.now();
  for (let n = 0; n < repeats; n++) run();
  return (performance.now() - startedAt) / repeats;
}

function measure(daemonCount: number, heads: number): object {
  const random = createRandom(daemonCount);
  const hex = (): string => Math.floor(random.next() * 0xffff_ffff).toString(16);
  const daemons = Array.from({ length: daemonCount }, (_, n) => brandAs<DaemonId>(`front-${n}`));
  const [self = brandAs<DaemonId>('front-0')] = daemons;
  const servers = Array.from({ length: Math.ceil(heads / LIMITED_PART) }, () =>
    brandAs<InstanceId>(`i-${hex()}@1770000000000`),
  );
  const known: KnownLimits = new Map(
    servers.map((server) => [
      server,
      { perSecond: LIMIT_PER_S, sentAt: now(0), receivedAt: now(0), isOwn: false },
    ]),
  );
  const facts = { limitPerS: LIMIT_PER_S, self, daemons };
  const shareAll = (): void => {
    for (const server of servers) shareOf({ server, ...facts });
  };
  const share = shareOf({ server: servers[0] ?? brandAs<InstanceId>('i'), ...facts });
  let turns: ShareBucket = { tokens: 0, at: now(0) };
  let at = 0;
  const lookUp = (): void => {
    turns = refill(turns, share, now((at += 1)));
  };
  const results = Array.from({ length: MODEL_SEEDS }, (_, n) =>
    runLimits({ seed: 100 * daemonCount + n, daemons: daemonCount, ms: MODEL_MS }),
  );
  return {
    daemons: daemonCount,
    limitedServers: servers.length,
    sharesAnewMs: round(timeMs(shareAll, REPEATS)),
    turnNs: round(timeMs(lookUp, LOOKUPS) * 1e6, 0),
    bytesToldToAll: encodeFrame(listLimitUpdates(known, now(250), { ofAll: true })).length,
    used: round(mean(results.map(usedShare)), 2),
    excesses: results.filter((result) => findExcess(result) !== undefined).length,
  };
}

export function benchLimits(): readonly object[] {
  return SIZES.map(([daemons, heads]) => measure(daemons, heads));
}

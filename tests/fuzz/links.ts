/** Fuzzes the links to servers: callers of daemons that are cut off are served, and no sound server is given up. */

import { isServedEnough } from '../support/server-rules';
import type { LinksResult } from './links-types';
import { runLinks, STABLE_MS } from './links-world';
import type { FuzzOptions } from './options';

const SIZES = [1, 2, 3, 7, 13, 14, 70, 195, 670] as const;
const RUN_MS = 20_000;
/** The largest fleets take long to play. */
const LARGE_FLEET = 300;
const LARGE_RUN_MS = 9_000;
/** Multiple of an even share, and a fixed number, that one daemon may forward in a second. */
const MAX_FORWARD_RATIO = 4;
const MAX_FORWARD_EXTRA = 12;
/** Requests sent through peers although the links are sound: those of a single lost message or crash. */
const MAX_NEEDLESS_SHARE = 0.01;

export function runSeed(
  seed: number,
  options: { readonly isAlone?: boolean } = {},
): Promise<LinksResult> {
  const daemons = SIZES[Math.abs(seed) % SIZES.length] ?? 7;
  const ms = daemons > LARGE_FLEET ? LARGE_RUN_MS : RUN_MS;
  return runLinks({ seed, daemons, ms, ...options });
}

/** Describes how callers of daemons that were cut off were served too seldom in one of the cuts. */
export function findUnserved({ cuts, tries }: LinksResult): string | undefined {
  for (const { from, to } of cuts) {
    const during = tries.filter(({ at }) => at >= from + STABLE_MS && at <= to);
    const served = (isCutOff: boolean): boolean[] =>
      during.filter((one) => one.isCutOff === isCutOff).map(({ isServed }) => isServed);
    const [atCutOff, atOthers] = [served(true), served(false)];
    if (isServedEnough(atCutOff, atOthers)) continue;
    const counts = [atCutOff, atOthers].map(
      (part) => `${part.filter(Boolean).length} of ${part.length}`,
    );
    return `cut from ${from}: ${counts.join(' served, others ')}`;
  }
  return undefined;
}

/** Describes a violation of another rule. */
export function findFault(result: LinksResult): string | undefined {
  const { wronglyEnded, needlesslyForwarded, tries, busiest } = result;
  if (wronglyEnded > 0) return `${wronglyEnded} sound servers taken for ended`;
  if (needlesslyForwarded > MAX_NEEDLESS_SHARE * tries.length)
    return `${needlesslyForwarded} of ${tries.length} requests sent through peers needlessly`;
  const { forwarded, evenShare } = busiest;
  if (forwarded > MAX_FORWARD_EXTRA + MAX_FORWARD_RATIO * evenShare)
    return `one daemon forwarded ${forwarded} requests in a second, even share ${evenShare.toFixed(1)}`;
  return undefined;
}

export async function fuzzLinks({ seed: first, runs, onRun }: FuzzOptions): Promise<void> {
  const totals = { cuts: 0, tries: 0, atCutOff: 0, servedAtCutOff: 0, needless: 0 };
  for (let seed = first; seed < first + runs; seed++) {
    const result = await runSeed(seed);
    const violation = findUnserved(result) ?? findFault(result);
    if (violation !== undefined)
      throw new Error(`seed ${seed}: ${violation}\n${result.trace.join('\n')}`);
    const atCutOff = result.tries.filter(({ isCutOff }) => isCutOff);
    totals.cuts += result.cuts.length;
    totals.tries += result.tries.length;
    totals.atCutOff += atCutOff.length;
    totals.servedAtCutOff += atCutOff.filter(({ isServed }) => isServed).length;
    totals.needless += result.needlesslyForwarded;
    onRun?.(seed - first + 1);
  }
  process.stdout.write(`${JSON.stringify({ fuzz: 'links', ...totals })}\n`);
}

/** Compares admission policies with simple baselines: answered worth, and isolation of organisations. */

import type { AdmissionOptions } from '../src/core/admission/types';
import type { CallerClass } from '../src/core/config/types';
import { runLoop } from './admission-loop';
import type { Kind, LoopOptions, Tenant, TenantResult } from './admission-loop';
import { quantile, summarise } from './statistics';
import type { Summary } from './statistics';

const SEEDS = [1, 2, 3, 4, 5];
const LOADS = [0.8, 1, 1.5, 3];
/** All policies, and ablations of the one in use. */
const VARIANTS: Readonly<Record<string, Partial<AdmissionOptions>>> = {
  'first-come': { policy: 'first-come' },
  'limit-only': { policy: 'limit-only' },
  'fair-deadline': { policy: 'fair-deadline' },
  'shared-worth': { policy: 'shared-worth' },
  'fair-worth': { policy: 'fair-worth' },
  'fair-worth, no credit': { policy: 'fair-worth', creditMs: 0 },
  'fair-worth, no arrival rates': { policy: 'fair-worth', arrivalMemoryMs: 0 },
};

function callerClass(name: string, worth: number, deadlineMs: number): CallerClass {
  return { name, worth, deadlineMs, maxInFlight: 100_000 };
}

/** Short urgent requests, ordinary ones, and long ones that tolerate delay. */
const KINDS: readonly Kind[] = [
  { class: callerClass('urgent', 10, 1_500), meanMs: 300, part: 0.4 },
  { class: callerClass('ordinary', 4, 6_000), meanMs: 600, part: 0.4 },
  { class: callerClass('digest', 1, 30_000), meanMs: 1_500, part: 0.2 },
];

const BASE: Omit<LoopOptions, 'tenants' | 'seed'> = {
  admission: {},
  slots: 32,
  kinds: KINDS,
  spread: 0.5,
  burst: 1,
  endMs: 120_000,
};

/** Ten organisations, two of them large. */
function tenantsAt(load: number, slots: number): readonly Tenant[] {
  const shares = [6, 6, 1, 1, 1, 1, 1, 1, 1, 1];
  const sum = shares.reduce((total, share) => total + share, 0);
  return shares.map((share, i) => ({ name: `o${i}`, share, load: (load * slots * share) / sum }));
}

export interface WorthRow {
  readonly variant: string;
  readonly load: number;
  readonly burst: number;
  /** Worth answered within the deadline, divided by worth offered. */
  readonly worth: Summary;
  /** Requests answered within the deadline, divided by requests offered. */
  readonly inTime: Summary;
  /** 95th percentile of the time to refusal, milliseconds. */
  readonly refusalP95Ms: Summary;
}

function worthOf(results: readonly TenantResult[]): number {
  const offered = results.reduce((sum, result) => sum + result.offeredWorth, 0);
  return results.reduce((sum, result) => sum + result.worthInTime, 0) / offered;
}

function inTimeOf(results: readonly TenantResult[]): number {
  const offered = results.reduce((sum, result) => sum + result.offered, 0);
  return results.reduce((sum, result) => sum + result.inTime, 0) / offered;
}

function worthRow(variant: string, load: number, burst: number): WorthRow {
  const tenants = tenantsAt(load, BASE.slots);
  const runs = SEEDS.map((seed) =>
    runLoop({ ...BASE, admission: VARIANTS[variant] ?? {}, burst, tenants, seed }),
  );
  const refusals = runs.map((run) =>
    quantile(
      run.flatMap((r) => r.refusalsMs),
      0.95,
    ),
  );
  return {
    variant,
    load,
    burst,
    worth: summarise(runs.map(worthOf)),
    inTime: summarise(runs.map(inTimeOf)),
    refusalP95Ms: summarise(refusals, 0),
  };
}

/** Measures the worth answered in time by each policy at each load, over five seeds. */
export function compareWorth(): readonly WorthRow[] {
  const bursts = [1, 16];
  return bursts.flatMap((burst) =>
    LOADS.flatMap((load) => Object.keys(VARIANTS).map((variant) => worthRow(variant, load, burst))),
  );
}

export interface IsolationRow {
  readonly variant: string;
  readonly slots: number;
  /** 95th percentile of the neighbours' latency, milliseconds, with the noisy one at its share. */
  readonly quietP95Ms: Summary;
  /** The same with the noisy one at ten times its share. */
  readonly noisyP95Ms: Summary;
  /** Noisy latency divided by quiet latency, per seed. */
  readonly ratio: Summary;
  /** Fraction of the neighbours' requests answered in time, in the noisy run. */
  readonly inTime: Summary;
}

interface IsolationRun {
  readonly p95Ms: number;
  readonly inTime: number;
}

const NEIGHBOURS = 4;
/** Fraction of their share that the neighbours use. */
const NEIGHBOUR_LOAD = 0.7;
const NOISY_FACTOR = 10;

function isolationRun(variant: string, slots: number, factor: number, seed: number): IsolationRun {
  const part = slots / (NEIGHBOURS + 1);
  const noisy: Tenant = { name: 'noisy', share: 1, load: part * factor };
  const others = Array.from({ length: NEIGHBOURS }, (_, i) => ({
    name: `o${i}`,
    share: 1,
    load: part * NEIGHBOUR_LOAD,
  }));
  const tenants = [...others, noisy];
  const results = runLoop({ ...BASE, admission: VARIANTS[variant] ?? {}, slots, tenants, seed });
  const neighbours = results.filter(({ name }) => name !== 'noisy');
  return {
    p95Ms: quantile(
      neighbours.flatMap((r) => r.latenciesMs),
      0.95,
    ),
    inTime: inTimeOf(neighbours),
  };
}

function isolationRow(variant: string, slots: number): IsolationRow {
  const quiet = SEEDS.map((seed) => isolationRun(variant, slots, 1, seed));
  const noisy = SEEDS.map((seed) => isolationRun(variant, slots, NOISY_FACTOR, seed));
  const ratios = noisy.map((run, i) => run.p95Ms / (quiet[i]?.p95Ms ?? NaN));
  return {
    variant,
    slots,
    quietP95Ms: summarise(
      quiet.map((run) => run.p95Ms),
      0,
    ),
    noisyP95Ms: summarise(
      noisy.map((run) => run.p95Ms),
      0,
    ),
    ratio: summarise(ratios),
    inTime: summarise(noisy.map((run) => run.inTime)),
  };
}

/** Measures the neighbours' latency while one organisation offers ten times its share. */
export function compareIsolation(): readonly IsolationRow[] {
  const sizes = [8, 32, 128];
  return sizes.flatMap((slots) =>
    Object.keys(VARIANTS).map((variant) => isolationRow(variant, slots)),
  );
}

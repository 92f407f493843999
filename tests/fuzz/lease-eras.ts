/**
 * Simulates candidates for one lease over a table that is restored from older copies, in virtual time: calls
 * take time, responses are lost, writes take effect late, processes pause and restart.
 */

import { createRandom } from '../../src/adapters/runtime';
import type { DaemonId, DomainId, FencingNumber, MonoTime } from '../../src/core/ids';
import { leaseKeys } from '../../src/core/lease/keys';
import { createLease, isHolder, reduceLease } from '../../src/core/lease/lease';
import type { FenceRow, LeaseEffect, LeaseEvent, LeaseRow } from '../../src/core/lease/types';
import type { LeaseState } from '../../src/core/lease/types';
import type { StoreEra } from '../../src/core/store-era';
import type { FuzzOptions } from './options';

export interface LeaseErasOptions {
  readonly seed: number;
  readonly steps: number;
}

export interface LeaseErasResult {
  readonly violations: readonly string[];
  readonly returns: number;
  readonly terms: number;
  /** The most recent events, oldest first. */
  readonly trace: readonly string[];
  /** Longest time without a holder while the table was available, in milliseconds. */
  readonly longestGapMs: number;
}

interface Stored<T> {
  readonly version: number;
  readonly row: T;
}

/** Rows by key, and the version of the latest write. */
interface TableState {
  readonly version: number;
  readonly leases: ReadonlyMap<string, Stored<LeaseRow>>;
  readonly fences: ReadonlyMap<string, Stored<FenceRow>>;
}

interface Process {
  readonly id: DaemonId;
  state: LeaseState;
  pausedUntil: number;
}

interface Due {
  readonly at: number;
  readonly run: () => void;
}

const DOMAIN = 'd' as DomainId;
const CANDIDATES = 5;
const STEP_MS = 20;
const SETTINGS = { ttlMs: 2_000, marginMs: 200, renewMs: 600, rankDelayMs: 300 };
/** Maximum age of a restored copy. */
const MAX_COPY_AGE_MS = 6_000;
const MAX_OUTAGE_MS = 800;
const TRACE_LINES = 40;
const STEPS = 50_000;

/** Runs one seeded history until its last step or the first violation. */
export function runLeaseEras({ seed, steps }: LeaseErasOptions): LeaseErasResult {
  const random = createRandom(seed);
  const chance = (share: number): boolean => random.next() < share;
  const randomBelow = (ms: number): number => Math.floor(random.next() * ms);
  let now = 0;
  let era = 1;
  let table: TableState = { version: 1, leases: new Map(), fences: new Map() };
  const history: { readonly at: number; readonly table: TableState }[] = [];
  let unavailableUntil = 0;
  let due: Due[] = [];
  let returns = 0;
  let starts = 0;
  const violations: string[] = [];
  /** The session that holds each fencing number. */
  const terms = new Map<FencingNumber, string>();
  let lastHeldAt = 0;
  let longestGapMs = 0;

  const start = (n: number): Process => {
    starts += 1;
    if (now > 0) note(`d${n} starts as ${starts}`);
    const id = `d${n}` as DaemonId;
    const options = { domain: DOMAIN, self: id, session: `${id} ${starts}` };
    const state = createLease({ ...options, settings: SETTINGS }, now as MonoTime);
    const process: Process = { id, state, pausedUntil: 0 };
    dispatch(process, { kind: 'ranked', rank: n });
    return process;
  };

  const trace: string[] = [];
  const note = (line: string): void => {
    trace.push(`${now}: era ${era}: ${line}`);
    if (trace.length > TRACE_LINES) trace.shift();
  };

  const after = (ms: number, run: () => void): void => {
    due.push({ at: now + ms, run });
  };

  const dispatch = (process: Process, event: LeaseEvent): void => {
    const step = reduceLease(process.state, event, { now: now as MonoTime });
    if (event.kind !== 'tick' && event.kind !== 'era') {
      note(`${process.state.session}: ${event.kind}`);
    }
    process.state = step.state;
    for (const effect of step.effects) send(process, effect);
  };

  /** Dispatches the era before the result, as the adapter does. */
  const answer = (process: Process, answeredIn: number, event: LeaseEvent): void => {
    after(2 + randomBelow(chance(0.1) ? 400 : 10), () => {
      if (!processes.includes(process)) return;
      dispatch(process, { kind: 'era', era: answeredIn as StoreEra });
      dispatch(process, event);
    });
  };

  const apply = (effect: Extract<LeaseEffect, { kind: 'commit' }>): LeaseEvent => {
    const { row, leaseVersion, fenceVersion } = effect;
    const keys = leaseKeys(DOMAIN, effect.era);
    const [lease, fence] = [table.leases.get(keys.lease), table.fences.get(keys.fence)];
    const holds =
      (lease?.version ?? 0) === leaseVersion &&
      (fenceVersion === undefined || (fence?.version ?? 0) === fenceVersion);
    if (!holds) return { kind: 'refused', conflict: true };
    const version = table.version + 1;
    const leases = new Map(table.leases).set(keys.lease, { version, row });
    const fences = new Map(table.fences);
    if (fenceVersion !== undefined) {
      fences.set(keys.fence, { version, row: { fencing: row.fencing } });
    }
    table = { version, leases, fences };
    return { kind: 'committed', version, fenceVersion: fences.get(keys.fence)?.version ?? 0 };
  };

  const call: {
    readonly [K in LeaseEffect['kind']]: (
      process: Process,
      effect: Extract<LeaseEffect, { kind: K }>,
    ) => void;
  } = {
    read: (process) => {
      const keys = leaseKeys(DOMAIN, era as StoreEra);
      const [lease, fence] = [table.leases.get(keys.lease), table.fences.get(keys.fence)];
      answer(process, era, {
        kind: 'read',
        era: era as StoreEra,
        ...(lease && { lease }),
        ...(fence && { fence }),
      });
    },
    commit: (process, effect) => {
      const result = apply(effect);
      const { holder, fencing, released } = effect.row;
      note(`row of ${holder} ${fencing}${released ? ' released' : ''} ${result.kind}`);
      if (chance(0.1))
        after(300, () => {
          answer(process, era, { kind: 'unsure' });
        });
      else answer(process, era, result);
    },
  };

  const send = (process: Process, effect: LeaseEffect): void => {
    // Some calls take effect late, possibly in a later era than the one they were sent in.
    after(2 + randomBelow(chance(0.05) ? 3_000 : 8), () => {
      if (now < unavailableUntil) {
        const failed: LeaseEvent =
          effect.kind === 'read' ? { kind: 'read-failed' } : { kind: 'refused', conflict: false };
        after(5, () => {
          if (processes.includes(process)) dispatch(process, failed);
        });
        return;
      }
      call[effect.kind](process, effect as never);
    });
  };

  const restoreFromCopy = (): void => {
    const copyAt = now - randomBelow(MAX_COPY_AGE_MS);
    const copy = history.findLast(({ at }) => at <= copyAt);
    if (copy) ({ table } = copy);
    era += 1;
    returns += 1;
    note(`restored from a copy of ${copy?.at ?? now}`);
    unavailableUntil = now + randomBelow(MAX_OUTAGE_MS);
  };

  const injectFaults = (): void => {
    if (chance(0.002)) restoreFromCopy();
    if (chance(0.002)) {
      const process = processes[randomBelow(CANDIDATES)];
      if (process) process.pausedUntil = now + randomBelow(4_000);
    }
    if (chance(0.002)) {
      const n = randomBelow(CANDIDATES);
      processes[n] = start(n);
    }
  };

  const check = (): void => {
    const holders = processes.filter(({ state }) => isHolder(state, now as MonoTime));
    for (const { state } of holders) {
      const fencing = state.held?.fencing;
      if (fencing === undefined) continue;
      const { session } = state;
      const known = terms.get(fencing);
      if (known !== undefined && known !== session) {
        violations.push(`at ${now}: fencing number ${fencing} is used by ${known} and ${session}`);
      }
      terms.set(fencing, session);
    }
    if (holders.length > 1) {
      violations.push(`at ${now}: ${holders.map(({ state }) => state.session).join()} hold`);
    }
    if (holders.length > 0) lastHeldAt = now;
    longestGapMs = Math.max(longestGapMs, now - Math.max(lastHeldAt, unavailableUntil));
  };

  const processes: Process[] = [];
  for (let n = 0; n < CANDIDATES; n++) processes.push(start(n));
  for (let step = 0; step < steps && violations.length === 0; step++) {
    now += STEP_MS;
    const ready = due.filter(({ at }) => at <= now).sort((a, b) => a.at - b.at);
    due = due.filter(({ at }) => at > now);
    for (const { run } of ready) run();
    history.push({ at: now, table });
    if (history.length > MAX_COPY_AGE_MS / STEP_MS) history.shift();
    for (const process of processes) {
      if (now < process.pausedUntil) continue;
      if (!process.state.held && !process.state.reading && chance(0.03)) {
        process.state = { ...process.state, reading: true };
        send(process, { kind: 'read' });
      }
      dispatch(process, { kind: 'tick' });
    }
    injectFaults();
    check();
  }
  return { violations, returns, terms: terms.size, longestGapMs, trace };
}

/** Runs consecutive seeds; throws for the first history that violates a rule. */
export function fuzzLeaseEras({ seed, runs, onRun }: FuzzOptions): void {
  for (let run = 0; run < runs; run++) {
    const { violations, trace } = runLeaseEras({ seed: seed + run, steps: STEPS });
    if (violations.length > 0) {
      throw new Error(`seed ${seed + run}: ${violations.join('; ')}\n${trace.join('\n')}`);
    }
    onRun?.(run + 1);
  }
}

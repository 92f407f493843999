/**
 * A leading daemon that inspects the members of groups over fake servers, in fake time: each server answers
 * requests for its report after a delay, refuses them, or takes them and stays silent.
 */

import { err, errAsync, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Subject } from 'rxjs';
import { vi } from 'vitest';

import { createLogger } from '../../src/adapters/telemetry/logger';
import { createMemberInspection } from '../../src/app/gateway/member-inspection';
import type { MemberInspectionOptions } from '../../src/app/gateway/member-inspection';
import type { Stall } from '../../src/app/gateway/group-registry';
import type { BackendServer } from '../../src/core/gateway/types';
import { brandAs } from '../../src/core/ids';
import type { DomainId, GroupId, InstanceId, MonoTime, ZoneId } from '../../src/core/ids';
import { fail } from '../../src/utils/errors';
import type { StepError } from '../../src/utils/errors';
import { createFakeClock } from './fake-time';
import { inGroup, makeContext, makeServer } from './support';

/** When a server answers what it is asked at `now`: a time, `never`, or at once if it `refuses` or is `malformed`. */
export type Behaviour = (now: number) => number | 'never' | 'refuses' | 'malformed';

export const HEALTHY: Behaviour = (now) => now + 1;
export const DARK: Behaviour = () => 'never';
export const ENDED: Behaviour = () => 'refuses';
/** Sends reports that fail validation. */
export const MALFORMED: Behaviour = () => 'malformed';

/** Answers after so many milliseconds. */
export const after =
  (ms: number): Behaviour =>
  (now) =>
    now + ms;

/** Stands still for `ms` from now on; what arrives meanwhile is answered afterwards. */
export function paused(ms: number): Behaviour {
  const until = Date.now() + ms;
  return (now) => Math.max(now, until) + 1;
}

/** A request for a report that is neither answered nor given up. */
interface PendingReport {
  readonly answerAt: number;
  readonly timeoutAt: number;
  readonly resolve: (result: Result<unknown, StepError>) => void;
}

/** A check of the server and the answers of a few peers. */
const PEER_CHECK_MS = 300;
/** A refusal is confirmed by answers of peers, none of which waits for the server. */
const REFUSED_CHECK_MS = 30;
const RUN_STEP_MS = 5;
const NO_RESPONSE = fail('unavailable', 'no response', { step: 'report' });

export interface GroupSpec {
  readonly group: string;
  readonly size: number;
  readonly domain: string;
  readonly zone?: string;
}

export function startAsking(groups: readonly GroupSpec[], { isBusy: startsBusy = true } = {}) {
  const servers = new Map<InstanceId, BackendServer>();
  for (const { group, size, domain, zone = 'a' } of groups) {
    for (let rank = 0; rank < size; rank++) {
      const id = `s${servers.size + 1}`;
      const place = { domain: brandAs<DomainId>(domain), zone: brandAs<ZoneId>(zone) };
      const server = makeServer(id, { ...inGroup(group, rank, 'open'), ...place });
      servers.set(server.id, server);
    }
  }
  const lapsed = new Map<InstanceId, BackendServer>();
  const changes = new Subject<void>();
  const behaviours = new Map<InstanceId, Behaviour>();
  const clock = createFakeClock();
  const lines: Record<string, unknown>[] = [];
  const logger = createLogger({
    write: (line) => lines.push(JSON.parse(line) as Record<string, unknown>) > 0,
  });
  const excluded = new Map<InstanceId, MonoTime>();
  const found: { readonly stall: Stall; readonly at: number }[] = [];
  const evacuated = new Set<string>();
  const throughPeers = new Set<InstanceId>();
  let isBusy = startsBusy;
  let fencing: number | undefined = 1;
  let asked = 0;

  const pending = new Set<PendingReport>();

  /** Delivers the answers that have come, after giving up what has waited for too long. */
  const settle = (): void => {
    for (const report of pending) {
      const isLate = Date.now() >= report.timeoutAt;
      if (!isLate && Date.now() < report.answerAt) continue;
      pending.delete(report);
      report.resolve(isLate ? err(NO_RESPONSE) : ok({ slowdown: 1 }));
    }
  };

  const answer = (server: BackendServer, timeoutMs: number) => {
    asked += 1;
    const now = Date.now();
    const at = (behaviours.get(server.id) ?? HEALTHY)(now);
    if (at === 'refuses') return errAsync(fail('backend-refused', 'refused', { step: 'report' }));
    if (at === 'malformed') return errAsync(fail('bad-answer', 'a field', { step: 'report' }));
    const answerAt = at === 'never' ? Infinity : at;
    const timeoutAt = now + timeoutMs;
    const result = new Promise<Result<unknown, StepError>>((resolve) => {
      pending.add({ answerAt, timeoutAt, resolve });
      setTimeout(settle, Math.min(answerAt, timeoutAt) - now);
    });
    return new ResultAsync(result);
  };

  const ctx = makeContext({ clock, logger });
  const inspection = createMemberInspection(ctx, {
    serverRegistry: { servers, lapsed, changes },
    leadership: { heldFencing: () => fencing },
    servers: { report: answer },
    isBusy: () => isBusy,
    evacuations: { isEvacuated: (zone: string) => evacuated.has(zone) },
    noteLost: (lost: readonly BackendServer[], until: MonoTime) => {
      for (const { id } of lost) excluded.set(id, until);
    },
    isReachedByPeer: async (address: string) => {
      await new Promise((resolve) => setTimeout(resolve, PEER_CHECK_MS));
      const server = [...servers.values()].find((s) => s.address === address);
      if (!server || !throughPeers.has(server.id)) return false;
      // What is sent from now on goes through the peer.
      behaviours.set(server.id, HEALTHY);
      return true;
    },
    // Peers agree, unless they reach the server or are refused by all others as well.
    hasEnded: async (address: string) => {
      await new Promise((resolve) => setTimeout(resolve, REFUSED_CHECK_MS));
      const refuses = ({ id }: BackendServer): boolean =>
        (behaviours.get(id) ?? HEALTHY)(Date.now()) === 'refuses';
      const all = [...servers.values()];
      const server = all.find((one) => one.address === address);
      return server !== undefined && !throughPeers.has(server.id) && !all.every(refuses);
    },
    noteFound: ({ id }: BackendServer) => excluded.delete(id),
    replan: () => undefined,
  } as unknown as MemberInspectionOptions);
  inspection.lost.subscribe((stall) => found.push({ stall, at: Date.now() }));

  const stillSilent: Stall[] = [];
  inspection.stillSilent.subscribe((stall) => stillSilent.push(stall));

  const membersOf = (group: string): InstanceId[] =>
    [...servers.values()].filter((s) => s.membership?.group === group).map(({ id }) => id);
  const set = (ids: readonly (InstanceId | undefined)[], behaviour: Behaviour): void => {
    for (const id of ids) if (id !== undefined) behaviours.set(id, behaviour);
  };

  return {
    ctx,
    set,
    throughPeers,
    stillSilent,
    evacuated,
    membersOf,
    excluded,
    found,
    all: (): InstanceId[] => [...servers.keys()],
    inDomain: (domain: string): InstanceId[] =>
      [...servers.values()].filter((s) => s.domain === domain).map(({ id }) => id),
    inZone: (zone: string): InstanceId[] =>
      [...servers.values()].filter((s) => s.zone === zone).map(({ id }) => id),
    drain: (id: InstanceId): void => {
      const server = servers.get(id);
      if (server) servers.set(id, { ...server, isDraining: true });
    },
    beginStreams: (): void => {
      isBusy = true;
    },
    endLease: (): void => {
      fencing = undefined;
    },
    /** The entries of servers expire. */
    lapse: (ids: readonly (InstanceId | undefined)[]): void => {
      for (const id of ids) {
        const server = id && servers.get(id);
        if (!server) continue;
        servers.delete(server.id);
        lapsed.set(server.id, server);
      }
      changes.next();
    },
    asked: () => asked,
    /** The groups that were found lost, in order. */
    lost: (): string[] => found.map(({ stall }) => stall.group),
    lines: (message: string) => lines.filter((line) => line.message === message),
    inspect: (group: string, lastEventAt?: () => MonoTime | undefined): void => {
      const head = membersOf(group)[0];
      if (head === undefined) throw new Error(`no group ${group}`);
      inspection.inspect({ group: brandAs<GroupId>(group), head }, lastEventAt);
    },
    run: async (ms: number): Promise<void> => {
      const until = Date.now() + ms;
      while (Date.now() < until) {
        await vi.advanceTimersByTimeAsync(Math.min(RUN_STEP_MS, until - Date.now()));
        // Immediates are not faked: a process that runs has done them before the next timers.
        await new Promise(setImmediate);
      }
    },
    /** This process does not run for `ms`; then, as in an event loop, time limits pass before answers are read. */
    block: (ms: number): void => {
      vi.setSystemTime(Date.now() + ms);
      for (const report of pending) {
        if (Date.now() < report.timeoutAt) continue;
        pending.delete(report);
        report.resolve(err(NO_RESPONSE));
      }
      setTimeout(settle, 1);
    },
  };
}

/**
 * Daemons that share the limit of one server, in virtual time and without a network: requests come at random,
 * answers and peers' words come late or are lost, and daemons start again, stand still, are cut off or stop.
 */

import { createRandom } from '../../src/adapters/runtime';
import { createRateLimits } from '../../src/app/gateway/rate-limits';
import type { RateLimits } from '../../src/app/gateway/rate-limits';
import { listUnresponsive } from '../../src/core/gateway/limits/share';
import { brandAs } from '../../src/core/ids';
import type { DaemonId, EpochTime, MonoTime } from '../../src/core/ids';
import { instance, makeContext } from '../gateway/support';
import { SETTLE_MS } from '../support/server-rules';

export interface LimitsOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly ms: number;
  /** Faults of daemons in a minute, as a part of all daemons. */
  readonly faultShare?: number;
  /** Each daemon takes the whole limit for its own. */
  readonly isUnshared?: boolean;
}

/** A request at the server. */
export interface Arrival {
  readonly at: number;
  /** Whether the rule counts it: its daemon had passed the limit on, and was not disturbed. */
  readonly isCounted: boolean;
}

export interface LimitsResult {
  readonly arrivals: readonly Arrival[];
  /** Requests a second that the server takes at an instant; undefined while it names no limit. */
  readonly limitAt: (at: number) => number | undefined;
  readonly firstNamedAt: number;
  readonly trace: readonly string[];
}

interface Due {
  readonly at: number;
  readonly run: () => void;
}

type Trouble = 'none' | 'down' | 'frozen' | 'cut';

interface Daemon {
  readonly id: DaemonId;
  limits: RateLimits;
  /** Requests a second that it could send to the server. */
  readonly demand: number;
  trouble: Trouble;
  untilMs: number;
  /** Excused by the rule until then. */
  disturbedUntil: number;
  toldAt: number | undefined;
  nextRequestAt: number;
  readonly heardAt: Map<DaemonId, number>;
  leaderSilent: { readonly at: number; readonly silent: readonly DaemonId[] } | undefined;
  tellAt: number;
  /** Messages and answers that came while it stood still. */
  readonly held: (() => void)[];
}

const SERVER = instance('server@1');
const STEP_MS = 10;
const TICK_MS = 50;
const DIRECT_DAEMONS = 13;
const LARGE_TELL_MS = 200;
/** Until the head of an answer is there. */
export const LONGEST_ANSWER_MS = 400;
/** A daemon counts as told so long after it passed on an answer. */
export const TOLD_AFTER_MS = 500;
const LEADER_FRESH_MS = 1_200;
const NO_LEADER_MS = 2_500;
const TRACE_LINES = 60;

/** One piece of the server's history. */
interface Piece {
  readonly from: number;
  readonly limit: number | undefined;
}

function freshMs(peers: number): number {
  return 1_500 + 40 * peers;
}

function tellMs(daemons: number): number {
  return daemons > DIRECT_DAEMONS ? LARGE_TELL_MS : 100 + 9 * (daemons - 1);
}

export function runLimits({
  seed,
  daemons: count,
  ms,
  faultShare = 1,
  isUnshared = false,
}: LimitsOptions): LimitsResult {
  const random = createRandom(seed);
  const draw = (least: number, most: number): number => least + random.next() * (most - least);
  const chance = (share: number): boolean => random.next() < share;
  let now = 0;
  const queue: Due[] = [];
  const arrivals: Arrival[] = [];
  const trace: string[] = [];
  const note = (text: string): void => {
    trace.push(`${now}: ${text}`);
    if (trace.length > TRACE_LINES) trace.shift();
  };
  const after = (delayMs: number, run: () => void): void => {
    queue.push({ at: now + delayMs, run });
  };

  // The server's history: it names a limit after a while, which then changes, stays, or ends and comes back.
  const scale = draw(0.3, 8) * (chance(0.2) ? 5 : 1);
  const firstNamedAt = draw(500, 2_500);
  const pieces: Piece[] = [
    { from: 0, limit: undefined },
    { from: firstNamedAt, limit: scale },
  ];
  if (chance(0.5)) {
    for (let at = firstNamedAt + draw(6_000, 12_000); at < ms; at += draw(3_000, 12_000)) {
      const limit = chance(0.15) ? undefined : chance(0.1) ? 0 : scale * draw(0.3, 2);
      pieces.push({ from: at, limit });
    }
  }
  const limitAt = (at: number): number | undefined =>
    pieces.reduce<Piece | undefined>(
      (found, piece) => (piece.from <= at ? piece : found),
      undefined,
    )?.limit;

  const ids = Array.from({ length: count }, (_, n) => brandAs<DaemonId>(`daemon-${n}`));
  const isLarge = count > DIRECT_DAEMONS;
  let leader = 0;
  let noLeaderUntil = 0;

  const silentAt = (daemon: Daemon): readonly DaemonId[] => {
    const told = daemon.leaderSilent;
    if (isLarge && told && now < told.at + LEADER_FRESH_MS && daemons[leader] !== daemon) {
      return told.silent;
    }
    const fresh = freshMs(daemon.heardAt.size);
    const heard = [...daemon.heardAt].flatMap(([id, at]) => (now < at + fresh ? [id] : []));
    return listUnresponsive(ids, new Set([daemon.id, ...heard]));
  };

  const makeDaemonLimits = (id: DaemonId, daemon: () => Daemon): RateLimits =>
    createRateLimits(
      makeContext({
        settings: { id },
        clock: { now: () => brandAs<MonoTime>(now), epoch: () => brandAs<EpochTime>(now) },
        seed: seed + hashOf(id),
      }),
      {
        daemons: () => {
          if (isUnshared) return [id];
          const silent = new Set(silentAt(daemon()));
          return ids.filter((one) => !silent.has(one));
        },
        isRemoved: () => false,
        publish: (others, told) => {
          for (const peer of daemons) {
            if (!others.includes(peer.id)) continue;
            receive(daemon(), peer, () => {
              peer.limits.applyReport(told, id);
            });
          }
        },
      },
    );

  // Callers are spread unevenly: a few daemons have most of them.
  const totalDemand = Math.max(scale * draw(2, 5), count * draw(1, 3));
  const weights = ids.map(() => random.next() ** 2 + 0.05);
  const weightSum = weights.reduce((sum, weight) => sum + weight, 0);
  const daemons: Daemon[] = ids.map((id, n) => {
    const daemon: Daemon = {
      id,
      limits: makeDaemonLimits(id, () => daemon),
      demand: (totalDemand * (weights[n] ?? 1)) / weightSum,
      trouble: 'none',
      untilMs: 0,
      disturbedUntil: 0,
      toldAt: undefined,
      nextRequestAt: draw(0, 1_000),
      heardAt: new Map(),
      leaderSilent: undefined,
      tellAt: draw(0, tellMs(count)),
      held: [],
    };
    return daemon;
  });

  const runsAt = ({ trouble }: Daemon): boolean => trouble !== 'down' && trouble !== 'frozen';

  /** Runs at the daemon now, once it wakes, or never where its process has ended meanwhile. */
  const at = (daemon: Daemon, run: () => void): void => {
    if (daemon.trouble === 'down') return;
    if (daemon.trouble === 'frozen') daemon.held.push(run);
    else run();
  };

  const send = (daemon: Daemon): void => {
    const { limits } = daemon;
    if (limits.tokens(SERVER) < 1) return;
    limits.takeToken(SERVER);
    const sentAt = brandAs<MonoTime>(now);
    after(draw(1, 20), () => {
      const isTold = daemon.toldAt !== undefined && now >= daemon.toldAt + TOLD_AFTER_MS;
      const isDisturbed = daemon.trouble !== 'none' || now < daemon.disturbedUntil;
      arrivals.push({ at: now, isCounted: isTold && !isDisturbed });
      const perSecond = limitAt(now);
      after(draw(5, LONGEST_ANSWER_MS), () => {
        at(daemon, () => {
          if (limits !== daemon.limits) return;
          limits.noteAnswer(SERVER, { perSecond, sentAt });
          if (perSecond !== undefined) daemon.toldAt ??= now;
        });
      });
    });
  };

  const receive = (from: Daemon, to: Daemon, take: () => void): void => {
    after(draw(1, 60), () => {
      if (from.trouble === 'cut' || to.trouble === 'cut') return;
      at(to, take);
    });
  };

  const tellPeers = (daemon: Daemon): void => {
    const told = daemon.limits.report();
    const targets = isLarge ? daemons.filter((_, n) => n === leader) : daemons;
    for (const peer of targets) {
      if (peer === daemon) continue;
      receive(daemon, peer, () => {
        peer.heardAt.set(daemon.id, now);
        peer.limits.applyReport(told, daemon.id);
      });
    }
  };

  const lead = (daemon: Daemon): void => {
    const isWanted = daemons.some(
      (peer) => peer.trouble === 'none' && peer.leaderSilent === undefined,
    );
    const told = daemon.limits.reportToAll(isWanted);
    const silent = silentAt(daemon);
    for (const peer of daemons) {
      if (peer === daemon) continue;
      receive(daemon, peer, () => {
        peer.leaderSilent = { at: now, silent };
        peer.limits.applyReport(told, daemon.id);
      });
    }
  };

  const begin: Readonly<Record<Exclude<Trouble, 'none'>, (daemon: Daemon) => void>> = {
    down: (daemon) => {
      daemon.toldAt = undefined;
      daemon.held.length = 0;
    },
    frozen: () => undefined,
    cut: () => undefined,
  };
  const endTrouble: Readonly<Record<Exclude<Trouble, 'none'>, (daemon: Daemon) => void>> = {
    down: (daemon) => {
      daemon.limits = makeDaemonLimits(daemon.id, () => daemon);
      daemon.heardAt.clear();
      daemon.leaderSilent = undefined;
    },
    frozen: (daemon) => {
      for (const run of daemon.held.splice(0)) run();
    },
    cut: () => undefined,
  };

  const disturb = (): void => {
    const kinds = ['down', 'frozen', 'cut'] as const;
    const kind = kinds[Math.floor(random.next() * kinds.length)] ?? 'down';
    const isHerd = chance(0.1);
    const struck = daemons.filter(() => chance(isHerd ? 0.6 : 1.5 / count));
    note(`${kind}: ${struck.length} of ${count}`);
    for (const daemon of struck) {
      if (daemon.trouble !== 'none') continue;
      daemon.trouble = kind;
      daemon.untilMs = now + draw(300, 6_000);
      daemon.disturbedUntil = daemon.untilMs + SETTLE_MS;
      begin[kind](daemon);
      if (daemons[leader] === daemon) noLeaderUntil = now + NO_LEADER_MS;
    }
  };

  const succeed = (): void => {
    const current = daemons[leader];
    if (now < noLeaderUntil || current?.trouble === 'none') return;
    const next = daemons.findIndex(({ trouble }) => trouble === 'none');
    if (next >= 0) leader = next;
  };

  let nextFaultAt = draw(1_000, 8_000);
  let nextTickAt = 0;
  const step = (): void => {
    const due = queue.filter(({ at: dueAt }) => dueAt <= now).sort((a, b) => a.at - b.at);
    if (due.length > 0) {
      const late = queue.filter(({ at: dueAt }) => dueAt > now);
      queue.length = 0;
      queue.push(...late);
      for (const { run } of due) run();
    }
    if (faultShare > 0 && now >= nextFaultAt) {
      nextFaultAt = now + draw(500, 8_000) / faultShare;
      disturb();
    }
    succeed();
    const isTick = now >= nextTickAt;
    if (isTick) nextTickAt = now + TICK_MS;
    daemons.forEach((daemon, n) => {
      if (daemon.trouble !== 'none' && now >= daemon.untilMs) {
        const { trouble } = daemon;
        daemon.trouble = 'none';
        endTrouble[trouble](daemon);
      }
      if (!runsAt(daemon)) return;
      if (isTick) daemon.limits.tick();
      if (now >= daemon.tellAt) {
        daemon.tellAt = now + tellMs(count);
        const leads = isLarge && n === leader && now >= noLeaderUntil;
        if (leads) lead(daemon);
        else tellPeers(daemon);
      }
      while (daemon.nextRequestAt <= now) {
        daemon.nextRequestAt += (-Math.log(1 - random.next()) * 1_000) / daemon.demand;
        send(daemon);
      }
    });
  };

  for (now = 0; now < ms; now += STEP_MS) step();
  return { arrivals, limitAt, firstNamedAt, trace };
}

function hashOf(id: DaemonId): number {
  return Number(id.replace(/\D/g, ''));
}

/**
 * Daemons that share a quarantine, in virtual time and without a network: a few requests crash each group that
 * runs them, groups fail by themselves as well, messages are late or lost, and daemons restart, stand still or
 * are cut off from each other.
 */

import { createRandom } from '../../src/adapters/runtime';
import { createGatewayQuarantine } from '../../src/app/gateway/quarantine/quarantine';
import type { Quarantine, RequestRun } from '../../src/app/gateway/quarantine/quarantine';
import type { RunTarget } from '../../src/app/gateway/quarantine/server-checks';
import type { Exchange } from '../../src/app/gateway/exchange';
import type { ServingGroup } from '../../src/app/gateway/group-index';
import { createRefusedRow } from '../../src/app/gateway/quarantine/refused-row';
import type { RefusedRow } from '../../src/app/gateway/quarantine/refused-row';
import { brandAs } from '../../src/core/ids';
import type { DaemonId, DomainId, FencingNumber, GroupId, MonoTime } from '../../src/core/ids';
import { instance, makeContext } from '../gateway/support';
import { SETTLE_MS } from '../support/server-rules';
import { createRowTable, makeRequest } from './crashes-fakes';
import { createPartRequests, firstPartOf } from './crashes-parts';
import type { CrashesOptions, CrashesResult, FatalRequest, SoundRequest } from './crashes-types';

interface Daemon {
  readonly n: number;
  quarantine: Quarantine;
  row: RefusedRow;
  state: 'up' | 'down' | 'frozen' | 'cut';
  untilMs: number;
  disturbedUntil: number;
  tellAt: number;
  readonly held: (() => void)[];
  readonly helpedAt: Map<number, number>;
}

interface Running {
  readonly run: RequestRun;
  readonly daemon: Daemon;
  readonly quarantine: Quarantine;
  readonly request: Exchange;
  readonly fatal: FatalRequest | undefined;
  readonly attempt: number;
}

interface Group {
  readonly target: RunTarget;
  upAt: number;
  readonly running: Set<Running>;
}

const STEP_MS = 5;
const TICK_MS = 50;
/** Time from sending a request to its first event, if it lasts as long. */
const PREFILL_MS = 100;
const GROUPS = 14;
const DOMAINS = 6;
const MAX_DIRECT_DAEMONS = 13;
const LARGE_TELL_MS = 200;
const HELP_INTERVAL_MS = 500;
const MAX_ATTEMPTS = 2;
const LOSS_CHANCE = 0.02;
const INNOCENTS_PER_S = 60;
const MAX_FATAL = 4;
const NO_LEADER_MS = 2_500;

function nameOf({ body, facts }: Exchange): string {
  return [String(body), ...(facts.sharedParts ?? [])].join(' ');
}

export async function runCrashes({
  seed,
  daemons: count,
  ms,
  isUnshared = false,
  hasParts = false,
}: CrashesOptions): Promise<CrashesResult> {
  const random = createRandom(seed);
  const draw = (least: number, most: number): number => least + random.next() * (most - least);
  const chance = (share: number): boolean => random.next() < share;
  const pick = <T>(all: readonly T[]): T | undefined => all[Math.floor(random.next() * all.length)];
  let now = 0;
  let queue: { readonly at: number; readonly run: () => void }[] = [];
  const after = (delayMs: number, run: () => void): void => {
    queue.push({ at: now + delayMs, run });
  };
  const trace: string[] = [];
  const note = (text: string): void => {
    trace.push(`${now}: ${text}`);
  };
  const result = {
    fatal: [] as FatalRequest[],
    sound: [] as SoundRequest[],
    innocents: 0,
    innocentsRefused: 0,
    innocentsHeld: 0,
    trace,
  };

  let groupCount = 0;
  const startGroup = (domain: number): Group => {
    groupCount += 1;
    const target = {
      server: instance(`i${groupCount}`),
      address: `a${groupCount}`,
      group: brandAs<GroupId>(`g${groupCount}`),
      domain: brandAs<DomainId>(`d${domain}`),
    };
    return { target, upAt: now, running: new Set() };
  };
  const groups = Array.from({ length: GROUPS }, (_, n) => startGroup(n % DOMAINS));

  const table = createRowTable();
  let leader = 0;
  let noLeaderUntil = 0;
  const isLarge = count > MAX_DIRECT_DAEMONS;
  const leads = (n: number): boolean => n === leader && now >= noLeaderUntil;
  const startParts = (n: number): Pick<Daemon, 'quarantine' | 'row'> => {
    const ctx = makeContext({
      clock: { now: () => brandAs(now), epoch: () => brandAs(now + 1e12) },
      seed: seed + n,
      settings: { id: brandAs<DaemonId>(`daemon-${n}`) },
    });
    const quarantine = createGatewayQuarantine(ctx, {
      serverRegistry: { ended: new Map() },
      daemons: () => count,
      groupRegistry: {
        find: (head) => {
          const target = groups.find((one) => one.target.server === head)?.target;
          if (!target) return undefined;
          return { id: target.group, head: { domain: target.domain } } as ServingGroup;
        },
      },
      findState: (address) =>
        Promise.resolve(
          groups.some(({ target, upAt }) => target.address === address && upAt <= now)
            ? 'listening'
            : 'refused',
        ),
    });
    const heldFencing = () => (leads(n) ? brandAs<FencingNumber>(1) : undefined);
    return {
      quarantine,
      row: createRefusedRow(ctx, { table, quarantine, leadership: { heldFencing } }),
    };
  };
  const tellMs = isLarge ? LARGE_TELL_MS : 100 + 9 * (count - 1);
  const daemons: Daemon[] = Array.from({ length: count }, (_, n) => ({
    ...{ n, ...startParts(n), state: 'up' as const, untilMs: 0, disturbedUntil: 0 },
    ...{ tellAt: draw(0, tellMs), held: [], helpedAt: new Map<number, number>() },
  }));

  /** Runs at the daemon now, or once it wakes; never if its process ended meanwhile. */
  const at = (daemon: Daemon, quarantine: Quarantine, run: () => void): void => {
    if (daemon.quarantine !== quarantine || daemon.state === 'down') return;
    if (daemon.state === 'frozen') daemon.held.push(run);
    else run();
  };
  const pass = (from: Daemon, to: Daemon, take: () => void): void => {
    if (isUnshared || chance(LOSS_CHANCE)) return;
    after(draw(1, isLarge ? 150 : 40), () => {
      if (from.state === 'cut' || to.state === 'cut') return;
      at(to, to.quarantine, take);
    });
  };

  const help = (daemon: Daemon, peer: Daemon, peerDigest: number): void => {
    const digest = daemon.quarantine.digest();
    if (digest === 0 || digest === peerDigest) return;
    if (now < (daemon.helpedAt.get(peer.n) ?? 0)) return;
    daemon.helpedAt.set(peer.n, now + HELP_INTERVAL_MS);
    const refused = daemon.quarantine.refused();
    pass(daemon, peer, () => {
      peer.quarantine.applyRefused(refused, 'peer');
    });
  };
  const tell = (daemon: Daemon): void => {
    const isLeader = isLarge && leads(daemon.n);
    const report = isLeader ? daemon.quarantine.reportOfAll() : daemon.quarantine.report();
    const digest = daemon.quarantine.digest();
    const to = isLarge && !isLeader ? daemons.filter(({ n }) => leads(n)) : daemons;
    for (const peer of to) {
      if (peer === daemon) continue;
      pass(daemon, peer, () => {
        if (report) peer.quarantine.applyReport(report);
        help(peer, daemon, digest);
      });
    }
  };

  const endGroup = (group: Group, why: string): void => {
    group.upAt = Infinity;
    note(`${group.target.group} ends: ${why}, ${group.running.size} running`);
    for (const one of group.running) {
      after(draw(0, 5), () => {
        at(one.daemon, one.quarantine, () => {
          one.run.broken();
          after(draw(1, 10), () => {
            at(one.daemon, one.quarantine, () => {
              if (one.attempt < MAX_ATTEMPTS)
                send(one.daemon, one.request, one.fatal, one.attempt + 1);
            });
          });
        });
      });
    }
    const place = groups.indexOf(group);
    after(draw(1_500, 5_000), () => {
      groups[place] = startGroup(place % DOMAINS);
    });
  };

  function send(
    daemon: Daemon,
    request: Exchange,
    fatal: FatalRequest | undefined,
    attempt = 1,
  ): void {
    const { quarantine } = daemon;
    const standing = quarantine.standing(request);
    const isCounted = daemon.state === 'up' && now >= daemon.disturbedUntil;
    const isAdmitted = standing !== 'held' && standing !== 'refused';
    if (!fatal && isCounted && attempt === 1)
      result.sound.push({ at: now, firstPart: firstPartOf(request), isAdmitted });
    if (!isAdmitted) {
      if (!fatal) note(`${nameOf(request)} ${standing}`);
      if (!fatal && standing === 'refused') result.innocentsRefused += 1;
      if (!fatal && standing === 'held') result.innocentsHeld += 1;
      return;
    }
    const up = groups.filter(({ upAt }) => upAt <= now);
    const allowed = quarantine.allowed(
      request,
      up.map(({ target }) => ({ head: target.server }) as never),
    );
    const head = pick(allowed)?.head;
    const group = up.find(({ target }) => target.server === head);
    if (!group) return;
    const progress: { prefilledAt: MonoTime | undefined } = { prefilledAt: undefined };
    const run = quarantine.begin(request, group.target, progress);
    after(PREFILL_MS, () => {
      progress.prefilledAt = brandAs<MonoTime>(now);
    });
    const one: Running = { run, daemon, quarantine, request, fatal, attempt };
    group.running.add(one);
    if (fatal && isCounted) fatal.arrivedAt.push(now);
    after(fatal ? draw(20, 150) : draw(200, 1_200), () => {
      if (group.upAt === Infinity || !group.running.delete(one)) return;
      if (!fatal) {
        at(daemon, quarantine, () => {
          run.ended(true);
        });
        return;
      }
      group.running.add(one);
      fatal.crashedAt.push(now);
      endGroup(group, `fatal ${result.fatal.indexOf(fatal)} from daemon ${daemon.n}`);
    });
  }

  const sendAnywhere = (request: Exchange, fatal?: FatalRequest): void => {
    const daemon = pick(daemons.filter(({ state }) => state !== 'down'));
    if (daemon)
      at(daemon, daemon.quarantine, () => {
        send(daemon, request, fatal);
      });
  };

  const scheduleFatal = (makeFatal: (sent: number) => Exchange, part?: string): void => {
    const firstPart = firstPartOf(makeFatal(0));
    const fatal = { crashedAt: [], arrivedAt: [], ...(part !== undefined && { part, firstPart }) };
    result.fatal.push(fatal);
    let sent = 0;
    const everyMs = draw(150, 2_000);
    let sendAt = draw(500, ms / 2);
    while (sendAt < ms) {
      after(sendAt, () => {
        sent += 1;
        sendAnywhere(makeFatal(sent), fatal);
      });
      sendAt += chance(0.05) ? draw(3_000, 8_000) : everyMs * draw(0.5, 1.5);
    }
  };
  const fatalCount = hasParts
    ? Math.floor(random.next() * 2)
    : 1 + Math.floor(random.next() * MAX_FATAL);
  for (let n = 0; n < fatalCount; n++) scheduleFatal(() => makeRequest(`fatal ${n}`));
  const parts = hasParts ? createPartRequests(createRandom(seed)) : undefined;
  for (let n = 0; n < (parts?.fatalParts ?? 0); n++) {
    scheduleFatal((sent) => parts?.fatal(n, sent) ?? makeRequest(''), `fatal${n}`);
  }

  const disturb = (): void => {
    const state = pick(['down', 'frozen', 'cut'] as const) ?? 'down';
    const isAll = chance(0.1);
    note(isAll ? 'all daemons down' : state);
    for (const daemon of daemons) {
      if (daemon.state !== 'up' || !(isAll || chance(1.5 / count))) continue;
      daemon.state = isAll ? 'down' : state;
      daemon.untilMs = now + draw(300, 4_000);
      daemon.disturbedUntil = daemon.untilMs + SETTLE_MS;
      if (daemon.state === 'down') daemon.held.length = 0;
      if (daemon.n === leader) noLeaderUntil = now + NO_LEADER_MS;
    }
  };
  const recover = (daemon: Daemon): void => {
    const before = daemon.state;
    daemon.state = 'up';
    if (before === 'down') Object.assign(daemon, startParts(daemon.n));
    for (const run of daemon.held.splice(0)) run();
  };
  const crashMany = (): void => {
    const share = chance(0.3) ? 0.34 : 1 / GROUPS;
    for (const group of groups)
      if (group.upAt <= now && chance(share)) endGroup(group, 'by itself');
  };

  let faultAt = draw(1_000, 8_000);
  let crashAt = draw(1_000, 8_000);
  let innocentAt = 0;
  while (now < ms) {
    now += STEP_MS;
    const due = queue.filter((one) => one.at <= now).sort((a, b) => a.at - b.at);
    queue = queue.filter((one) => one.at > now);
    for (const { run } of due) run();
    if (now >= faultAt) {
      faultAt = now + draw(1_000, 9_000);
      disturb();
    }
    if (now >= crashAt) {
      crashAt = now + draw(1_500, 8_000);
      crashMany();
    }
    while (innocentAt < now) {
      innocentAt += (1_000 / INNOCENTS_PER_S) * draw(0.5, 1.5);
      result.innocents += 1;
      // One in ten is a request that comes again and again.
      const body = chance(0.1) ? `usual ${Math.floor(draw(0, 5))}` : `only ${result.innocents}`;
      sendAnywhere(parts?.sound(result.innocents) ?? makeRequest(body));
    }
    const current = daemons[leader];
    if (now >= noLeaderUntil && current?.state !== 'up') {
      leader = Math.max(
        0,
        daemons.findIndex(({ state }) => state === 'up'),
      );
    }
    for (const daemon of daemons) {
      if (daemon.state !== 'up' && now >= daemon.untilMs) recover(daemon);
      if (daemon.state === 'down' || daemon.state === 'frozen') continue;
      if (now % TICK_MS === 0) {
        daemon.quarantine.tick();
        daemon.row.tick();
      }
      if (now < daemon.tellAt) continue;
      daemon.tellAt = now + tellMs;
      tell(daemon);
    }
    // Checks of servers and calls to the store resolve within the step.
    for (let n = 0; n < 4; n++) await Promise.resolve();
  }
  return result;
}

/**
 * Daemons and servers in virtual time, with a table of the links between them: daemons are cut off from all
 * servers or from some of them, for long or short times, while servers crash and messages are late or lost.
 */

import { createRandom } from '../../src/adapters/runtime';
import { createLogger } from '../../src/adapters/telemetry/logger';
import type { ObservedState } from '../../src/adapters/upstream/forward-client';
import type { ListeningState } from '../../src/adapters/upstream/listening';
import { createServerLinkWatch } from '../../src/app/gateway/server-links';
import type { ServerLinkWatch } from '../../src/app/gateway/server-links';
import type { ForwardPeer } from '../../src/core/gateway/server-links';
import { brandAs } from '../../src/core/ids';
import type { DaemonId, EpochTime, MonoTime, ServiceId, ZoneId } from '../../src/core/ids';
import { sample } from '../../src/utils/common';
import { makeContext } from '../gateway/support';
import type { LinksOptions, LinksResult, Try } from './links-types';

interface Server {
  readonly address: string;
  readonly service: ServiceId;
  downUntil: number;
}

interface Daemon {
  readonly n: number;
  readonly id: DaemonId;
  readonly zone: ZoneId;
  readonly links: ServerLinkWatch;
  /** Servers that it does not reach; all of them for `all`. */
  lost: ReadonlySet<string> | 'all';
  lostFrom: number;
  lostUntil: number;
  isReset: boolean;
  told: readonly ServiceId[];
}

const STEP_MS = 5;
const TICK_MS = 50;
/** From this long after a cut began, callers are served; the links are sound this long after its end. */
export const STABLE_MS = 3_000;
const ZONES = 3;
const SERVICES = [
  { name: brandAs<ServiceId>('llm'), servers: 22 },
  { name: brandAs<ServiceId>('ledger'), servers: 3 },
];
const REQUESTS_PER_S = 8;
const MAX_REQUESTS_PER_S = 700;
const MAX_ATTEMPTS = 4;
const CONNECT_LIMIT_MS = 100;
const LOSS_CHANCE = 0.02;
const MAX_DIRECT_DAEMONS = 13;
const HOP_MS = 2;
const DAEMONS_PER_END = 3;

export async function runLinks({
  seed,
  daemons: count,
  ms,
  isAlone = false,
  areEndsChecked = false,
}: LinksOptions): Promise<LinksResult> {
  const random = createRandom(seed);
  const draw = (least: number, most: number): number => least + random.next() * (most - least);
  const chance = (share: number): boolean => random.next() < share;
  let now = 0;
  let queue: { readonly at: number; readonly run: () => void }[] = [];
  const after = (delayMs: number, run: () => void): void => {
    queue.push({ at: now + delayMs, run });
  };
  const later = <T>(delayMs: number, value: () => T): Promise<T> =>
    new Promise((resolve) => {
      after(delayMs, () => {
        resolve(value());
      });
    });
  const trace: string[] = [];
  const note = (text: string): void => {
    trace.push(`${now}: ${text}`);
  };

  /** What peers last answered about a server, by asking daemon and address. */
  const answers = new Map<string, string>();
  const noteAnswers = (n: number, line: string): void => {
    const fields = JSON.parse(line) as Partial<Record<string, string>>;
    if (fields.answers === undefined) return;
    answers.set(`${n} ${fields.address ?? ''}`, `${now}: ${fields.answers}`);
  };

  const servers: Server[] = SERVICES.flatMap(({ name, servers: size }) =>
    Array.from({ length: size }, (_, n) => ({
      address: `${name}-${n}:1`,
      service: name,
      downUntil: 0,
    })),
  );
  const byAddress = new Map(servers.map((server) => [server.address, server]));
  const isUp = (address: string): boolean => now >= (byAddress.get(address)?.downUntil ?? 0);
  const hasLink = ({ lost }: Daemon, address: string): boolean =>
    lost !== 'all' && !lost.has(address);

  /** Tries to connect: at once if it works or is refused, else until the limit. */
  const connect = (daemon: Daemon, address: string, limitMs: number): Promise<ListeningState> => {
    const state = (): ListeningState => {
      if (!hasLink(daemon, address)) return daemon.isReset ? 'refused' : 'unreachable';
      return isUp(address) ? 'listening' : 'refused';
    };
    return later(state() === 'unreachable' ? limitMs : draw(0.5, HOP_MS), state);
  };

  const isLarge = count > MAX_DIRECT_DAEMONS;
  const tellMs = (): number => (isLarge ? draw(200, 500) : draw(20, 100 + 9 * count));
  const daemons: Daemon[] = [];
  const peersOf = (n: number): ForwardPeer[] =>
    isAlone
      ? []
      : daemons.flatMap((one) =>
          one.n === n
            ? []
            : {
                ...{ id: one.id, zone: one.zone, forwardAddress: String(one.n) },
                ...{ cutOff: new Set(one.told), isStopping: false },
              },
        );
  const startDaemon = (n: number): Daemon => {
    const id = brandAs<DaemonId>(`d${n}`);
    const zone = brandAs<ZoneId>(`z${n % ZONES}`);
    const links = createServerLinkWatch(
      makeContext({
        clock: { now: () => brandAs<MonoTime>(now), epoch: () => brandAs<EpochTime>(now) },
        seed: seed + n,
        settings: { id, zone },
        logger: createLogger({
          write: (line) => {
            noteAnswers(n, line);
          },
        }),
      }),
      {
        servers: {
          serviceOf: (address) => byAddress.get(address)?.service,
          count: (service) => servers.filter((server) => server.service === service).length,
          sample: (size, service) =>
            sample(
              servers.filter((server) => service === undefined || server.service === service),
              size,
              () => random.next(),
            ),
        },
        peers: () => peersOf(n),
        activity: () => ({ inFlight: 0, receivedBytes: 0 }),
        checkListening: (address, limitMs) => connect(daemonAt(n), address, limitMs),
        askPeer: async (address, peer, limitMs): Promise<ObservedState> => {
          await later(draw(0.5, HOP_MS), () => undefined);
          if (chance(LOSS_CHANCE)) return later(limitMs, () => 'unknown');
          return daemonAt(Number(peer)).links.answerPeer(address);
        },
      },
    );
    links.changes.subscribe(() => {
      const told = links.cutOff();
      note(`d${n} cut off from ${told.join(' ') || 'nothing'}`);
      after(tellMs(), () => {
        daemonAt(n).told = links.cutOff();
      });
    });
    return {
      ...{ n, id, zone, links, lost: new Set<string>(), lostFrom: 0, lostUntil: 0 },
      ...{ isReset: false, told: [] },
    };
  };
  const daemonAt = (n: number): Daemon => {
    const found = daemons[n];
    if (!found) throw new Error(`no daemon ${n}`);
    return found;
  };
  for (let n = 0; n < count; n++) daemons.push(startDaemon(n));

  const result = {
    tries: [] as Try[],
    cuts: [] as { from: number; to: number }[],
    wronglyEnded: 0,
    ends: { checked: 0, found: 0 },
    needlesslyForwarded: 0,
    busiest: { forwarded: 0, evenShare: 0 },
    trace,
  };
  let forwarded = new Map<number, number>();
  let evenShare = 0;
  const noteForwarded = (peer: Daemon, address: string): void => {
    forwarded.set(peer.n, (forwarded.get(peer.n) ?? 0) + 1);
    evenShare += 1 / Math.max(1, daemons.filter((one) => hasLink(one, address)).length);
  };
  const closeSecond = (): void => {
    const most = Math.max(0, ...forwarded.values());
    if (most > result.busiest.forwarded) result.busiest = { forwarded: most, evenShare };
    forwarded = new Map();
    evenShare = 0;
  };

  const isSound = ({ lostUntil }: Daemon): boolean => now > lostUntil + STABLE_MS;

  /** One attempt to send; whether the request reached the server. */
  const attempt = async (daemon: Daemon, address: string): Promise<boolean> => {
    const forwarder = daemon.links.forwarderOf(address);
    if (!forwarder) {
      const state = await connect(daemon, address, CONNECT_LIMIT_MS);
      daemon.links.noteConnect(address, state === 'listening');
      return state === 'listening';
    }
    if (isSound(daemon) && isUp(address)) result.needlesslyForwarded += 1;
    const peer = daemonAt(Number(forwarder.address));
    noteForwarded(peer, address);
    await later(draw(0.5, HOP_MS), () => undefined);
    const isRefused = peer.links.isBlocked(address);
    if (isRefused) daemon.links.noteForwarderFailed(peer.id);
    if (isRefused) return false;
    const state = await connect(peer, address, CONNECT_LIMIT_MS);
    peer.links.noteConnect(address, state === 'listening');
    return state === 'listening';
  };

  const send = async (daemon: Daemon): Promise<void> => {
    const at = now;
    const service = chance(0.8) ? SERVICES[0]?.name : SERVICES[1]?.name;
    const known = servers.filter((server) => server.service === service);
    const tried = sample(known, MAX_ATTEMPTS, () => random.next());
    let isServed = false;
    for (const { address } of tried) isServed ||= await attempt(daemon, address);
    const { lost, lostFrom, lostUntil } = daemon;
    const isCutOff = lost === 'all' && at >= lostFrom + STABLE_MS && now <= lostUntil;
    result.tries.push({ at, daemon: daemon.n, isServed, isCutOff });
  };

  const describeLinks = ({ n, lost, lostFrom }: Daemon): string =>
    `d${n} from ${Math.round(lostFrom)}: ${lost === 'all' ? 'all' : lost.size} of ${servers.length}`;

  /** A connection of the daemon breaks: it asks whether the server has ended. */
  const breakConnection = async (daemon: Daemon, { address }: Server): Promise<void> => {
    const wasUp = isUp(address);
    const found = await daemon.links.findState(address, CONNECT_LIMIT_MS);
    if (!wasUp || !isUp(address) || found === 'listening' || found === 'unknown') return;
    const reaching = daemons.filter((one) => hasLink(one, address)).length;
    if (2 * reaching <= count) return;
    result.wronglyEnded += 1;
    note(`d${daemon.n} takes ${address} for ended: ${found}; ${reaching} of ${count} reach it`);
    note(`answers of peers at ${answers.get(`${daemon.n} ${address}`) ?? 'no time'}`);
    const failing = daemons.filter((one) => !hasLink(one, address)).map(describeLinks);
    note(`links that fail: ${failing.join(', ')}`);
  };

  /** A server has ended, and with it connections of daemons whose links are sound. */
  const checkEnd = async ({ address }: Server): Promise<void> => {
    const sound = daemons.filter((one) => now > one.lostUntil);
    for (const daemon of sample(sound, DAEMONS_PER_END, () => random.next())) {
      const found = await daemon.links.findState(address, CONNECT_LIMIT_MS);
      result.ends.checked += 1;
      if (found === 'refused') result.ends.found += 1;
      else note(`d${daemon.n} does not find that ${address} ended: ${found}`);
    }
  };

  const cut = (): void => {
    const share = draw(0, 1) ** 2;
    const isPartial = chance(0.3);
    const isReset = chance(0.5);
    const forMs = chance(0.3) ? draw(300, 2_000) : draw(4_000, 9_000);
    const zone = chance(0.3) ? Math.floor(draw(0, ZONES)) : undefined;
    const chosen = daemons.filter(
      ({ n, lostUntil }) =>
        now > lostUntil && (zone === undefined ? chance(share) : n % ZONES === zone),
    );
    // Nobody could serve if all were cut off.
    const left = daemons.filter((one) => now > one.lostUntil && !chosen.includes(one));
    if (chosen.length === 0 || left.length < Math.max(1, count / 10)) return;
    note(`${chosen.length} cut off for ${Math.round(forMs)} ms${isPartial ? ', in part' : ''}`);
    if (!isPartial) result.cuts.push({ from: now, to: now + forMs });
    for (const daemon of chosen) {
      const some = sample(servers, Math.floor(draw(1, 20)), () => random.next());
      daemon.lost = isPartial ? new Set(some.map(({ address }) => address)) : 'all';
      daemon.isReset = isReset;
      daemon.lostFrom = now;
      daemon.lostUntil = now + forMs;
      if (isReset)
        for (const server of sample(servers, 3, () => random.next()))
          if (!hasLink(daemon, server.address)) void breakConnection(daemon, server);
    }
  };

  const crash = (): void => {
    for (const server of servers) {
      if (!chance(0.05)) continue;
      server.downUntil = now + draw(500, 4_000);
      note(`${server.address} crashes`);
      if (areEndsChecked) void checkEnd(server);
    }
  };

  let cutAt = draw(1_000, 3_000);
  let crashAt = draw(1_000, 6_000);
  let sendAt = 0;
  const perS = Math.min(MAX_REQUESTS_PER_S, REQUESTS_PER_S * count);
  while (now < ms) {
    now += STEP_MS;
    const due = queue.filter((one) => one.at <= now).sort((a, b) => a.at - b.at);
    queue = queue.filter((one) => one.at > now);
    for (const { run } of due) run();
    if (now >= cutAt) {
      cutAt = now + draw(1_000, 6_000);
      cut();
    }
    if (now >= crashAt) {
      crashAt = now + draw(1_500, 8_000);
      crash();
    }
    for (; sendAt < now; sendAt += (1_000 / perS) * draw(0.5, 1.5))
      void send(daemonAt(Math.floor(random.next() * count)));
    for (const daemon of daemons) {
      if (daemon.lostFrom !== 0 && now > daemon.lostUntil) daemon.lost = new Set();
      if ((now + daemon.n * STEP_MS) % TICK_MS === 0) daemon.links.tick();
    }
    if (now % 1_000 === 0) closeSecond();
    // Lets everything that is ready go on before time does.
    await new Promise(setImmediate);
  }
  return result;
}

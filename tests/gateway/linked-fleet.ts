/**
 * A large fleet that follows the configuration over links of a limited rate, in fake time: the
 * daemons' own configuration views and their help for peers, reports through relays, and a store
 * that answers each daemon or does not.
 */

import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { vi } from 'vitest';

import { createConfigView } from '../../src/app/gateway/config-view';
import type { ConfigView } from '../../src/app/gateway/config-view';
import type { GatewayMessage, PeerProgress } from '../../src/app/gateway/messages';
import { createPeerHelp } from '../../src/app/gateway/peer-help';
import type { PeerHelp, PeerHelpDeps } from '../../src/app/gateway/peer-help';
import type { Leader } from '../../src/app/gateway/peer-view';
import { brandAs } from '../../src/core/ids';
import type { DaemonId } from '../../src/core/ids';
import { FIRST_ERA } from '../../src/core/store-era';
import type { Changes, Feed, OperatorEntry } from '../../src/ports/gateway';
import { fail } from '../../src/utils/errors';
import { pause } from '../../src/utils/pause';
import { createFakeClock } from './fake-time';
import { configEntry, makeConfig, makeContext, position } from './support';

/** What the store does with the calls of a daemon. */
export type StoreMood = 'answers' | 'ignores' | 'refuses';

export interface LinkedFleetOptions {
  readonly size: number;
  /** Rate of each link in each direction that requests leave free. */
  readonly bytesPerMs: number;
  /** A version in an answer of the store, and in a message of a peer. */
  readonly storeBytes: number;
  readonly helpBytes: number;
  readonly configMs: number;
  readonly settleMs: number;
  readonly moodOf?: (n: number) => StoreMood;
}

const ROUND_TRIP_MS = 5;
const REPORT_MS = 200;
const COLLECT_MS = 100;
const STATE_BYTES = 400;
const LOADS_BYTES = 3_000;
const LEADER = 0;
const STEP_MS = 10;

interface Link {
  upFreeAt: number;
  downFreeAt: number;
}

interface Daemon {
  readonly link: Link;
  readonly view: ConfigView;
  readonly help: PeerHelp;
  readonly isStoreLost: () => boolean;
  leader: Leader | undefined;
}

/** Requires fake timers. Daemon 0 leads; the first daemons after it are the relays. */
export function startLinkedFleet(options: LinkedFleetOptions) {
  const { size, bytesPerMs, storeBytes, helpBytes, configMs, settleMs } = options;
  const clock = createFakeClock();
  const relays = Math.round(Math.sqrt(size - 1));
  const relayOf = (n: number): number => (n <= relays ? n : 1 + ((n - 1) % relays));
  const ids = Array.from({ length: size }, (_, n) => brandAs<DaemonId>(`d${n}`));
  const moods = ids.map((_, n) => options.moodOf?.(n) ?? 'answers');
  const daemons: Daemon[] = [];
  const helped: {
    readonly from: number;
    readonly to: number;
    readonly version: number;
    readonly at: number;
  }[] = [];
  const inForceAt = ids.map(() => new Map<number, number>());
  const storeAnswers = ids.map(() => 0);
  let newest = 1;
  const wakers = new Set<() => void>();

  /** Resolves when the bytes have passed the links of the sender, if it is a daemon, and the receiver. */
  const transfer = async (bytes: number, to: Link, from?: Link): Promise<void> => {
    const ms = bytes / bytesPerMs;
    const now = Date.now();
    if (from) from.upFreeAt = Math.max(from.upFreeAt, now) + ms;
    to.downFreeAt = Math.max(Math.max(to.downFreeAt, now) + ms, from?.upFreeAt ?? 0);
    await pause(to.downFreeAt - Date.now());
  };

  const feedOf = (n: number, link: Link): Feed<OperatorEntry> => {
    const call = async (after: number, waitMs: number, signal?: AbortSignal) => {
      const ended = new Promise<undefined>((resolve) => {
        const end = (): void => {
          resolve(undefined);
        };
        signal?.addEventListener('abort', end);
        if (moods[n] === 'ignores') setTimeout(end, waitMs + 5_000);
      });
      const answer = async (): Promise<Changes<OperatorEntry>> => {
        if (moods[n] === 'ignores') await new Promise(() => undefined);
        if (newest <= after)
          await new Promise<void>((resolve) => {
            const wake = (): void => {
              wakers.delete(wake);
              resolve();
            };
            wakers.add(wake);
            setTimeout(wake, waitMs);
          });
        await pause(ROUND_TRIP_MS);
        const version = newest;
        if (version <= after) return { changes: [], position: position(after) };
        storeAnswers[n] = (storeAnswers[n] ?? 0) + 1;
        await transfer(storeBytes, link);
        const value = configEntry(makeConfig({ version: brandAs(version) }));
        const receipt = { bytes: storeBytes, at: clock.now() };
        return {
          changes: [{ key: 'config', value }],
          position: position(version),
          receipt,
        };
      };
      return Promise.race([answer(), ended]);
    };
    const read = (after: number, waitMs: number, signal?: AbortSignal) => {
      const failure = fail('store-unavailable', 'no answer', { step: 'poll' });
      if (moods[n] === 'refuses') return errAsync(failure);
      return ResultAsync.fromSafePromise(call(after, waitMs, signal)).andThen((changes) =>
        changes ? okAsync(changes) : errAsync(failure),
      );
    };
    return {
      name: 'config',
      load: () => read(-1, 0),
      poll: ({ revision }, waitMs, signal) => read(revision, waitMs, signal),
    };
  };

  const receive = (n: number, from: number, message: GatewayMessage): void => {
    const daemon = daemons[n];
    if (!daemon || message.kind !== 'config') return;
    daemon.view.adoptIfNewer(makeConfig(message.config), `peer ${from}`);
  };

  const send = (from: number, to: number, message: GatewayMessage): void => {
    const [sender, receiver] = [daemons[from], daemons[to]];
    if (!sender || !receiver || message.kind !== 'config') return;
    helped.push({ from, to, version: message.config.version, at: Date.now() });
    void transfer(helpBytes, receiver.link, sender.link).then(() => {
      receive(to, from, message);
    });
  };

  const start = (n: number, hasConfig: boolean): Daemon => {
    const ctx = makeContext({
      settings: { id: brandAs<DaemonId>(`d${n}`) },
      tunables: { configMs, settleMs },
      ...{ clock, seed: n + 1 },
    });
    const link: Link = daemons[n]?.link ?? { upFreeAt: 0, downFreeAt: 0 };
    const view = createConfigView(ctx, {
      feed: feedOf(n, link),
      daemons: () => size,
      leader: () => {
        const leader = daemons[n]?.leader;
        return leader && clock.now() < leader.at + 1_200 ? leader : undefined;
      },
    });
    if (hasConfig) view.adoptIfNewer(makeConfig({ version: brandAs(newest) }), 'test');
    view.table.subscribe((table) => {
      if (table) inForceAt[n]?.set(table.config.version, Date.now());
    });
    const help = createPeerHelp({
      ctx,
      config: view,
      evacuations: { report: () => undefined },
      serverRegistry: {
        changedAt: () => position(1),
        servers: new Map(),
        watch: { isFailing: () => false },
      },
      fleet: {
        isLarge: () => true,
        size: () => size,
        live: () => [],
        leader: () => daemons[n]?.leader,
        candidates: () => new Map(ids.map((id) => [id, 1])),
        send: (address: string, message: GatewayMessage) => {
          send(n, Number(address), message);
        },
        prepare: (message: GatewayMessage) => ({
          bytes: helpBytes,
          sendTo: (address: string) => {
            send(n, Number(address), message);
          },
        }),
      },
      leadership: { ownLease: () => (n === LEADER ? {} : undefined) },
      quarantine: { digest: () => 0, refused: () => [] },
    } as unknown as PeerHelpDeps);
    const daemon: Daemon = {
      ...{ link, view, help, leader: undefined },
      isStoreLost: () => view.watch.isFailing(),
    };
    daemons[n] = daemon;
    return daemon;
  };
  for (let n = 0; n < size; n++) start(n, true);

  const progressOf = ({ view, isStoreLost }: Daemon): PeerProgress => ({
    ...{ configVersion: view.version(), serversAt: position(1), storeEra: FIRST_ERA },
    ...{ isStoreLost: isStoreLost(), storeAgeMs: 0, configAgeMs: view.watch.ageMs() },
  });

  /** A daemon's state goes to its relay, and with those of others to the leader. */
  const report = async (n: number): Promise<void> => {
    const [daemon, relay, leader] = [daemons[n], daemons[relayOf(n)], daemons[LEADER]];
    if (!daemon || !relay || !leader) return;
    const progress = progressOf(daemon);
    if (relay !== daemon) {
      await transfer(STATE_BYTES, relay.link, daemon.link);
      daemons[relayOf(n)]?.help.sendMissing({ ...progress, hearsLeader: true }, `${n}`, `${n}`);
      await pause(COLLECT_MS);
    }
    await transfer(STATE_BYTES, leader.link, relay.link);
    leader.help.sendMissing(progress, `${n}`, `${relayOf(n)}`);
  };

  const publishLoads = async (to: number): Promise<void> => {
    const [leader, relay] = [daemons[LEADER], daemons[relayOf(to)]];
    if (!leader || !relay) return;
    const progress = progressOf(leader);
    if (relayOf(to) === to) await transfer(LOADS_BYTES, relay.link, leader.link);
    else {
      await pause(COLLECT_MS / 2);
      const daemon = daemons[to];
      if (daemon) await transfer(LOADS_BYTES, daemon.link, relay.link);
    }
    const daemon = daemons[to];
    if (!daemon) return;
    const [id, via] = [brandAs<DaemonId>('d0'), `${relayOf(to)}`];
    daemon.leader = { ...{ id, address: '0', via, progress }, at: clock.now(), daemons: size };
    daemon.help.sendMissing(progress, '0', via);
  };

  const timers = ids.map((_, n) => {
    let interval: NodeJS.Timeout | undefined;
    const first = setTimeout(
      () => {
        interval = setInterval(() => {
          void (n === LEADER
            ? Promise.all(ids.slice(1).map((_, i) => publishLoads(i + 1)))
            : report(n));
        }, REPORT_MS);
      },
      (n * 37) % REPORT_MS,
    );
    return () => {
      clearTimeout(first);
      clearInterval(interval);
    };
  });

  /** Advances in steps, as a yield after each of some ten thousand timers takes minutes. */
  const run = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      vi.advanceTimersByTime(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  };

  return {
    helped,
    storeAnswers,
    moods,
    publish: (version: number): void => {
      newest = version;
      for (const wake of [...wakers]) wake();
    },
    run,
    version: (n: number) => daemons[n]?.view.version(),
    /** Daemons that have put the version, or a newer one, in force by now. */
    countWith: (version: number) => daemons.filter(({ view }) => view.version() >= version).length,
    /** When the daemon put the version or a newer one in force. */
    inForceAt: (n: number, version: number): number =>
      Math.min(...[...(inForceAt[n] ?? [])].flatMap(([v, at]) => (v >= version ? [at] : []))),
    restart: (n: number): void => {
      daemons[n]?.view.watch.stop();
      start(n, false);
    },
    stop: (): void => {
      for (const stopTimer of timers) stopTimer();
      for (const { view } of daemons) view.watch.stop();
    },
  };
}

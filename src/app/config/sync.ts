/** Keeps the configuration in force up to date by pushes, polls of the head row and fetches. */

import { BehaviorSubject, Subject, concatMap, defer, filter, repeat, takeUntil, timer } from 'rxjs';
import type { Observable } from 'rxjs';

import { NOTHING_IN_FORCE, reduceInForce } from '../../core/config/in-force';
import type {
  AlarmCode,
  InForceEffect,
  InForceEvent,
  InForceState,
  VersionRef,
} from '../../core/config/in-force';
import { HEAD_KEY, parseHead, parseVersionRow, versionKey } from '../../core/config/rows';
import type { Config } from '../../core/config/types';
import type { ConfigVersion, DaemonId } from '../../core/ids';
import type { Table } from '../../ports/platform';
import type { Clock, Logger, Random } from '../../ports/runtime';
import type { Metrics } from '../../ports/telemetry';
import type { DirectMessaging, DirectMessage, Gossip, PeerInfo } from '../parts';
import {
  DOCUMENT_TOPIC,
  PUSH_TOPIC,
  WANT_TOPIC,
  encodeDocument,
  parseDocumentMessage,
  parsePush,
  parseWant,
} from './messages';
import type { ConfigSettings } from './settings';

export interface ConfigSyncDeps {
  readonly self: DaemonId;
  readonly table: Table;
  readonly gossip: Gossip;
  /** Lets daemons fetch documents from each other while the table is down. */
  readonly direct?: DirectMessaging;
  readonly peers?: () => readonly PeerInfo[];
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics?: Metrics;
}

/** The configuration in force, as the in-force reducer keeps it. */
export interface ConfigSync {
  readonly changes: Observable<Config>;
  state(): InForceState;
  dispatch(event: InForceEvent): void;
  /** Resolves after the first poll of the table, whether it succeeded or not. */
  start(): Promise<void>;
  stop(): void;
}

export function createConfigSync(deps: ConfigSyncDeps, settings: ConfigSettings): ConfigSync {
  const { table, gossip, direct, random, logger, metrics } = deps;
  const changes = new BehaviorSubject<Config>(NOTHING_IN_FORCE.config);
  const stopped = new Subject<void>();
  const fetching = new Set<number>();
  const alarms = new Map<AlarmCode, string>();
  let state = NOTHING_IN_FORCE;
  let isTableUp = true;

  const perform: {
    readonly [K in InForceEffect['kind']]: (effect: Extract<InForceEffect, { kind: K }>) => void;
  } = {
    'in-force': ({ config }) => {
      metrics?.gauge('nutmegstack_config_version', config.version);
      logger.info('configuration in force', { step: 'config', version: config.version });
      changes.next(config);
    },
    alarm: ({ code, message }) => {
      metrics?.count('nutmegstack_config_alarms_total', { code });
      if (alarms.get(code) === message) return;
      alarms.set(code, message);
      logger.error(message, { step: 'config', code });
    },
    fetch: ({ mark }) => {
      scheduleFetch(mark);
    },
  };

  function dispatch(event: InForceEvent): void {
    const step = reduceInForce(state, event, { now: deps.clock.now() });
    state = step.state;
    for (const effect of step.effects) {
      (perform[effect.kind] as (effect: InForceEffect) => void)(effect);
    }
  }

  function scheduleFetch(mark: VersionRef): void {
    if (fetching.has(mark.version)) return;
    fetching.add(mark.version);
    const spreadMs = settings.fetchSpreadMsPerDaemon * (deps.peers?.().length ?? 0);
    timer(random.next() * spreadMs)
      .pipe(
        concatMap(() => fetchFromTable(mark)),
        takeUntil(stopped),
      )
      .subscribe({ complete: () => fetching.delete(mark.version) });
  }

  async function fetchFromTable(mark: VersionRef): Promise<void> {
    if (state.mark.version > mark.version) return;
    const rows = await table.read([versionKey(mark.version)]);
    const row = rows.isOk() ? rows.value[0] : undefined;
    if (!row) {
      fetchFromPeer(mark.version);
      return;
    }
    const parsed = parseVersionRow(row);
    if (parsed.isErr()) {
      dispatch({ kind: 'unreadable', message: `${row.key}: ${parsed.error.message}` });
      return;
    }
    const { version, hash, document } = parsed.value;
    dispatch({ kind: 'document', mark: { version, hash }, document, from: 'table' });
  }

  /** Requests the document from a random peer among those that have the version. */
  function fetchFromPeer(version: ConfigVersion): void {
    const holders = (deps.peers?.() ?? []).filter(
      (peer) => peer.id !== deps.self && peer.configVersion >= version,
    );
    const peer = holders[Math.floor(random.next() * holders.length)];
    if (peer) direct?.send(peer.id, WANT_TOPIC, { version });
  }

  function fetchNewerFromPeer(): void {
    const peers = deps.peers?.() ?? [];
    const newest = Math.max(0, ...peers.map((peer) => peer.configVersion));
    if (newest > state.mark.version) fetchFromPeer((state.mark.version + 1) as ConfigVersion);
  }

  async function poll(): Promise<void> {
    const before = state.mark;
    const rows = await table.read([HEAD_KEY]);
    noteTableState(rows.isOk());
    if (rows.isErr()) {
      fetchNewerFromPeer();
      return;
    }
    const [row] = rows.value;
    if (row) handleHead(before, parseHead(row));
    else if (before.version > 0) raiseAhead(before.version, 0);
  }

  function handleHead(before: VersionRef, head: ReturnType<typeof parseHead>): void {
    if (head.isErr()) {
      const { key, message } = head.error;
      dispatch({ kind: 'unreadable', message: `${key}: ${message}` });
      return;
    }
    const { version, hash } = head.value;
    if (version < before.version) raiseAhead(before.version, version);
    dispatch({ kind: 'head', mark: { version, hash } });
  }

  /** Versions in the table never decrease, so a peer sent one that was never accepted. */
  function raiseAhead(held: number, head: number): void {
    const message = `version ${held} is in force here, but the table's head is ${head}`;
    perform.alarm({ kind: 'alarm', code: 'config-ahead', message });
  }

  function noteTableState(isUp: boolean): void {
    if (isUp === isTableUp) return;
    isTableUp = isUp;
    const message = isUp
      ? 'table answers again'
      : 'table does not answer; configuration in force is kept';
    logger.warn(message, { step: 'config-poll', version: state.mark.version });
  }

  /** Halved while the table does not answer, so that its recovery is noticed sooner. */
  function nextPollMs(): number {
    const pollMs = isTableUp ? settings.pollMs : settings.pollMs / 2;
    return pollMs * (1 - settings.jitter + 2 * settings.jitter * random.next());
  }

  const handlers: Readonly<Record<string, (message: DirectMessage) => void>> = {
    [WANT_TOPIC]: ({ from, value }) => {
      const version = parseWant(value);
      const { mark, document } = state;
      if (version === undefined || mark.version < version || document === undefined) return;
      direct?.send(from, DOCUMENT_TOPIC, encodeDocument({ mark, document }));
    },
    [DOCUMENT_TOPIC]: ({ value }) => {
      const message = parseDocumentMessage(value);
      if (message) dispatch({ kind: 'document', ...message, from: 'peer' });
    },
  };

  function listen(): void {
    gossip.received
      .pipe(
        filter((entry) => entry.topic === PUSH_TOPIC),
        takeUntil(stopped),
      )
      .subscribe(({ value }) => {
        const push = parsePush(value);
        if (push) dispatch({ kind: 'pushed', ...push });
      });
    direct?.received.pipe(takeUntil(stopped)).subscribe((message) => {
      handlers[message.topic]?.(message);
    });
  }

  async function start(): Promise<void> {
    listen();
    await poll();
    timer(nextPollMs())
      .pipe(
        concatMap(() => defer(poll).pipe(repeat({ delay: () => timer(nextPollMs()) }))),
        takeUntil(stopped),
      )
      .subscribe();
  }

  return {
    changes,
    state: () => state,
    dispatch,
    start,
    stop: () => {
      stopped.next();
    },
  };
}

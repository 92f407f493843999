import fc from 'fast-check';
import { BehaviorSubject, Subject } from 'rxjs';
import { afterEach, describe, expect, it } from 'vitest';

import { OPERATOR_ROWS, decodeOperatorRow } from '../../platform/config';
import { CONFIG_KEY, EVACUATION_PREFIX, PATHS, TABLES } from '../../platform/names';
import { createStore } from '../../platform/store';
import type { NotSent, UpstreamCall } from '../../src/adapters/upstream/upstream';
import { createArrivals } from '../../src/app/gateway/arrivals';
import type { Exchange } from '../../src/app/gateway/exchange';
import { createPlainCalls } from '../../src/app/gateway/plain-call';
import type { PlainDeps } from '../../src/app/gateway/plain-call';
import { createStreamCalls } from '../../src/app/gateway/stream-call';
import type { StreamDeps } from '../../src/app/gateway/stream-call';
import { createEvacuations } from '../../src/app/gateway/evacuations';
import { createGroupRegistry } from '../../src/app/gateway/group-registry';
import { parseGatewayMessage } from '../../src/app/gateway/messages';
import type { ServerRegistry } from '../../src/app/gateway/server-registry';
import { createWaitQueue } from '../../src/app/gateway/wait-queue';
import { createLogger } from '../../src/adapters/telemetry/logger';
import { evacuatedZones, mergeReports } from '../../src/core/gateway/evacuations';
import type { EvacuationReport } from '../../src/core/gateway/evacuations';
import type { RouteTable } from '../../src/core/gateway/routes';
import { brandAs, later } from '../../src/core/ids';
import type { ZoneId } from '../../src/core/ids';
import type { StoreEra } from '../../src/core/store-era';
import type { OperatorEntry } from '../../src/ports/gateway';
import { fail } from '../../src/utils/errors';
import { startStore } from '../../stand-ins/users-platform/store';
import type { StoreStandIn } from '../../stand-ins/users-platform/store';
import { ENGINE, inGroup, makeContext, makeLoads, makeServer, makeState } from './support';
import {
  makeQuarantine,
  makeRoute,
  makeThrottle,
  position,
  SERVICE,
  SMALL,
  HEALTHY_LINKS,
} from './support';

const [A, B] = [brandAs<ZoneId>('zone-a'), brandAs<ZoneId>('zone-b')];
const STORE_PORT = 25_980;

const reportOf = (revision: number, zones: readonly ZoneId[], held?: readonly ZoneId[]) => ({
  ...{ at: position(revision), zones },
  ...(held && { held }),
});

const evacuationOf = (zone: ZoneId): { key: string; value: OperatorEntry } => ({
  key: `row of ${zone}`,
  value: { kind: 'evacuation', zone },
});

describe('reports of evacuated zones', () => {
  const zones = fc.uniqueArray(fc.constantFrom(A, B)).map((list) => [...list].sort());
  const reports = fc.uniqueArray(
    fc.record({
      era: fc.integer({ min: 0, max: 2 }).map((n) => brandAs<StoreEra>(n)),
      revision: fc.integer({ min: 1, max: 9 }),
      zones,
      held: fc.option(zones, { nil: undefined }),
    }),
    { selector: ({ era, revision }) => `${era}/${revision}`, minLength: 1, maxLength: 6 },
  );

  // Guards against daemons that keep different zones because messages arrive in different orders.
  it('lead to the same zones whatever the order in which they arrive', () => {
    const merged = (list: readonly EvacuationReport[]): EvacuationReport =>
      list.reduce((known, report) => mergeReports(report, known));
    const property = fc.property(reports, fc.nat(), (records, turn) => {
      const list = records.map(({ era, revision, zones: own, held }): EvacuationReport => ({
        ...{ at: { era, revision }, zones: own },
        ...(held && { held }),
      }));
      const from = turn % list.length;
      const turned = [...list.slice(from), ...list.slice(0, from)].reverse();
      expect(merged(turned)).toEqual(merged(list));
      expect(merged([...list, ...turned])).toEqual(merged(list));
    });
    fc.assert(property, { seed: 4, numRuns: 500 });
  });

  it('apply by position: neither the begin nor the end of an evacuation is undone by an older one', () => {
    const evacuations = createEvacuations(makeContext());
    evacuations.applyReport(reportOf(10, [A]), 'peer');
    evacuations.applyReport(reportOf(9, []), 'peer');
    expect([...evacuations.zones()]).toEqual([A]);
    evacuations.applyReport(reportOf(12, []), 'peer');
    evacuations.applyReport(reportOf(11, [A, B]), 'peer');
    expect([...evacuations.zones()]).toEqual([]);
    expect(evacuations.report()).toEqual(reportOf(12, []));
  });

  // Guards against a peer without the store that nobody tells of the end, as all others have restarted.
  it('are answered with the end of an evacuation that ended before this daemon started', () => {
    const evacuations = createEvacuations(makeContext());
    evacuations.applyEntries([], 'whole', position(20));
    evacuations.applyReport(reportOf(10, [A]), 'peer');
    expect([...evacuations.zones()]).toEqual([]);
    expect(evacuations.report()).toMatchObject({ at: position(20), zones: [] });
  });

  it('of a restored store keep earlier zones until the operator has written', () => {
    const era = brandAs<StoreEra>(1);
    const copy = { at: position(4, era), zones: [], held: [] };
    const after = mergeReports(reportOf(9, [A]), copy);
    expect(evacuatedZones(after)).toEqual([A]);
    expect(evacuatedZones(mergeReports(after, { at: position(5, era), zones: [B] }))).toEqual([B]);
  });
});

describe('the evacuated zones of a daemon', () => {
  it('are those of all rows, also when two are written one after the other', () => {
    const evacuations = createEvacuations(makeContext());
    evacuations.applyEntries([evacuationOf(A)], 'whole', position(1));
    evacuations.applyEntries([evacuationOf(B)], 'changes', position(2));
    expect([...evacuations.zones()]).toEqual([A, B]);
    evacuations.applyEntries([{ key: evacuationOf(A).key }], 'changes', position(3));
    expect([...evacuations.zones()]).toEqual([B]);
  });

  // Guards against an evacuation that ends while the history of the table is not available.
  it('are replaced by a load of the whole table', () => {
    const evacuations = createEvacuations(makeContext());
    evacuations.applyEntries([evacuationOf(A)], 'changes', position(5));
    evacuations.applyEntries([evacuationOf(B)], 'whole', position(5));
    expect([...evacuations.zones()]).toEqual([B]);
  });

  it('continue from what the store reported, not from what a peer reported meanwhile', () => {
    const evacuations = createEvacuations(makeContext());
    evacuations.applyEntries([], 'whole', position(5));
    evacuations.applyReport(reportOf(9, [A]), 'peer');
    evacuations.applyEntries([evacuationOf(B)], 'changes', position(7));
    expect([...evacuations.zones()]).toEqual([A]);
    evacuations.applyEntries([evacuationOf(A)], 'changes', position(9));
    expect([...evacuations.zones()]).toEqual([A, B]);
  });

  it('are in the messages to peers once an evacuation was seen, and not before', () => {
    const evacuations = createEvacuations(makeContext());
    evacuations.applyEntries([], 'whole', position(1));
    expect(evacuations.report()).toBeUndefined();
    evacuations.applyEntries([evacuationOf(A)], 'changes', position(2));
    const report = evacuations.report();
    if (!report) throw new Error('no report');
    for (const message of [makeState({ evacuations: report }), makeLoads({ evacuations: report })])
      expect(parseGatewayMessage(message)).toMatchObject({ evacuations: reportOf(2, [A]) });
  });
});

const TABLE = {
  config: { services: [{ name: SERVICE, engine: ENGINE }] },
  service: () => ({ name: SERVICE, engine: ENGINE }),
} as unknown as RouteTable;

function setUp() {
  const ctx = makeContext();
  const evacuations = createEvacuations(ctx);
  const heads = [A, B].map((zone, n) =>
    makeServer(`s${n}`, { zone, model: SMALL, ...inGroup(`g${n}`, 0, 'open') }),
  );
  const servers = new Map(heads.map((server) => [server.id, server]));
  const changes = new Subject<void>();
  const registry = createGroupRegistry(
    ctx,
    { servers, changes } as unknown as ServerRegistry,
    new BehaviorSubject<RouteTable | undefined>(TABLE),
    makeThrottle(ctx),
    evacuations,
  );
  const needs = { service: SERVICE, model: SMALL, maxPauseMs: 250, tried: new Set<never>() };
  const zones = (): ZoneId[] => registry.candidates(needs).map(({ zone }) => zone);
  const evacuate = (...list: ZoneId[]): void => {
    evacuations.applyEntries(list.map(evacuationOf), 'whole', position(1));
  };
  return { ctx, registry, servers, evacuations, zones, evacuate };
}

describe('groups in an evacuated zone', () => {
  it('get no new streams until the evacuation ends', () => {
    const { registry, zones, evacuate } = setUp();
    evacuate(A);
    expect(zones()).toEqual([B]);
    evacuate(A, B);
    expect(zones()).toEqual([]);
    expect(registry.hasOpenGroup(SERVICE, SMALL)).toBe(false);
    expect(registry.isModelEvacuated(SERVICE, SMALL)).toBe(true);
    evacuate();
    expect(zones()).toEqual([A, B]);
  });

  // Guards against waiting requests that are kept until their deadline although no group is left.
  it('end the wait of requests at once if they were the last of the model', async () => {
    const { ctx, registry, evacuate } = setUp();
    const waiting = createWaitQueue(ctx, registry);
    const now = ctx.clock.now();
    const found = waiting.wait({
      ...{ model: SMALL, priority: 1, until: later(now, 50_000), arrivedAt: now, holdMs: 100 },
      ...{ onTimeUntil: later(now, 50_000), gone: new AbortController().signal, isRetry: false },
      choose: () => undefined,
      isUnservable: () => registry.isModelEvacuated(SERVICE, SMALL),
    });
    evacuate(A, B);
    expect(await found).toBeUndefined();
    expect(waiting.count(SMALL)).toBe(0);
  });
});

describe('a request whose server is in a zone that is evacuated before the send', () => {
  /** Evacuates both zones between the choice of a server and the send. */
  function setUpCalls() {
    const { ctx, registry, servers, evacuations, evacuate } = setUp();
    const refusals: string[] = [];
    const send = ({ beforeSend }: UpstreamCall): Promise<NotSent> => {
      evacuate(A, B);
      const error = beforeSend();
      refusals.push(error?.message ?? 'sent');
      return Promise.resolve({
        kind: 'not-sent',
        error: error ?? fail('unavailable', 'sent', { step: 'send' }),
      });
    };
    const deps = {
      ...{ ctx, groupRegistry: registry, serverRegistry: { servers }, evacuations },
      ...{ upstream: { send }, dialect: { forward: () => [] }, daemons: () => 1 },
      ...{ throttle: makeThrottle(ctx), waitQueue: createWaitQueue(ctx, registry) },
      ...{ retries: { noteRequest: () => undefined, mayRetry: () => true } },
      arrivals: createArrivals(ctx),
      quarantine: makeQuarantine(ctx),
      serverLinks: HEALTHY_LINKS,
    };
    const statuses: number[] = [];
    const res = { writeHead: (status: number) => statuses.push(status), end: () => undefined };
    const deadline = later(ctx.clock.now(), 5_000);
    const exchange = {
      ...{ req: { headers: {}, rawHeaders: [] }, res, body: Buffer.alloc(0), route: makeRoute() },
      ...{ service: SERVICE, facts: { model: SMALL, promptTokens: 10 }, caller: {}, priority: 1 },
      ...{ arrivedAt: ctx.clock.now(), deadline, answerBy: deadline, slotBy: deadline },
      gone: new AbortController().signal,
    };
    return { deps, exchange: exchange as unknown as Exchange, refusals, statuses };
  }

  // Guards against requests that wait for a connection while the zone is evacuated.
  it.each(['plain', 'stream'])('is not sent and refused at once: %s', async (kind) => {
    const { deps, exchange, refusals, statuses } = setUpCalls();
    const calls =
      kind === 'plain'
        ? createPlainCalls(deps as unknown as PlainDeps)
        : createStreamCalls(deps as unknown as StreamDeps);
    await calls.call(exchange);
    expect(refusals).toEqual(['the zone of the server is evacuated']);
    expect(statuses).toEqual([503]);
  });
});

describe("rows of the operator's table", () => {
  let stand: StoreStandIn | undefined;
  afterEach(() => stand?.close());

  it('are evacuations by their key, and are ignored if they are of neither kind', async () => {
    stand = await startStore('127.0.0.1', STORE_PORT);
    const lines: string[] = [];
    const store = createStore({
      address: `127.0.0.1:${STORE_PORT}`,
      logger: createLogger({ write: (line) => lines.push(line) }),
      noteEra: () => undefined,
    });
    stand.put(TABLES.operator, `${EVACUATION_PREFIX}zone-a`, {});
    const key = `${EVACUATION_PREFIX}zone-b`;
    // The value is no JSON.
    const writes = [{ table: TABLES.operator, part: '', key, value: '' }];
    await fetch(`http://127.0.0.1:${STORE_PORT}${PATHS.transaction}`, {
      method: 'POST',
      body: JSON.stringify({ precondition: [], writes, remove: [] }),
    });
    stand.put(TABLES.operator, 'note', { by: 'another tool' });
    stand.put(TABLES.operator, CONFIG_KEY, { version: 'unreadable' });
    const feed = store.feed(TABLES.operator, decodeOperatorRow, OPERATOR_ROWS);
    const { changes } = (await feed.load())._unsafeUnwrap();
    expect(changes.flatMap(({ value }) => value ?? [])).toEqual([
      { kind: 'evacuation', zone: A },
      { kind: 'evacuation', zone: B },
    ]);
    expect(lines.filter((line) => line.includes('invalid row'))).toHaveLength(1);
    expect(lines.join()).not.toContain('note');
  });
});

import { readFileSync } from 'node:fs';
import { Subject } from 'rxjs';
import { describe, expect, it } from 'vitest';

import { dialect } from '../../platform/ingress';
import { HEADERS } from '../../platform/names';
import { decodeServer } from '../../platform/servers';
import type { GroupRegistry } from '../../src/app/gateway/group-registry';
import { parseGatewayMessage } from '../../src/app/gateway/messages';
import { createWaitQueue } from '../../src/app/gateway/wait-queue';
import { coldBound, planSenders, queueDelayMs } from '../../src/core/gateway/limits/cold';
import { noteCold, unstatedColdMs } from '../../src/core/gateway/limits/cold-periods';
import type { ColdPeriod, ColdStatement } from '../../src/core/gateway/limits/cold-periods';
import { brandAs, later } from '../../src/core/ids';
import type { EpochTime } from '../../src/core/ids';
import { pause } from '../../src/utils/pause';
import { COLD_PER_S, createColdModel, rateOf } from './cold-model';
import type { ColdModel, ColdModelOptions } from './cold-model';
import { at, instance, makeContext, makeState, SMALL } from './support';

const BOUND = coldBound(COLD_PER_S, { factor: 1.5, slack: 5 });
const BUDGET = 24;
const COLD_MS = 4_000;
const NAMES = ['s1', 's2', 's3'];
/** 250 seeds, fewer for the fleets that take long. */
const FLEETS = [
  { daemons: 7, seeds: 150 },
  { daemons: 66, seeds: 60 },
  { daemons: 122, seeds: 30 },
  { daemons: 670, seeds: 10 },
];

/** Callers always wait at every daemon, and all connections are there. */
const WAITING = { demandPerS: 50, connectMs: 0 };

function modelOf(daemons: number, seed: number, more: Partial<ColdModelOptions> = {}): ColdModel {
  const demandPerS = daemons > 200 ? 4 : 12;
  const model = createColdModel({ daemons, seed, demandPerS, connectMs: 400, ...more });
  // A daemon that runs for longer than a second knows what it sent in the last one.
  model.run(1_500);
  return model;
}

function mostOf(model: ColdModel): number {
  return Math.max(0, ...[...model.sends.values()].map((times) => rateOf(times, 0, 1).most));
}

describe('the senders of a cold server', () => {
  it.each([
    [1, 1, 24],
    [7, 7, 3],
    [9, 8, 3],
    [66, 12, 2],
    [670, 12, 2],
  ])('of %i daemons are %i, with %i requests per second each', (daemons, senders, perSender) => {
    expect(planSenders(BOUND, daemons)).toEqual({ senders, perSender });
  });

  // Guards against assignments beyond the budget, or that leave much of it unused.
  it('use the budget, whatever the bound and the number of daemons', () => {
    for (let bound = 0; bound <= 60; bound += 0.5) {
      for (const daemons of [1, 2, 3, 7, 10, 13, 66, 670]) {
        const { senders, perSender } = planSenders(bound, daemons);
        const budget = Math.floor(0.8 * bound);
        expect(senders).toBeLessThanOrEqual(daemons);
        expect(senders * perSender).toBeLessThanOrEqual(budget);
        expect(senders * perSender).toBeGreaterThanOrEqual(0.85 * budget);
      }
    }
  });

  it.each(FLEETS)(
    'send 0.8 of the budget while callers wait ($daemons daemons)',
    ({ daemons }) => {
      const model = modelOf(daemons, 1, WAITING);
      const from = model.now();
      for (const name of NAMES) model.writeRow(name, COLD_MS);
      model.run(COLD_MS);
      for (const times of model.sends.values()) {
        const { most, perSecond } = rateOf(times, from + 1_000, from + COLD_MS);
        expect(most).toBeLessThanOrEqual(BOUND);
        expect(perSecond).toBeGreaterThanOrEqual(0.8 * BUDGET);
      }
      expect(model.sends.size).toBe(NAMES.length);
    },
    60_000,
  );

  // Guards against requests of daemons that are cut off, restarted or follow another leader on top
  // of those that the current leader assigned.
  it.each(FLEETS)(
    'never exceed the bound with cut-off and restarted daemons and new leaders ($daemons daemons)',
    ({ daemons, seeds }) => {
      for (let seed = 1; seed <= seeds; seed++) {
        const model = modelOf(daemons, seed);
        for (const name of NAMES) model.writeRow(name, COLD_MS);
        const faults = [
          () => {
            for (let n = 0; n < daemons / 4; n++) model.pick().isCut = true;
          },
          () => {
            for (let n = 0; n < daemons / 4; n++) model.restart(model.pick());
          },
          () => {
            model.changeLeader(100 + 5 * seed, model.pick());
          },
          () => {
            for (const daemon of model.daemons) daemon.isCut = false;
          },
        ];
        for (let n = 0; n < 4; n++) {
          model.run(100 + ((seed * 137 + n * 211) % 500));
          faults[(seed + n * (1 + (seed % 3))) % faults.length]?.();
        }
        model.run(COLD_MS - 2_500);
        expect(mostOf(model), `seed ${seed}`).toBeLessThanOrEqual(BOUND);
      }
    },
    120_000,
  );
});

describe('a cold server', () => {
  // Guards against daemons that send without an assignment while nobody can make one.
  it('gets nothing while there is no leader, and requests soon after there is one', () => {
    const model = modelOf(66, 3);
    model.changeLeader(1_500, model.daemons[5]);
    model.run(40);
    const [server = instance('')] = NAMES.map((name) => model.writeRow(name, COLD_MS));
    model.run(1_400);
    expect(model.sends.size).toBe(0);
    model.run(1_500);
    expect(model.sends.get(server)?.length ?? 0).toBeGreaterThan(0);
  });

  // Guards against senders that stop when their leader is lost.
  it('gets requests from its senders after the leader is lost', () => {
    const model = modelOf(66, 4, WAITING);
    const server = model.writeRow('s1', COLD_MS);
    model.run(1_000);
    model.changeLeader(0, undefined);
    const from = model.now() + 100;
    model.run(2_000);
    const { most, perSecond } = rateOf(model.sends.get(server) ?? [], from, model.now());
    expect(perSecond).toBeGreaterThanOrEqual(0.8 * BUDGET);
    expect(most).toBeLessThanOrEqual(BOUND);
  });

  // Guards against a restarted sender that sends its share twice within a second.
  it('gets nothing from a daemon in its first second', () => {
    const model = modelOf(7, 5);
    const server = model.writeRow('s1', COLD_MS);
    model.run(1_000);
    for (const daemon of model.daemons.slice(1)) model.restart(daemon);
    model.run(600);
    const [leader, ...restarted] = model.daemons;
    expect(leader?.cold.limit(server)?.perSecond).toBe(3);
    for (const { cold } of restarted) expect(cold.tokens(server)).toBe(0);
    model.run(1_200);
    for (const { cold } of restarted) expect(cold.limit(server)?.perSecond).toBe(3);
  });

  // Guards against a sender that is replaced while it is cut off and still sends.
  it('keeps the share of a sender that is cut off, which no other daemon gets', () => {
    const model = modelOf(66, 6);
    const server = model.writeRow('s1', COLD_MS);
    model.run(1_000);
    const sendersOf = () =>
      model.daemons.filter(({ cold }) => (cold.limit(server)?.perSecond ?? 0) > 0);
    const before = sendersOf();
    for (const daemon of before.slice(0, 6)) daemon.isCut = true;
    model.run(1_500);
    expect(sendersOf()).toEqual(before);
    expect(before).toHaveLength(12);
  });

  // Guards against a new leader without memory that assigns other senders beside those of its
  // predecessor which it does not hear from.
  it('keeps its senders under a leader that has just started', () => {
    const model = modelOf(66, 11, WAITING);
    const server = model.writeRow('s1', COLD_MS);
    model.run(1_000);
    const isSender = ({ cold }: (typeof model.daemons)[number]) =>
      (cold.limit(server)?.perSecond ?? 0) > 0;
    const before = new Set(model.daemons.filter(isSender));
    const next = model.daemons.find((daemon) => !before.has(daemon)) ?? model.pick();
    for (const daemon of model.daemons.slice(40)) daemon.isCut = true;
    model.restart(next);
    model.changeLeader(1_000, next);
    model.run(2_500);
    expect(model.daemons.filter((daemon) => isSender(daemon) && !before.has(daemon))).toEqual([]);
    expect(model.daemons.filter(isSender)).toHaveLength(12);
    expect(mostOf(model)).toBeLessThanOrEqual(BOUND);
  });

  // Guards against a server that becomes cold while it serves and gets the requests of its senders
  // on top of those that were sent before all daemons knew.
  it('that becomes cold again gets nothing for a second after all daemons know', () => {
    const model = modelOf(66, 7);
    const server = model.writeRow('s1', 0);
    model.run(500);
    model.writeRow('s1', COLD_MS, 2);
    const knownAt = model.now() + 300;
    model.run(COLD_MS);
    const times = (model.sends.get(server) ?? []).filter((time) => time >= knownAt);
    expect(Math.min(...times)).toBeGreaterThan(knownAt + 600);
    expect(rateOf(times, 0, 1).most).toBeLessThanOrEqual(BOUND);
    expect(times.length).toBeGreaterThan(BUDGET);
  });

  // Guards against daemons without the store that send to a server whose coldness only others know.
  it('is known to all daemons once one of them learned it from an answer', () => {
    const model = modelOf(66, 8);
    const server = model.writeRow('s1', 0);
    model.run(500);
    model.pick().cold.noteColdMs(server, COLD_MS);
    model.run(2_000);
    for (const { cold } of model.daemons) expect(cold.tokens(server)).toBeLessThanOrEqual(2);
  });

  // Guards against a limit that ends with the cold period, within a second that began before.
  it('is limited for a second after it is warm, and its capacity then rises within a second', () => {
    const model = modelOf(7, 9);
    const server = model.writeRow('s1', 1_000);
    model.run(1_800);
    const { cold } = model.pick();
    expect(cold.tokens(server)).toBeLessThanOrEqual(3);
    model.run(600);
    expect(cold.tokens(server)).toBe(Infinity);
    const early = cold.warmUpFactor(server);
    expect(early).toBeLessThan(0.7);
    model.run(300);
    expect(cold.warmUpFactor(server)).toBeGreaterThan(early);
    model.run(1_000);
    expect(cold.warmUpFactor(server)).toBe(1);
  });

  // Guards against a Retry-After without end for callers of a daemon that is no sender.
  it('has a finite wait for a daemon that is no sender', () => {
    const model = modelOf(66, 10);
    const server = model.writeRow('s1', COLD_MS);
    model.run(1_000);
    const idle = model.daemons.filter(({ cold }) => cold.limit(server)?.perSecond === 0);
    expect(idle).toHaveLength(66 - 12);
    for (const { cold } of idle) {
      expect(cold.msUntilToken(server)).toBeGreaterThan(COLD_MS - 1_500);
      expect(cold.msUntilToken(server)).toBeLessThanOrEqual(COLD_MS + 1_000);
      expect(cold.msUntilAccepted(server)).toBeCloseTo(1_000 / BUDGET);
    }
  });

  // Guards against requests that wait although those ahead of them take all tokens in time.
  it('delays requests by those ahead of them, unless another server is not cold', () => {
    const limit = { perSecond: 2, endMs: 5_000 };
    expect(queueDelayMs([limit, limit], 3)).toBe(0);
    expect(queueDelayMs([limit, limit], 8)).toBe(2_100);
    expect(queueDelayMs([limit, limit], 800)).toBe(5_000);
    expect(queueDelayMs([limit, undefined], 800)).toBe(0);
  });
});

describe('requests that wait', () => {
  // Guards against requests that wait to their deadline after all groups of their model became cold.
  it('are refused once those ahead of them take all tokens in time', async () => {
    const changes = new Subject<void>();
    const ctx = makeContext();
    const queue = createWaitQueue(ctx, { changes } as unknown as GroupRegistry);
    const now = ctx.clock.now();
    let areAllCold = false;
    const ended: number[] = [];
    for (const n of [0, 1, 2, 3]) {
      const waiter = {
        ...{ model: SMALL, priority: 1, arrivedAt: later(now, n), until: later(now, 5_000) },
        ...{ onTimeUntil: later(now, 5_000), holdMs: 1, gone: new AbortController().signal },
        ...{ isRetry: false, choose: () => undefined, areGroupsCold: () => areAllCold },
        msUntilToken: (ahead: number) => (ahead < 2 ? 1_000 : 6_000),
      };
      void queue.wait(waiter).then(() => ended.push(n));
    }
    changes.next();
    await pause(0);
    expect(ended).toEqual([]);
    areAllCold = true;
    changes.next();
    await pause(0);
    expect(ended).toEqual([2, 3]);
  });
});

describe('a cold period', () => {
  const period: ColdPeriod = { since: at(0), until: at(9_000), statedAt: at(5_000), source: 'row' };
  const untilAfter = (before: ColdPeriod, statement: ColdStatement, now: number) =>
    noteCold(before, statement, at(now))?.until;

  // Guards against a late answer that ends the limit on a server which became cold again after it.
  it('ends early only by a statement that is certainly newer', () => {
    const warm = (source: ColdStatement['source'], sentAt?: number): ColdStatement => ({
      coldMs: 0,
      source,
      ...(sentAt !== undefined && { sentAt: at(sentAt) }),
    });
    expect(untilAfter(period, warm('answer', 4_900), 5_100)).toBe(9_000);
    expect(untilAfter(period, warm('answer'), 5_100)).toBe(9_000);
    expect(untilAfter(period, warm('answer', 5_050), 5_100)).toBe(5_100);
    expect(untilAfter(period, warm('peer'), 5_100)).toBe(9_000);
    expect(untilAfter(period, warm('row'), 5_100)).toBe(5_100);
    const answered: ColdPeriod = { ...period, source: 'answer' };
    expect(untilAfter(answered, warm('row'), 5_100)).toBe(9_000);
    expect(untilAfter(answered, warm('row'), 6_100)).toBe(6_100);
  });

  it('is extended by any source at once', () => {
    expect(untilAfter(period, { coldMs: 6_000, source: 'peer' }, 5_100)).toBe(11_100);
  });

  // Guards against servers of the first start that are limited although no caller was served then.
  it('of a server that does not state it follows its start, if callers were served then', () => {
    const epoch = (ms: number) => brandAs<EpochTime>(ms);
    const coldOf = (startedAt: number, trafficSince?: number) =>
      unstatedColdMs(
        {
          startedAt: epoch(startedAt),
          coldStartMs: 20_000,
          trafficSince: trafficSince === undefined ? undefined : epoch(trafficSince),
        },
        epoch(100_000),
      );
    expect(coldOf(95_000, 50_000)).toBe(15_000);
    expect(coldOf(95_000)).toBe(0);
    expect(coldOf(85_000, 90_000)).toBe(0);
    expect(coldOf(70_000, 50_000)).toBe(0);
    expect(coldOf(105_000, 50_000)).toBe(20_000);
  });
});

describe('coldness on the wire', () => {
  const ROW = { service: 'a', address: 'h:1', zone: 'z', batchSize: 1, state: 'ready' };

  it('is read from rows and from the headers of answers', () => {
    expect(decodeServer('s1', { ...ROW, coldMs: 700 })?.coldMs).toBe(700);
    expect(decodeServer('s1', ROW)).not.toHaveProperty('coldMs');
    const read = (text: string) => dialect.parseResponse(200, { [HEADERS.coldMs]: text });
    expect(read('1500').coldMs).toBe(1_500);
    expect(read('0, 900').coldMs).toBe(900);
    expect(read('soon')).toMatchObject({ unreadable: [{ about: 'cold' }] });
  });

  // Guards against assignments that relays of a large fleet drop as invalid.
  it('and senders of a cold server are valid messages, directly and through a relay', () => {
    const message = { kind: 'cold-senders', fencing: 3, servers: [['s1@1', 2, 900, ['d1', 'd2']]] };
    const origin = { id: 'd0', address: 'h:1' };
    const relayed = { kind: 'relayed', to: ['h:2'], origin, message };
    expect(parseGatewayMessage(message)).toEqual(message);
    expect(parseGatewayMessage(relayed)).toEqual(relayed);
    const state = makeState({ cold: [[instance('s1'), 900, 2]] });
    expect(parseGatewayMessage(state)).toEqual(state);
    expect(parseGatewayMessage(makeState())).not.toHaveProperty('cold');
  });

  // Guards against a settings file that no daemon can read, with and without the bounds.
  it('has its bounds in the settings only if the platform gives them', () => {
    const template = readFileSync('deploy/settings.json.tmpl', 'utf8');
    const render = (given: ReadonlySet<string>): unknown =>
      JSON.parse(
        template
          .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name: string, inner: string) =>
            given.has(name) ? inner : '',
          )
          .replace(/\{\{[\w.]+\|json\}\}/g, '1.5'),
      );
    expect(render(new Set())).not.toHaveProperty('coldFactor');
    const bounds = { coldFactor: 1.5, coldSlack: 1.5 };
    expect(render(new Set(['bounds.coldOver', 'bounds.coldSlack']))).toMatchObject(bounds);
  });

  // Guards against a server that disappears because one field of its row is malformed.
  it('does not hide a server whose row states it wrongly', () => {
    expect(decodeServer('s1', { ...ROW, coldMs: 'long' })?.id).toBe('s1');
  });
});

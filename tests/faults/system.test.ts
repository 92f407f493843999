/** Process-level faults over real sockets: kills, freezes, outages and planned stops. */

import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import * as z from 'zod';

import { callJson } from '../../stand-ins/shared/client';
import { until } from '../support/processes';
import {
  CALLER_KEY,
  chat,
  documentFor,
  startSystem,
  submit,
  untilServing,
} from '../support/system';
import type { DaemonProcess, EngineProcess, System } from '../support/system';

const STREAMS = 100;
const LONG_PROMPT = [{ role: 'user', content: 'tokens=600 please' }];
/** Time after which a leaving instance receives no new work, in milliseconds. */
const LEAVING_LIMIT_MS = 3_000;

const report = z.object({ state: z.string(), group: z.string().optional() });
const record = z.object({
  runs: z.array(z.object({ attempt: z.string(), group: z.string(), at: z.number() })),
  heldBy: z.array(z.object({ group: z.string(), from: z.number(), to: z.number().optional() })),
});

const leaseRows = z.object({
  rows: z.array(
    z.object({ value: z.object({ holder: z.string(), released: z.boolean() }).partial() }),
  ),
});

type Member = EngineProcess['members'][number];
type MemberRecord = z.infer<typeof record>;

let system: System;

const members = (): Member[] => system.engines.flatMap((engine) => engine.members);

function daemonAt(index: number): DaemonProcess {
  const daemon = system.daemons[index];
  if (daemon === undefined) throw new RangeError(`daemon ${index} does not exist`);
  return daemon;
}

function setFaults(address: string, faults: object): Promise<unknown> {
  return callJson({ address, method: 'POST', path: '/faults', body: faults });
}

async function stateOf(member: Member): Promise<string> {
  const answer = await callJson({ address: member.address, method: 'GET', path: '/status' }).catch(
    () => undefined,
  );
  return answer === undefined ? 'down' : report.parse(answer.body).state;
}

async function recordOf(member: Member): Promise<MemberRecord> {
  const { body } = await callJson({ address: member.address, method: 'GET', path: '/record' });
  return record.parse(body);
}

function records(): Promise<MemberRecord[]> {
  return Promise.all(members().map(recordOf));
}

/** Members that report the state `serving`. */
async function serving(): Promise<Member[]> {
  const states = await Promise.all(members().map(stateOf));
  return members().filter((_, i) => states[i] === 'serving');
}

function call(daemon: DaemonProcess, key: string): Promise<Response> {
  return fetch(`http://${daemon.callers}/services/ledger/reservations`, {
    method: 'POST',
    headers: { authorization: `Bearer ${CALLER_KEY}`, 'idempotency-key': key },
    body: `{"reserve":"${key}"}`,
  });
}

async function executions(): Promise<Record<string, number>> {
  const { body } = await callJson({ address: system.service, method: 'GET', path: '/record' });
  const ran = z.object({ executions: z.record(z.string(), z.number()) }).parse(body).executions;
  // Keys reach the service scoped by organisation.
  return Object.fromEntries(Object.entries(ran).map(([key, n]) => [key.replace('rennes:', ''), n]));
}

async function expectResponses(daemon: DaemonProcess, count: number): Promise<void> {
  for (let n = 0; n < count; n++) {
    const res = await chat(daemon, {});
    const text = await res.text();
    expect(res.status, text).toBe(200);
  }
}

/** The table rows below a key prefix, as JSON text. */
async function scanRows(prefix: string): Promise<string> {
  const { body } = await callJson({
    address: system.platform,
    method: 'POST',
    path: '/table/scan',
    body: { prefix },
  });
  return JSON.stringify(body);
}

beforeAll(async () => {
  // Two domains, each with capacity for one group and two spare instances.
  system = await startSystem({ daemons: 4, domains: [6, 6] });
  await submit(daemonAt(0), documentFor(system, 2));
  await untilServing(system);
  await until(async () => ((await serving()).length >= 8 ? true : undefined), 'two groups serve');
});

afterAll(() => system.stop());

describe('the table service down', () => {
  it('stops no model request, and rejects at once requests that need a claim', async () => {
    await setFaults(system.platform, { table: { down: true } });
    try {
      await expectResponses(daemonAt(0), 5);
      const res = await call(daemonAt(1), 'while-down');
      expect(res.status).toBe(503);
      expect(res.headers.get('nutmegstack-outcome')).toBe('not-run');
      expect(Number(res.headers.get('retry-after'))).toBeGreaterThan(0);
    } finally {
      await setFaults(system.platform, { table: { down: false } });
    }
    expect((await executions())['while-down']).toBeUndefined();
  });
});

describe('lost responses of the table service', () => {
  it('cause at most one execution of a call, with a correct outcome', async () => {
    await setFaults(system.platform, { table: { lostAnswers: 3 } });
    const first = await call(daemonAt(0), 'lost-answer');
    const second = await call(daemonAt(1), 'lost-answer');
    const ran = (await executions())['lost-answer'] ?? 0;
    const outcomes = [first, second].map((res) => res.headers.get('nutmegstack-outcome'));
    expect(ran).toBeLessThanOrEqual(1);
    expect(outcomes.includes('done')).toBe(ran === 1);
    await setFaults(system.platform, { table: { lostAnswers: 0 } });
  });
});

describe('a killed daemon', () => {
  it('leaves its non-repeatable call `unknown` on other daemons and run at most once', async () => {
    const victim = await system.addDaemon();
    await until(async () => ((await chat(victim, {})).status === 200 ? true : undefined), 'joined');
    await setFaults(system.service, { slowMs: 1_000 });
    const before = await scanRows('claim/');
    const interrupted = call(victim, 'killed').catch(() => undefined);
    const claimed = async () => ((await scanRows('claim/')) === before ? undefined : true);
    await until(claimed, 'the call is claimed');
    await victim.process.kill();
    expect(await interrupted).toBeUndefined();
    await setFaults(system.service, { slowMs: 0 });
    const again = await call(daemonAt(0), 'killed');
    expect(again.status).toBe(409);
    expect(again.headers.get('nutmegstack-outcome')).toBe('unknown');
    expect((await executions()).killed ?? 0).toBeLessThanOrEqual(1);
  });
});

describe('a frozen daemon', () => {
  it('changes nothing when it resumes past its leases, and the others serve meanwhile', async () => {
    const rows = await scanRows('lease/');
    const frozen = system.daemons.find(({ id }) => rows.includes(`"holder":"${id}"`));
    if (frozen === undefined) throw new Error('no daemon holds a lease');
    const other = system.daemons.find((daemon) => daemon !== frozen) ?? frozen;
    const before = (await records()).map(({ heldBy }) => heldBy);
    frozen.process.suspend();
    try {
      await until(async () => {
        await expectResponses(other, 1);
        return (await scanRows('lease/')).includes(`"holder":"${frozen.id}"`) ? undefined : true;
      }, 'others hold all leases');
    } finally {
      frozen.process.resume();
    }
    await expectResponses(frozen, 3);
    expect((await records()).map(({ heldBy }) => heldBy)).toEqual(before);
  });
});

describe('a member that crashes', () => {
  it('is replaced, and no member is in two groups meanwhile', async () => {
    const [victim] = await serving();
    if (victim === undefined) throw new Error('no member is serving');
    await setFaults(victim.address, { crash: true });
    const isAtFullSize = async (): Promise<boolean> => (await serving()).length >= 8;
    await until(async () => ((await isAtFullSize()) ? undefined : true), 'the crash shows');
    // The restarted instance may be chosen again, since it holds the weights.
    await until(async () => ((await isAtFullSize()) ? true : undefined), 'two groups serve again');
    await until(
      async () => ((await chat(daemonAt(0), {})).status === 200 ? true : undefined),
      'it serves',
    );
    for (const { heldBy } of await records()) {
      expect(heldBy.filter(({ to }) => to === undefined).length).toBeLessThanOrEqual(1);
    }
  });
});

describe('an instance marked as leaving', () => {
  it('gets no new work on any daemon after a few seconds', async () => {
    const daemons = system.daemons.slice(0, 4);
    const busy = await Promise.all(
      (await serving()).map(async (member) => ({ member, ...(await recordOf(member)) })),
    );
    const victim = busy.find(({ runs }) => runs.length > 0)?.member;
    if (victim === undefined) throw new Error('no member has run a request');
    await setFaults(victim.address, { leaving: true });
    const limit = Date.now() + LEAVING_LIMIT_MS;
    while (Date.now() < limit) {
      await Promise.all(daemons.map(async (daemon) => (await chat(daemon, {})).text()));
    }
    await Promise.all(daemons.map((daemon) => expectResponses(daemon, 3)));
    const late = (await recordOf(victim)).runs.filter(({ at }) => at > limit);
    expect(late).toEqual([]);
  });
});

describe('a planned stop under open streams', () => {
  it(`interrupts none of ${STREAMS}`, async () => {
    const stopping = daemonAt(3);
    const body = { stream: true, messages: LONG_PROMPT };
    const headers = { 'nutmegstack-deadline': String(Date.now() + 60_000) };
    const streams = Array.from({ length: STREAMS }, () => chat(stopping, body, headers));
    const first = await Promise.race(streams);
    expect(first.status).toBe(200);
    const ended = stopping.process.stop();
    const answers = await Promise.all(streams);
    const accepted = answers.filter((res) => res.status === 200);
    const texts = await Promise.all(accepted.map((res) => res.text()));
    expect(texts.filter((text) => !text.trimEnd().endsWith('data: [DONE]'))).toHaveLength(0);
    for (const res of answers.filter((answer) => answer.status !== 200)) {
      expect(res.headers.get('nutmegstack-outcome')).toBe('not-run');
    }
    expect(await ended).toBe(0);
    const held = leaseRows.parse(JSON.parse(await scanRows('lease/'))).rows;
    expect(held.filter(({ value }) => value.holder === stopping.id && !value.released)).toEqual([]);
  });
});

import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { EngineReport } from '../src/core/groups/types';
import { callJson } from '../stand-ins/shared/client';
import type { JsonAnswer } from '../stand-ins/shared/client';
import { answerOf, answerText } from '../stand-ins/engine/answer';
import { startEngine } from '../stand-ins/engine/engine';
import type { EngineOptions, EngineStandIn } from '../stand-ins/engine/engine';
import type { EngineMember } from '../stand-ins/engine/member';

const FAR = 8.64e15;
const CHAT = { model: 'm', messages: [{ role: 'user', content: 'stock of paracetamol?' }] };

let engine: EngineStandIn;

async function restart(opts: EngineOptions = {}): Promise<void> {
  await engine.close();
  engine = await startEngine({ members: 3, tokenMs: 0, lagMs: 0, restartMs: 20, ...opts });
}

beforeEach(async () => {
  engine = await startEngine({ members: 3, tokenMs: 0, lagMs: 0, restartMs: 20 });
});

afterEach(() => engine.close());

function at(rank: number): EngineMember {
  const member = engine.members[rank];
  if (member === undefined) throw new Error(`no member ${rank}`);
  return member;
}

function order(rank: number, body: object, fencing = 1, deadline = FAR): Promise<JsonAnswer> {
  return callJson({
    address: at(rank).address,
    method: 'POST',
    path: '/orders',
    body: { order: body, by: { domain: 'd1', fencing, deadline } },
  });
}

function join(rank: number, group = 'g', epoch = 1): object {
  const members = engine.members.map(({ instance, address }) => ({ instance, address }));
  return { kind: 'join', group, epoch, model: 'm', rank, members };
}

function status(rank: number): EngineReport['state'] {
  return at(rank).state().phase;
}

async function form(): Promise<void> {
  for (const rank of engine.members.keys()) await order(rank, join(rank));
  await vi.waitFor(() => {
    expect(engine.members.map((_, rank) => status(rank))).toEqual(
      engine.members.map(() => 'serving'),
    );
  });
}

function headers(attempt = 'a1', epoch = 1): Record<string, string> {
  return {
    'nutmegstack-group': 'g',
    'nutmegstack-epoch': String(epoch),
    'nutmegstack-attempt': attempt,
  };
}

function chat(body: object = CHAT, attempt?: string, epoch?: number): Promise<Response> {
  return fetch(`http://${at(0).address}/v1/chat/completions`, {
    method: 'POST',
    body: JSON.stringify(body),
    headers: headers(attempt, epoch),
  });
}

function setFaults(rank: number, faults: object): Promise<JsonAnswer> {
  return callJson({ address: at(rank).address, method: 'POST', path: '/faults', body: faults });
}

function eventsOf(text: string): string[] {
  return text.split('\n\n').filter((event) => event !== '');
}

function prompt(content: string): object {
  return { ...CHAT, messages: [{ role: 'user', content }] };
}

describe('orders', () => {
  it('make a group serve once all members have joined', async () => {
    await order(0, join(0));
    await order(1, join(1));
    expect(status(0)).toBe('loading');
    await order(2, join(2));
    await vi.waitFor(() => {
      expect(status(0)).toBe('serving');
    });
  });

  it('with a stale fencing number are refused where it is checked', async () => {
    await order(0, join(0), 5);
    const refused = await order(0, { kind: 'release', group: 'g', epoch: 1 }, 4);
    expect(refused).toEqual({ status: 409, body: { error: 'stale-fencing' } });
    expect((await order(0, { kind: 'drain', group: 'g', epoch: 1 }, 5, 1)).body).toEqual({
      error: 'late',
    });
  });

  it('with a stale fencing number are applied where it is not checked', async () => {
    await restart({ checksFencing: false });
    await order(0, join(0), 5);
    expect((await order(0, join(0, 'other'), 4, 1)).body).toMatchObject({ group: 'other' });
  });

  it('of another group or a stale epoch are refused', async () => {
    await order(0, join(0, 'g', 2));
    expect((await order(0, join(0, 'h', 3))).body).toEqual({ error: 'other-group' });
    expect((await order(0, join(0, 'g', 1))).body).toEqual({ error: 'stale-epoch' });
  });

  it('release a member only when nothing is in flight', async () => {
    await form();
    await setFaults(0, { tokenMs: 20 });
    const answer = await chat({ ...prompt('tokens=500'), stream: true });
    const release = { kind: 'release', group: 'g', epoch: 1 };
    expect((await order(0, release)).body).toEqual({ error: 'busy' });
    await answer.body?.cancel();
    await vi.waitFor(async () => {
      expect((await order(0, release)).body).toMatchObject({ state: 'idle' });
    });
  });

  it('take effect although their responses are lost', async () => {
    await setFaults(1, { loseOrderAnswers: 1 });
    await expect(order(1, join(1))).rejects.toThrow();
    expect(at(1).state().holding?.group).toBe('g');
  });

  it('are recorded with their outcome', async () => {
    await order(0, join(0));
    await order(0, join(0, 'h'));
    expect(at(0).record.orders.map(({ refused }) => refused)).toEqual([undefined, 'other-group']);
    expect(at(0).record.heldBy).toMatchObject([{ group: 'g', epoch: 1 }]);
  });
});

describe('a group', () => {
  it('breaks and aborts its streams when a member crashes', async () => {
    await form();
    await setFaults(0, { tokenMs: 20 });
    const answer = await chat({ ...prompt('tokens=5000'), stream: true });
    await setFaults(2, { crash: true });
    await expect(answer.text()).rejects.toThrow();
    expect(status(0)).toBe('broken');
    await vi.waitFor(async () => {
      const report = await callJson({ address: at(2).address, method: 'GET', path: '/status' });
      expect(report.body).toMatchObject({ state: 'idle', weights: [] });
    });
  });

  it('breaks when a member freezes', async () => {
    await form();
    await setFaults(1, { frozen: true });
    await vi.waitFor(
      () => {
        expect(status(0)).toBe('broken');
      },
      { timeout: 5000 },
    );
  });

  it('crashes on a marked request and comes back idle as a new incarnation', async () => {
    await form();
    const before = at(0).state().incarnation;
    await expect(chat(prompt('please crash-me'))).rejects.toThrow();
    expect(at(0).record.runs).toHaveLength(1);
    expect(at(0).state()).toMatchObject({ phase: 'idle' });
    expect(at(0).state().incarnation).not.toBe(before);
  });
});

describe('an answer', () => {
  beforeEach(form);

  it('is complete and a function of the prompt', async () => {
    const res = await chat();
    expect(res.headers.get('nutmegstack-attempt')).toBe('a1');
    expect(await res.json()).toMatchObject({
      choices: [{ message: { content: answerText(CHAT) }, finish_reason: 'stop' }],
      usage: { completion_tokens: answerOf(CHAT).tokens.length },
    });
  });

  it('streams one token an event, then the finish reason and the end', async () => {
    const events = eventsOf(await (await chat({ ...CHAT, stream: true })).text());
    expect(events).toHaveLength(answerOf(CHAT).tokens.length + 2);
    expect(events.at(-2)).toContain('"finish_reason":"stop"');
    expect(events.at(-1)).toBe('data: [DONE]');
  });

  it('is refused for another epoch without being executed', async () => {
    const res = await chat(CHAT, 'a1', 2);
    expect(res.status).toBe(409);
    expect(at(0).record.runs).toEqual([]);
  });

  it('resumes from an event after its connection broke', async () => {
    const body = { ...CHAT, stream: true };
    const whole = eventsOf(await (await chat(body)).text());
    const rest = await fetch(`http://${at(0).address}/v1/resume`, {
      method: 'POST',
      body: JSON.stringify({ attempt: 'a1', from: 3 }),
      headers: headers(),
    });
    expect(eventsOf(await rest.text())).toEqual(whole.slice(3));
  });

  it('is cancelled when the client disconnects', async () => {
    await setFaults(0, { tokenMs: 20 });
    const res = await chat({ ...prompt('tokens=5000'), stream: true });
    await res.body?.cancel();
    await vi.waitFor(() => {
      expect(at(0).record.runs[0]?.end).toBeDefined();
    });
  });

  it.each([
    ['truncate', (text: string) => !text.includes('[DONE]')],
    ['noFinish', (text: string) => !text.includes('"finish_reason":"stop"')],
    ['duplicate', (text: string) => text.split('[DONE]').length === 3],
  ] as const)('is corrupted by %s once', async (fault, isCorrupted) => {
    await setFaults(0, { [fault]: 1 });
    const body = { ...CHAT, stream: true };
    expect(isCorrupted(await (await chat(body)).text())).toBe(true);
    expect(isCorrupted(await (await chat(body)).text())).toBe(false);
  });

  it('carries another attempt under the wrongAttempt fault', async () => {
    await setFaults(0, { wrongAttempt: 1 });
    expect((await chat()).headers.get('nutmegstack-attempt')).toBe('a1-other');
  });

  it('fails when it is shorter than its content-length', async () => {
    await setFaults(0, { wrongLength: 1 });
    await expect(chat().then((res) => res.text())).rejects.toThrow();
  });

  it('reports the cached tokens of its prompt, separately for each salt', async () => {
    const body = prompt('x'.repeat(1000));
    const cached = async (salt: string): Promise<number> => {
      const res = await fetch(`http://${at(0).address}/v1/chat/completions`, {
        method: 'POST',
        body: JSON.stringify(body),
        headers: { ...headers(), 'nutmegstack-cache-salt': salt },
      });
      return Number(res.headers.get('nutmegstack-cached-tokens'));
    };
    expect(await cached('armor')).toBe(0);
    expect(await cached('armor')).toBeGreaterThan(200);
    expect(await cached('umurage')).toBe(0);
  });
});

describe('a batch', () => {
  it('runs higher priorities first and refuses when its queue is full', async () => {
    await restart({ maxBatch: 1, maxQueue: 2, tokenMs: 5 });
    await form();
    const queued = async (count: number): Promise<void> => {
      await vi.waitFor(async () => {
        const report = await callJson({ address: at(0).address, method: 'GET', path: '/status' });
        expect(report.body).toMatchObject({ inFlight: 1, queued: count });
      });
    };
    const ask = (attempt: string, priority: number): Promise<Response> =>
      fetch(`http://${at(0).address}/v1/chat/completions`, {
        method: 'POST',
        body: JSON.stringify(CHAT),
        headers: { ...headers(attempt), 'nutmegstack-priority': String(priority) },
      });
    const first = await chat({ ...prompt('tokens=100000'), stream: true }, 'first');
    const low = ask('low', 1);
    await queued(1);
    const high = ask('high', 2);
    await queued(2);
    const refused = await ask('more', 3);
    expect(refused.headers.get('nutmegstack-refused')).toBe('true');
    await first.body?.cancel();
    await Promise.all([low, high]);
    expect(at(0).record.runs.map(({ attempt }) => attempt)).toEqual(['first', 'high', 'low']);
  });
});

import { afterEach, describe, expect, it } from 'vitest';

import { callJson } from '../stand-ins/shared/client';
import type { JsonAnswer } from '../stand-ins/shared/client';
import { startService } from '../stand-ins/service/service';
import type { PlainService, ServiceOptions } from '../stand-ins/service/service';

let service: PlainService;

afterEach(() => service.close());

async function start(opts: ServiceOptions = {}): Promise<void> {
  service = await startService(opts);
}

function reserve(key: string): Promise<JsonAnswer> {
  return callJson({
    address: service.address,
    method: 'POST',
    path: '/reservations',
    body: { line: 1 },
    headers: { 'idempotency-key': key, 'nutmegstack-attempt': 'a1' },
  });
}

describe('plain service', () => {
  it('counts executions by idempotency key', async () => {
    await start();
    await reserve('k');
    const second = await reserve('k');
    expect(second.body).toMatchObject({ ran: 2, requestId: 'a1', key: 'k', bytes: 10 });
    const { body } = await callJson({ address: service.address, method: 'GET', path: '/record' });
    expect(body).toEqual({ executions: { k: 2 }, inOrder: ['k', 'k'] });
  });

  it('executes a key once when it honours idempotency keys', async () => {
    await start({ honoursKey: true });
    const first = await reserve('k');
    expect((await reserve('k')).body).toEqual(first.body);
    expect(service.record.executions).toEqual({ k: 1 });
  });

  it('refuses without executing', async () => {
    await start();
    service.faults.refuse = 1;
    expect((await reserve('k')).status).toBe(503);
    expect(service.record.executions).toEqual({});
  });

  it.each(['loseAnswers', 'cutMidAnswer'] as const)(
    'executes the call although %s breaks the connection',
    async (fault) => {
      await start();
      service.faults[fault] = 1;
      await expect(reserve('k')).rejects.toThrow();
      expect(service.record.executions).toEqual({ k: 1 });
    },
  );

  it('does nothing while down', async () => {
    await start();
    service.faults.down = true;
    expect((await reserve('k')).status).toBe(503);
    expect(service.record.executions).toEqual({});
  });
});

import { connect } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { HEADERS } from '../../platform/names';
import { pause } from '../../src/utils/pause';
import { FIXTURE_KEY, startFixture } from './gateway-fixture';
import type { GatewayFixture } from './gateway-fixture';

const FIRST_PORT = 30_700;
const CALLERS = 5;
const PER_CALLER = 3;
/** Time for all requests to reach the servers, and for the signal to take effect. */
const SETTLE_MS = 200;
const WAIT_MS = 4_000;
const LOOK_MS = 20;
/** A daemon that stops accepts connections for a little longer. */
const BEFORE_LISTENER_CLOSES_MS = 2_000;
const STILL_MS = 1_500;
const WAITING_CALLERS = 300;
/** After a SIGTERM, the last requests have arrived. */
const AFTER_LAST_MS = 3_600;
const LONG_WAIT_MS = 7_000;
const VERY_LONG_WAIT_MS = 12_000;
/** A daemon is killed so long after its SIGTERM. */
const SHUTDOWN_MS = 8_000;
/** More than half of what is left of the shutdown when its listener is about to close. */
const USUAL_MS = 3_000;

let fixture: GatewayFixture;

beforeEach(async () => {
  fixture = await startFixture({ firstPort: FIRST_PORT, daemons: 1, plainServers: 3 });
});

afterEach(() => {
  fixture.close();
});

function requestText(
  id: string,
  { waitMs = WAIT_MS, bodyBytes = 0, path = '/safe/x' } = {},
): string {
  return [
    `GET ${path} HTTP/1.1`,
    'Host: a.example',
    `Authorization: Bearer ${FIXTURE_KEY}`,
    `${HEADERS.requestId}: ${id}`,
    `${HEADERS.waitMs}: ${waitMs}`,
    `Content-Length: ${bodyBytes}`,
    '\r\n',
  ].join('\r\n');
}

interface Caller {
  readonly send: (text: string) => void;
  readonly received: () => string;
  readonly isClosed: () => boolean;
}

function openCaller(): Caller {
  const [host, port] = fixture.address(0).split(':');
  const socket = connect(Number(port), host);
  let received = '';
  let isClosed = false;
  socket.on('data', (chunk: Buffer) => (received += chunk.toString()));
  socket.on('error', () => undefined);
  socket.on('close', () => (isClosed = true));
  return {
    send: (text) => socket.write(text),
    received: () => received,
    isClosed: () => isClosed,
  };
}

function statuses(received: string): readonly number[] {
  return [...received.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, status]) => Number(status));
}

async function untilClosed(callers: readonly Caller[]): Promise<void> {
  for (
    let waited = 0;
    waited < WAIT_MS && !callers.every((one) => one.isClosed());
    waited += LOOK_MS
  )
    await pause(LOOK_MS);
}

/** Waits until the daemon accepts no connections any more. */
async function untilRefused(): Promise<void> {
  const [host, port] = fixture.address(0).split(':');
  const isRefused = (): Promise<boolean> =>
    new Promise((resolve) => {
      const socket = connect(Number(port), host);
      socket.once('error', () => {
        resolve(true);
      });
      socket.once('connect', () => {
        socket.destroy();
        resolve(false);
      });
    });
  for (let waited = 0; waited < WAIT_MS && !(await isRefused()); waited += LOOK_MS)
    await pause(LOOK_MS);
}

describe('requests that were read before their connection closes', () => {
  // Guards against a connection that closes with one answer while others on it are outstanding.
  it('are all answered after a SIGTERM', async () => {
    const goOn = fixture.platform.pauses.begin(fixture.platform.serversOf({}));
    const callers = Array.from({ length: CALLERS }, openCaller);
    for (const [n, caller] of callers.entries())
      for (let k = 0; k < PER_CALLER; k++) caller.send(requestText(`piped-${n}-${k}`));
    await pause(SETTLE_MS);
    fixture.signal(0, 'SIGTERM');
    await pause(SETTLE_MS);
    goOn();
    await untilClosed(callers);
    const answered = callers.flatMap((one) => statuses(one.received()));
    expect(answered).toEqual(Array.from({ length: CALLERS * PER_CALLER }, () => 200));
    expect(callers.every((one) => /connection: close/i.test(one.received()))).toBe(true);
  });

  // Guards against an answer that is cut, or a status that is taken for it, for what follows on the connection.
  it('are answered although what follows is no request', async () => {
    const goOn = fixture.platform.pauses.begin(fixture.platform.serversOf({}));
    const caller = openCaller();
    caller.send(`${requestText('followed')}no request at all\r\n\r\n`);
    await pause(SETTLE_MS);
    goOn();
    await untilClosed([caller]);
    expect(statuses(caller.received())).toEqual([200, 400]);
  });
});

describe('requests that arrive while a daemon that stops stands still', () => {
  // Guards against connections that are closed unread, as the time to read them passed while the process did not run.
  it('are answered once it goes on', async () => {
    const kept = openCaller();
    kept.send(requestText('first'));
    const unused = openCaller();
    await pause(SETTLE_MS);
    expect(statuses(kept.received())).toEqual([200]);
    fixture.signal(0, 'SIGTERM');
    await pause(BEFORE_LISTENER_CLOSES_MS);
    fixture.signal(0, 'SIGSTOP');
    await pause(SETTLE_MS);
    const waiting = openCaller();
    const callers = [kept, unused, waiting];
    for (const [n, caller] of callers.entries()) caller.send(requestText(`late-${n}`));
    await pause(STILL_MS);
    fixture.signal(0, 'SIGCONT');
    await untilClosed(callers);
    expect(callers.map((one) => statuses(one.received()))).toEqual([[200, 200], [200], [200]]);
  });

  // Guards against a listener that closes with connections that wait in it: the event loop accepts one a turn.
  it('are answered or refused although many connections wait to be accepted', async () => {
    fixture.signal(0, 'SIGTERM');
    await pause(BEFORE_LISTENER_CLOSES_MS);
    fixture.signal(0, 'SIGSTOP');
    await pause(SETTLE_MS);
    const callers = Array.from({ length: WAITING_CALLERS }, openCaller);
    for (const [n, caller] of callers.entries()) caller.send(requestText(`waiting-${n}`));
    await pause(STILL_MS);
    fixture.signal(0, 'SIGCONT');
    await untilClosed(callers);
    expect(callers.filter((one) => statuses(one.received()).length !== 1)).toEqual([]);
  });

  // Guards against a process that ends by a timer that is due before what arrived is read.
  it('are answered although the listener has closed before', async () => {
    const callers = Array.from({ length: CALLERS }, openCaller);
    await pause(SETTLE_MS);
    fixture.signal(0, 'SIGTERM');
    await untilRefused();
    fixture.signal(0, 'SIGSTOP');
    for (const [n, caller] of callers.entries()) caller.send(requestText(`last-${n}`));
    await pause(STILL_MS);
    fixture.signal(0, 'SIGCONT');
    await untilClosed(callers);
    expect(callers.map((one) => statuses(one.received()))).toEqual(callers.map(() => [200]));
  });
});

describe('requests that arrive at a daemon that stops after the last ones were to arrive', () => {
  // Guards against requests that are passed on late in a stop, and whose answers its end cuts.
  it('are refused at once, on a connection that was not used before and with a late body', async () => {
    const goOn = fixture.platform.pauses.begin(fixture.platform.serversOf({}));
    const [first, unused, slow] = [openCaller(), openCaller(), openCaller()];
    first.send(requestText('first', { waitMs: LONG_WAIT_MS }));
    slow.send(requestText('slow', { waitMs: LONG_WAIT_MS, bodyBytes: 4 }));
    await pause(SETTLE_MS);
    fixture.signal(0, 'SIGTERM');
    await pause(AFTER_LAST_MS);
    unused.send(requestText('unused'));
    slow.send('body');
    await pause(SETTLE_MS);
    expect([unused, slow].map((one) => statuses(one.received()))).toEqual([[503], [503]]);
    goOn();
    await untilClosed([first]);
    expect(statuses(first.received())).toEqual([200]);
    const ran = fixture.platform.runs.map(({ requestId }) => requestId);
    expect(new Set(ran)).toEqual(new Set(['first']));
  });
});

describe('requests that take longer than what is left of the shutdown', () => {
  const unsafe = (id: string): string =>
    requestText(id, { path: '/unsafe/x', waitMs: VERY_LONG_WAIT_MS });

  // Guards against connections that end without an answer to a request that was passed on (LOST).
  it('are answered before their connections close', async () => {
    const goOn = fixture.platform.pauses.begin(fixture.platform.serversOf({}));
    const callers = Array.from({ length: CALLERS }, openCaller);
    await pause(SETTLE_MS);
    fixture.signal(0, 'SIGTERM');
    await pause(BEFORE_LISTENER_CLOSES_MS);
    for (const [n, caller] of callers.entries()) caller.send(unsafe(`long-${n}`));
    await pause(SHUTDOWN_MS - BEFORE_LISTENER_CLOSES_MS);
    expect(callers.map((one) => statuses(one.received()))).toEqual(callers.map(() => [502]));
    goOn();
  });

  // Guards against requests that are taken late in a stop, though they are not expected to end before it does (LOST).
  it('are refused at once if usual ones of their route take so long', async () => {
    const goOn = fixture.platform.pauses.begin(fixture.platform.serversOf({}));
    const [first, late] = [openCaller(), openCaller()];
    first.send(unsafe('usual'));
    await pause(USUAL_MS);
    goOn();
    await pause(SETTLE_MS);
    expect(statuses(first.received())).toEqual([200]);
    fixture.signal(0, 'SIGTERM');
    await pause(BEFORE_LISTENER_CLOSES_MS);
    late.send(unsafe('late'));
    await pause(SETTLE_MS);
    expect(statuses(late.received())).toEqual([503]);
    expect(late.received()).toMatch(/retry-after: /i);
    expect(fixture.platform.runs.map(({ requestId }) => requestId)).toEqual(['usual']);
  });
});

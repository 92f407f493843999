import { describe, expect, it } from 'vitest';

import type { Run } from '../../stand-ins/users-platform/servers';
import { brandAs } from '../../src/core/ids';
import type { ServerName } from '../../src/core/ids';
import { checkBadGateway, checkHeld, checkMissing } from './answered';
import { createCall } from './callers';
import type { Call } from './callers';
import { createIncidents } from './incidents';
import { summarize } from './judge';
import { splitAnswers } from './pipelines';
import type { World } from './world';

const SERVER = brandAs<ServerName>('plain-0');
const OTHER = brandAs<ServerName>('plain-1');
const RUNS = [{ server: SERVER }] as Run[];
const ZERO = { next: () => 0 };

function scene(more: Partial<Call> = {}) {
  const incidents = createIncidents(5_000);
  const world = {
    incidents,
    platform: { spoils: { sent: [] } },
    isReadable: () => true,
    serverNames: () => [SERVER, OTHER],
  } as unknown as World;
  const call: Call = { ...createCall(ZERO, 'daemon-0', ['safe']), ...more };
  call.endedAt = call.sentAt + 100;
  return { incidents, world, call };
}

// Guards against a judge that excuses an answer by time, load or a fault elsewhere.
describe('a call without an answer', () => {
  it('is a fault, also beside a pause or a cut of its daemon, or the end of another', () => {
    const { incidents, world, call } = scene({ error: 'ECONNRESET' });
    incidents.noteStill('daemon-0');
    incidents.noteDaemon('daemon-0');
    incidents.noteExit('daemon-1');
    expect(checkMissing(call, [], world)).toBe('closed unanswered after 100 ms (ECONNRESET)');
    expect(checkMissing(call, RUNS, world)).toBe(
      'ran at plain-0 and got no answer after 100 ms (ECONNRESET)',
    );
  });

  it('is none if its process was ended, or nobody listened', () => {
    const { incidents, world, call } = scene({ error: 'ECONNRESET' });
    expect(checkMissing({ ...call, error: 'ECONNREFUSED' }, [], world)).toBeUndefined();
    incidents.noteExit('daemon-0');
    expect(checkMissing(call, RUNS, world)).toBeUndefined();
  });

  it('is none if it crossed the close of a daemon that stops, unless it ran or came long before', () => {
    const { incidents, world, call } = scene({ error: 'ECONNRESET' });
    incidents.noteStop('daemon-0');
    expect(checkMissing(call, [], world)).toBeUndefined();
    expect(checkMissing(call, RUNS, world)).toBeDefined();
    expect(checkMissing({ ...call, endedAt: call.sentAt + 2_000 }, [], world)).toBeDefined();
  });
});

// Guards against a judge that confuses the two where a timer fires a moment early or late.
describe('a call whose caller gave up', () => {
  it('was held past its deadline, whenever its timer fired, and its connection did not end', () => {
    const { incidents, world, call } = scene({ hasGivenUp: true });
    for (const ms of [5_499, 5_501]) {
      call.endedAt = call.sentAt + ms;
      expect(checkMissing(call, RUNS, world)).toBeUndefined();
      expect(checkHeld(call, world)).toEqual(['no answer 500 ms after its deadline']);
    }
    incidents.noteStill('daemon-0');
    call.endedAt = Infinity;
    const still = { ...call, sentAt: call.sentAt - 5_200 };
    expect(checkHeld(still, world)).toEqual([]);
  });
});

describe('a call that is answered with 502', () => {
  const reply = { status: 502, headers: {}, text: '', isWhole: true };

  it('is a fault unless a server that it reached ended or lost its connections', () => {
    const { incidents, world, call } = scene({ reply });
    const reached = () => [SERVER];
    incidents.noteServers([OTHER]);
    expect(checkBadGateway(call, RUNS, world, reached)).toBe('502, reached plain-0');
    expect(checkBadGateway(call, [], world, () => [])).toBeUndefined();
    incidents.noteServers([SERVER]);
    expect(checkBadGateway(call, RUNS, world, reached)).toBeUndefined();
  });
});

// Guards against a torn stream that is judged by a server which was tried in vain while another was kept.
it('judges a stream by the run that was open last', () => {
  const { incidents, call } = scene();
  const kept = { server: SERVER, closedAt: call.sentAt + 5_000 } as Run;
  const tried = { server: OTHER, closedAt: call.sentAt + 500 } as Run;
  expect(incidents.explain(call, [kept, tried])).toBe(true);
  expect(incidents.explain(call, [tried])).toBe(false);
  incidents.noteServers([OTHER]);
  const cut = { ...kept, closedAt: call.sentAt + 900 };
  expect(incidents.explain(call, [cut, tried])).toBe(false);
});

// Guards against answers on one connection that are taken for those of another request.
it('splits the answers of a connection, and tells whether they are whole', () => {
  const first = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab';
  const second = 'HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ncd\r\n0\r\n\r\n';
  const third = 'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nef';
  expect(splitAnswers(first + second + third)).toMatchObject([
    { status: 200, text: 'ab', isWhole: true },
    { status: 503, text: 'cd', isWhole: true },
    { status: 200, headers: { connection: 'close' }, text: 'ef', isWhole: false },
  ]);
});

it('counts faults by subject', () => {
  const faults = [
    'daemon-0 exited unexpectedly with 1',
    'once-1 at daemon-0: torn after 3 of 9 events, 1 run(s), beside one-silent',
    'once-2 at daemon-0: 502, reached s000',
    'safe-3: read interim-heads for good',
    'safe-4 at daemon-0: ran twice',
  ];
  expect(summarize(faults)).toEqual({
    ...{ 'process ended by itself': 1, 'read without end': 1 },
    ...{ torn: 1, '502': 1, other: 1 },
  });
});

import { request } from 'node:http';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { HEADERS } from '../platform/names';
import { startPlatform } from '../stand-ins/users-platform/start';
import type { PlatformStandIn } from '../stand-ins/users-platform/start';
import type { CloseOrder } from '../src/core/gateway/orders';
import { brandAs } from '../src/core/ids';
import type { Epoch, GroupId } from '../src/core/ids';
import { pause } from '../src/utils/pause';
import { ENGINE, SMALL } from './gateway/support';
import { callDaemon, eventIds } from './support/gateway-daemon';
import type { Reply } from './support/gateway-daemon';

const HOST = '127.0.0.1';
const FIRST_PORT = 24_640;
const EVENTS = 20;
const POLL_MS = 5;
/** Long enough for events to wait in the silent server. */
const SILENT_MS = 100;

let platform: PlatformStandIn;
let epoch = 0;

beforeAll(async () => {
  const models = ENGINE.models.map((model) => ({ ...model, loadMs: 200, warmMs: 50 }));
  const engine = { ...ENGINE, models };
  const options = { host: HOST, firstPort: FIRST_PORT, engine };
  platform = await startPlatform({ ...options, domains: [3], plainServers: 0 });
});

afterAll(() => {
  platform.close();
});

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await pause(POLL_MS);
}

function call(): Promise<Reply> {
  const request = { requestId: 'r', key: 'k', model: SMALL, body: `events=${EVENTS}` };
  return callDaemon(`${HOST}:${FIRST_PORT + 1}`, '/stream/x', request);
}

/** Opens a group of all servers. */
async function openGroup() {
  const { fleet } = platform;
  const members = [...fleet.servers.keys()];
  const [head] = members;
  if (head === undefined) throw new Error('no server');
  epoch += 1;
  const named = { group: brandAs<GroupId>('g'), epoch: brandAs<Epoch>(epoch) };
  const stateOf = () => fleet.servers.get(head)?.joined?.state;
  for (const id of members) fleet.carryOut(id, { kind: 'join', ...named, model: SMALL, members });
  await until(() => stateOf() === 'ready');
  fleet.carryOut(head, { kind: 'open', ...named });
  await until(() => stateOf() === 'open');
  return { head, named, stateOf };
}

/** Closes an open group while its head streams; the answers to that stream and to a later request. */
async function closeWhileStreaming(mode: CloseOrder['mode']) {
  const { fleet, runs } = platform;
  const { head, named, stateOf } = await openGroup();
  const before = runs.length;
  const streamed = call().catch(() => undefined);
  await until(() => runs.length > before);
  fleet.carryOut(head, { kind: 'close', ...named, mode });
  const meanwhile = stateOf();
  const { status } = await call();
  const reply = await streamed;
  await until(() => stateOf() === 'ready');
  return { meanwhile, status, reply };
}

// Guards against a stand-in that breaks off answers which the platform's servers finish, and so blames daemons.
describe('a group that is closed while its head streams', () => {
  it('finishes the stream and accepts nothing new, with mode queue', async () => {
    const { meanwhile, status, reply } = await closeWhileStreaming('finish');
    expect(meanwhile).toBe('closing');
    expect(status).toBe(503);
    expect(eventIds(reply?.text ?? '')).toHaveLength(EVENTS);
    expect(reply?.isWhole).toBe(true);
  });

  it('breaks the stream off, with mode abort', async () => {
    const { meanwhile, status, reply } = await closeWhileStreaming('abort');
    expect(meanwhile).toBe('ready');
    expect(status).toBe(503);
    expect(reply?.isWhole ?? false).toBe(false);
  });
});

// Guards against a judge that takes a connection which its daemon gave up for the one that was open last.
it('the end of a connection is noted when its daemon gives it up, also by a silent server', async () => {
  const { fleet, runs, pauses } = platform;
  const { head, named, stateOf } = await openGroup();
  const before = runs.length;
  const req = request({
    ...{ host: HOST, port: FIRST_PORT + 1, path: '/stream/x', method: 'POST' },
    headers: { [HEADERS.requestId]: 'given-up' },
  });
  req.on('error', () => undefined);
  req.end(`events=${EVENTS}`);
  await until(() => runs.length > before);
  const goOn = pauses.silence(platform.serversOf({ domain: 'd0' }));
  await pause(SILENT_MS);
  req.destroy();
  await pause(SILENT_MS);
  const closedAt = runs[before]?.closedAt;
  goOn();
  expect(closedAt).toBeDefined();
  fleet.carryOut(head, { kind: 'close', ...named, mode: 'abort' });
  await until(() => stateOf() === 'ready');
});

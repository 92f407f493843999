// A server that has left its group is brought back into it by late orders, and is ordered into another one meanwhile.
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { performance } from 'node:perf_hooks';
import { setTimeout as pause } from 'node:timers/promises';

import { call } from '../lib-2/client.mjs';
import { documentOf, MODEL, MODELS, routeOf } from '../lib-2/config.mjs';
import { createFleet } from '../lib-2/daemon.mjs';
import { startEngines } from '../lib-2/engine.mjs';
import { createRecord } from '../lib-2/record.mjs';
import { startStore } from '../lib-2/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Orders without an answer are carried out 2 to 12 s later. */
const MIN_LATE_MS = 2000;
const MAX_LATE_MS = 12_000;
/** From the order to leave: the late join and the late open, and the start of a server in place of the lost one. */
const JOIN_AFTER_MS = 50;
const OPEN_AFTER_MS = 300;
const NEW_SERVER_AFTER_MS = 650;
const EVENTS = 15;
const EVENT_MS = 40;
const CALL_GAP_MS = 150;

const record = createRecord(new URL('record.txt', import.meta.url));
const { note } = record;

function stream(req, res, _body, server) {
  const request = req.headers['x-nutmegstack-request-id'];
  res.writeHead(200, {
    'Content-Type': 'text/event-stream',
    'X-Nutmegstack-Request-Id': request,
    'X-Nutmegstack-Response-Signature': `${server.id}.${request}`,
  });
  let next = Number(req.headers['last-event-id'] ?? 0) + 1;
  const timer = setInterval(() => {
    if (engines.isStalled(server)) return;
    if (next > EVENTS) res.end();
    else res.write(`id: ${next}\ndata: ${request} ${next}\n\n`);
    next += 1;
  }, EVENT_MS);
  res.once('close', () => clearInterval(timer));
}

/** Orders to the head without an answer, by operation. */
const late = new Map();
const leaves = [];
const broken = [];
let isOutOfLimit = false;

const carryOutLate = (operation, carryOut) => {
  const { server, order, at } = late.get(operation);
  const lateMs = Math.round(performance.now() - at);
  if (lateMs < MIN_LATE_MS || lateMs > MAX_LATE_MS) isOutOfLimit = true;
  note('carried out late', { server: server.id, operation, lateMs });
  carryOut(server, order);
};

const onLeave = (server, order, carryOut) => {
  leaves.push(order);
  if (leaves.length > 1) {
    if (!HAS_TROUBLE || leaves.length > 2) return undefined;
    note('no answer', { server: server.id, operation: 'leave' });
    setTimeout(() => carryOut(server, order), MIN_LATE_MS + 500);
    return 'none';
  }
  if (HAS_TROUBLE) {
    setTimeout(() => carryOutLate('join', carryOut), JOIN_AFTER_MS);
    setTimeout(() => carryOutLate('open', carryOut), OPEN_AFTER_MS);
  }
  setTimeout(() => {
    note('a server starts');
    engines.add();
  }, NEW_SERVER_AFTER_MS);
  return undefined;
};

const store = await startStore();
const engines = await startEngines({
  ...{ store, count: 2, models: MODELS, stream, record: note },
  order: (server, order, carryOut) => {
    const { operation } = order;
    if (server.id !== 'i-llm-0') return undefined;
    if (operation === 'leave') return onLeave(server, order, carryOut);
    if (!HAS_TROUBLE || late.has(operation) || !['join', 'open'].includes(operation))
      return undefined;
    late.set(operation, { server, order, at: performance.now() });
    note('no answer', { server: server.id, operation });
    return 'none';
  },
  onJoin: (server, order) => {
    const { joined } = server;
    if (joined === undefined || joined.group === order.group) return;
    const head = engines.servers.find(({ id }) => id === joined.members[0]);
    const isOfGroup = head?.joined?.group === joined.group && head.joined.epoch === joined.epoch;
    const state = isOfGroup ? head.joined.state : 'gone';
    const fields = { server: server.id, join: order.group, from: joined.group, head: head?.id };
    note('join taken', { ...fields, headState: state });
    if (state === 'open' || state === 'closing') broken.push({ ...fields, state });
  },
});
const routes = [routeOf('stream', 'streaming', 'llm', { resumable: true, maxGapMs: 250 })];
store.put('op', 'config', documentOf({ version: 3, routes }));
const fleet = await createFleet({ count: 2, store: store.address });
let exitCode = 2;
try {
  for (const n of [0, 1]) fleet.start(n);
  await Promise.all([0, 1].map((n) => fleet.untilReady(n)));
  const isFormed = () => engines.servers[0].joined?.state === 'open';
  for (let n = 0; n < 200 && !isFormed(); n++) await pause(50);
  if (!isFormed()) throw new Error('the group does not serve');
  if (engines.servers[0].joined.rank !== 0) throw new Error('the first server is not the head');

  const until = Date.now() + 10_000;
  setTimeout(() => {
    note('crash', { server: 'i-llm-1' });
    engines.crash(engines.servers[1]);
  }, 2500);
  const calls = [];
  for (let n = 0; Date.now() < until; n++) {
    const request = `r${n}`;
    const { id, listen } = fleet.daemons[n % 2];
    note('client sends', { request, daemon: id });
    calls.push(
      call(listen, { request, model: MODEL }).then((answer) => {
        note('client has', { request, ...answer });
      }),
    );
    await pause(CALL_GAP_MS);
  }
  await Promise.all(calls);
  for (const fields of broken) note('TWO', fields);
  note('sum', { calls: calls.length, leaves: leaves.length, broken: broken.length });
  if (isOutOfLimit || leaves.length === 0) exitCode = 2;
  else exitCode = broken.length > 0 ? 1 : 0;
} catch (err) {
  note('could not run', { error: err.message });
} finally {
  await fleet.close();
  engines.close();
  store.close();
  record.save();
}
process.exit(exitCode);

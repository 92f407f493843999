// A head that has closed for a member that leaves is opened again by a late order, before it takes its next join.
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
/** From the join that gets no answer to the late open: less than the 200 ms after which the join is sent again. */
const OPEN_AFTER_MS = 20;
/** From the entry that says `draining` to the end of the server: `drainMs`, and while the head has work. */
const DRAIN_MS = 4000;
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

/** The first open of the head that got no answer, and the join of its next group that got none. */
let open;
let join;
const broken = [];
let isOutOfLimit = false;

const carryOutOpen = (carryOut) => {
  const lateMs = Math.round(performance.now() - open.at);
  if (lateMs < MIN_LATE_MS || lateMs > MAX_LATE_MS) isOutOfLimit = true;
  note('carried out late', { server: open.server.id, operation: 'open', lateMs });
  carryOut(open.server, open.order);
};

/** Whether the order gets no answer. */
const isUnanswered = (server, order, carryOut) => {
  const { operation, group } = order;
  if (operation === 'open' && open === undefined) {
    open = { server, order, at: performance.now() };
    return HAS_TROUBLE;
  }
  const isNext = operation === 'join' && server === open?.server && group !== open.order.group;
  if (!isNext || join !== undefined) return false;
  join = order;
  if (!HAS_TROUBLE) return false;
  setTimeout(() => carryOutOpen(carryOut), OPEN_AFTER_MS);
  setTimeout(() => carryOut(server, order), MIN_LATE_MS + 500);
  return true;
};

const store = await startStore();
const engines = await startEngines({
  ...{ store, count: 3, models: MODELS, stream, record: note },
  order: (server, order, carryOut) => {
    if (!isUnanswered(server, order, carryOut)) return undefined;
    note('no answer', { server: server.id, operation: order.operation, group: order.group });
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
  const headOf = () => engines.servers.find(({ joined }) => joined?.state === 'open');
  const isSpareWarm = () =>
    engines.servers.every(({ joined }) => joined !== undefined && joined.state !== 'joining');
  for (let n = 0; n < 300 && !(headOf() && isSpareWarm()); n++) await pause(50);
  if (!headOf() || !isSpareWarm()) throw new Error('there is no group with a spare');

  const until = Date.now() + 12_000;
  const leaving = engines.servers.find(({ id }) => id === headOf().joined.members[1]);
  setTimeout(() => {
    note('draining', { server: leaving.id });
    leaving.state = 'draining';
    engines.publish(leaving);
    setTimeout(() => {
      note('left', { server: leaving.id });
      engines.end(leaving);
    }, DRAIN_MS);
  }, 3500);
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
  note('sum', { calls: calls.length, joined: join !== undefined, broken: broken.length });
  if (isOutOfLimit || join === undefined) exitCode = 2;
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

// The leader is stopped while it moves servers to another model; an order that it gave is carried out seconds later.
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';

import { call } from '../lib-2/client.mjs';
import { documentOf, routeOf } from '../lib-2/config.mjs';
import { createFleet } from '../lib-2/daemon.mjs';
import { startEngines } from '../lib-2/engine.mjs';
import { createRecord } from '../lib-2/record.mjs';
import { startStore } from '../lib-2/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const MODELS = [
  { name: 'm0', size: 2, pace: 1, share: 0.67, loadS: 12, warmS: 1.1 },
  { name: 'm1', size: 2, pace: 1, share: 0.33, loadS: 12, warmS: 1.1 },
];
/** An order without an answer is carried out 2 to 12 s later. */
const LATE_MS = 2500;
/** From the entry that says `draining` to the end of the server: `drainMs` and a little more. */
const DRAIN_MS = 2500;
const EVENTS = 20;
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

const store = await startStore();
let late;
let hasBegun = false;
const broken = [];
const stopLeader = () => {
  const { holder } = store.get('nutmegstack-state', 'lease/groups');
  const daemon = fleet.daemons.find(({ id }) => id === holder);
  note('SIGTERM', { daemon: holder });
  daemon.child.kill('SIGTERM');
};
const engines = await startEngines({
  ...{ store, count: 6, models: MODELS, stream, record: note },
  order: (server, order, carryOut) => {
    const isMove = order.operation === 'join' && server.joined?.model === 'm0';
    if (!hasBegun || !isMove || order.model !== 'm1') return undefined;
    if (late === undefined) {
      const { group, epoch } = order;
      late = { server, order };
      note(HAS_TROUBLE ? 'no answer' : 'answered', { server: server.id, join: group, epoch });
      stopLeader();
      if (HAS_TROUBLE) setTimeout(() => carryOut(server, order), LATE_MS);
    }
    // What the same leader sends again before it has stopped gets no answer either.
    return HAS_TROUBLE && order.epoch === late.order.epoch ? 'none' : undefined;
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
store.put('op', 'config', documentOf({ version: 3, routes, models: MODELS }));
const fleet = await createFleet({ count: 3, store: store.address });
const headsOf = (model) =>
  engines.servers.filter(({ joined }) => joined?.state === 'open' && joined.model === model);
let exitCode = 2;
try {
  for (const n of [0, 1, 2]) fleet.start(n);
  await Promise.all([0, 1, 2].map((n) => fleet.untilReady(n)));
  const formed = () => headsOf('m0').length === 2 && headsOf('m1').length === 1;
  for (let n = 0; n < 200 && !formed(); n++) await pause(50);
  if (!formed()) throw new Error('the groups do not serve');

  const until = Date.now() + 18_000;
  const calls = [];
  const leaving = engines.servers.find(({ joined }) => joined.model === 'm1' && joined.rank === 1);
  setTimeout(() => {
    note('draining', { server: leaving.id });
    hasBegun = true;
    leaving.state = 'draining';
    engines.publish(leaving);
    setTimeout(() => {
      note('left', { server: leaving.id });
      engines.end(leaving);
    }, DRAIN_MS);
  }, 3000);
  for (let n = 0; Date.now() < until; n++) {
    const request = `r${n}`;
    const model = n % 3 === 2 ? 'm1' : 'm0';
    const running = fleet.daemons.filter(({ child }) => child.exitCode === null && !child.killed);
    const { id, listen } = running[n % running.length];
    note('client sends', { request, model, daemon: id });
    calls.push(
      call(listen, { request, model }).then((answer) => {
        note('client has', { request, ...answer });
        return answer;
      }),
    );
    await pause(CALL_GAP_MS);
  }
  const answers = await Promise.all(calls);
  for (const fields of broken) note('TWO', fields);
  const whole = answers.filter(({ status, isWhole }) => status === 200 && isWhole).length;
  note('sum', { calls: answers.length, whole, late: late !== undefined, broken: broken.length });
  if (broken.length > 0) exitCode = 1;
  else exitCode = late === undefined ? 2 : 0;
} catch (err) {
  note('could not run', { error: err.message });
} finally {
  await fleet.close();
  engines.close();
  store.close();
  record.save();
}
process.exit(exitCode);

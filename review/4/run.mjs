// A daemon is killed while it passes on streams, a few of which have no length and end with their connection.
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';

import { call } from '../lib-2/client.mjs';
import { documentOf, MODEL, MODELS, routeOf } from '../lib-2/config.mjs';
import { createFleet } from '../lib-2/daemon.mjs';
import { startEngines } from '../lib-2/engine.mjs';
import { createRecord } from '../lib-2/record.mjs';
import { startStore } from '../lib-2/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const EVENTS = 40;
const EVENT_MS = 50;
/** A server of every second group gives every 20th of its answers without a length (share 0.5, x 0.05). */
const UNFRAMED_EACH = 20;
const STREAMS = 60;
const STREAM_GAP_MS = 40;

const record = createRecord(new URL('record.txt', import.meta.url));
const { note } = record;
const unframed = new Set();
const finished = new Set();

const eventOf = (request, n) => `id: ${n}\ndata: ${request} ${n}\n\n`;

function stream(req, res, _body, server) {
  const request = req.headers['x-nutmegstack-request-id'];
  server.answers += 1;
  const isSpoiled = server.isChosen && server.answers % UNFRAMED_EACH === 0;
  if (isSpoiled) {
    unframed.add(request);
    res.useChunkedEncodingByDefault = false;
    res.shouldKeepAlive = false;
  }
  res.writeHead(200, {
    'Content-Type': 'text/event-stream',
    'X-Nutmegstack-Request-Id': request,
    'X-Nutmegstack-Response-Signature': `${server.id}.${request}`,
  });
  let next = Number(req.headers['last-event-id'] ?? 0) + 1;
  const timer = setInterval(() => {
    if (engines.isStalled(server)) return;
    if (next > EVENTS) {
      clearInterval(timer);
      finished.add(request);
      note('server ends', { server: server.id, request, unframed: isSpoiled });
      res.end();
      return;
    }
    res.write(eventOf(request, next));
    next += 1;
  }, EVENT_MS);
  res.once('close', () => clearInterval(timer));
}

const store = await startStore();
const engines = await startEngines({ store, count: 4, models: MODELS, stream, record: note });
const routes = [routeOf('stream', 'streaming', 'llm', { resumable: true, maxGapMs: 250 })];
store.put('op', 'config', documentOf({ version: 3, routes }));
const fleet = await createFleet({ count: 2, store: store.address });
let exitCode = 2;
try {
  fleet.start(0);
  fleet.start(1);
  await Promise.all([fleet.untilReady(0), fleet.untilReady(1)]);
  const heads = () => engines.servers.filter(({ joined }) => joined?.state === 'open');
  for (let n = 0; n < 200 && heads().length < 2; n++) await pause(50);
  if (heads().length < 2) throw new Error('the groups do not serve');
  heads()[0].isChosen = true;
  await pause(1000);

  const answers = new Map();
  const calls = [];
  for (let n = 0; n < STREAMS; n++) {
    const request = `r${n}`;
    const address = fleet.daemons[n % 2].listen;
    note('client sends', { request, daemon: n % 2 });
    calls.push(
      call(address, { request, model: MODEL }).then((answer) => {
        answers.set(request, answer);
        note('client has', { request, ...answer });
      }),
    );
    await pause(STREAM_GAP_MS);
  }
  if (HAS_TROUBLE) {
    // One of the two daemons: the one that passes on the last answer without a length.
    const last = Number([...unframed].at(-1)?.slice(1) ?? 0);
    const { id, child } = fleet.daemons[last % 2];
    note('SIGKILL', { daemon: id });
    child.kill('SIGKILL');
  }
  await Promise.all(calls);
  const broken = [...answers].filter(
    ([, { status, isSigned, isWhole, events }]) =>
      status === 200 && isSigned && isWhole && events < EVENTS,
  );
  for (const [request, { events }] of broken)
    note('MIXED', { request, events, of: EVENTS, serverHadEnded: finished.has(request) });
  const whole = [...answers.values()].filter(({ isWhole }) => isWhole).length;
  note('sum', { streams: answers.size, whole, unframed: unframed.size, broken: broken.length });
  const isSound = HAS_TROUBLE ? unframed.size > 0 : whole === STREAMS && unframed.size > 0;
  exitCode = broken.length > 0 ? 1 : isSound ? 0 : 2;
} catch (err) {
  note('could not run', { error: err.message });
} finally {
  await fleet.close();
  engines.close();
  store.close();
  record.save();
}
process.exit(exitCode);

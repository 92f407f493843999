/** Stand-ins for backend servers: plain ones and model servers that form groups. */

import { createServer } from 'node:http';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { URLSearchParams } from 'node:url';

const HEARTBEAT_MS = 1200;
const REJOIN_MS = 200;
const FORM_MS = 100;

async function readBody(req) {
  let text = '';
  for await (const chunk of req) text += chunk;
  return text;
}

async function listen(server) {
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${server.address().port}`;
}

const REQUEST_ID = 'x-nutmegstack-request-id';
const EXPECTED = 'x-nutmegstack-expect-instance';

function isAddressee(id, req, res) {
  const expected = req.headers[EXPECTED];
  if (expected === undefined || expected === id) return true;
  res.writeHead(421, { 'X-Nutmegstack-Not-Executed': '1' }).end();
  return false;
}

/** Headers that every response of a server to a request carries. */
export function responseHeaders(server, requestId) {
  return {
    'X-Nutmegstack-Request-Id': requestId,
    'X-Nutmegstack-Response-Signature': `${server}.${requestId}`,
  };
}

/** Body of a plain server's response. */
export function plainBody(server, requestId, body) {
  return `${server} ran ${requestId} ${body}`;
}

/** An event of a stream. */
export function eventText(requestId, n) {
  return `id: ${n}\ndata: ${requestId} ${n}\n\n`;
}

/**
 * Starts a plain server. `onRun` records each request that it begins to run; `fault` may answer in
 * place of the server and then returns true.
 */
export async function startPlainServer({ store, id, service, zone, workMs = 43, onRun, fault }) {
  const server = createServer(async (req, res) => {
    if (!isAddressee(id, req, res)) return;
    const body = await readBody(req);
    if (req.url === '/health') {
      res.writeHead(200, { 'X-Nutmegstack-Instance-Id': id }).end();
      return;
    }
    const requestId = req.headers[REQUEST_ID] ?? '';
    const run = { server: id, requestId, method: req.method, path: req.url, body, req, res };
    onRun(run);
    setTimeout(() => {
      if (fault?.(run)) return;
      const text = plainBody(id, requestId, body);
      res.writeHead(200, { ...responseHeaders(id, requestId), 'Content-Length': text.length });
      res.end(text);
    }, workMs);
  });
  server.keepAliveTimeout = 15_000;
  const address = await listen(server);
  const row = { service, address, zone, version: 'v1', batchSize: 6, state: 'ready', coldMs: 0 };
  let sequence = 0;
  const born = Date.now();
  const publish = (more = {}) => {
    sequence += 1;
    store.put('servers', id, { ...row, born, sequence, ...more });
  };
  publish();
  const beat = setInterval(publish, HEARTBEAT_MS);
  return {
    id,
    address,
    publish,
    close: () => {
      clearInterval(beat);
      server.closeAllConnections();
      server.close();
    },
  };
}

/**
 * Starts a model server: it takes orders, and streams events while it heads an open group. `onRun` records
 * each request that it begins to run; `fault` may answer in place of the server and then returns true.
 */
export async function startModelServer(options) {
  const { store, id, service, zone, domain, eventMs = 30, onRun, fault } = options;
  let group;
  let staged = [];
  let lastModel;
  let highestEpoch = 0;
  let sequence = 0;
  let orders = 0;
  const born = Date.now();
  let address;

  const state = () => ({
    born,
    stage: 'both',
    models:
      group && group.state !== 'joining' ? [{ name: group.model, version: 1, adapters: [] }] : [],
    domain,
    staged,
    group: group && {
      name: group.name,
      epoch: group.epoch,
      rank: group.members.indexOf(id),
      state: group.state,
    },
  });

  const publish = () => {
    sequence += 1;
    const row = { service, address, zone, version: 'v1', batchSize: 18, state: 'ready', coldMs: 0 };
    store.put('servers', id, { ...row, sequence, ...state(), group: state().group ?? null });
  };

  const isIn = ({ group: name, epoch }) => group?.name === name && group.epoch === epoch;

  const join = ({ group: name, epoch, model, members }) => {
    if (epoch < highestEpoch) return 412;
    if (isIn({ group: name, epoch })) return group.members.join() === members.join() ? 200 : 412;
    highestEpoch = epoch;
    const delay = lastModel === model ? REJOIN_MS : 500;
    group = { name, epoch, model, members, state: 'joining' };
    const joined = group;
    setTimeout(() => {
      if (group !== joined) return;
      group.state = 'ready';
      lastModel = model;
      staged = [model];
      publish();
    }, delay);
    return 202;
  };

  const ORDERS = {
    join,
    open: (order) => {
      if (!isIn(order)) return 409;
      if (group.state === 'open') return 200;
      if (group.state !== 'ready' || group.members[0] !== id) return 409;
      const opened = group;
      setTimeout(() => {
        if (group === opened && group.state === 'ready') {
          group.state = 'open';
          publish();
        }
      }, FORM_MS);
      return 202;
    },
    close: (order) => {
      if (!isIn(order)) return 409;
      if (group.state === 'open') group.state = 'ready';
      return 202;
    },
    leave: (order) => {
      if (!isIn(order)) return 200;
      group = undefined;
      return 202;
    },
    stage: ({ model }) => {
      staged = [model];
      return 202;
    },
  };

  const stream = (run) => {
    const { requestId, res, events, first } = run;
    res.writeHead(200, { 'Content-Type': 'text/event-stream', ...responseHeaders(id, requestId) });
    let n = first;
    const timer = setInterval(() => {
      if (n <= events) res.write(eventText(requestId, n));
      else res.end();
      n += 1;
    }, eventMs);
    res.once('close', () => clearInterval(timer));
  };

  const server = createServer(async (req, res) => {
    if (!isAddressee(id, req, res)) return;
    const body = await readBody(req);
    const json = { 'Content-Type': 'application/json' };
    if (req.url === '/api/report') {
      const report = { ...state(), busy: false, sequence: orders, queued: 0, active: 0, pace: 1 };
      res.writeHead(200, json).end(JSON.stringify(report));
      return;
    }
    if (req.url === '/api/order') {
      const order = JSON.parse(body);
      const status = ORDERS[order.operation]?.(order) ?? 400;
      if (status === 202) orders += 1;
      publish();
      res.writeHead(status, json).end(JSON.stringify({ born }));
      return;
    }
    const requestId = req.headers[REQUEST_ID] ?? '';
    if (group?.state !== 'open') {
      const headers = { 'X-Nutmegstack-Request-Id': requestId, 'X-Nutmegstack-Not-Executed': '1' };
      res.writeHead(503, headers).end();
      return;
    }
    const first = Number(req.headers['last-event-id'] ?? 0) + 1;
    const events = Number(new URLSearchParams(body).get('events') ?? 5);
    const run = { server: id, requestId, path: req.url, body, first, events, req, res };
    onRun(run);
    if (!fault?.(run)) stream(run);
  });
  server.keepAliveTimeout = 15_000;
  address = await listen(server);
  publish();
  const beat = setInterval(publish, HEARTBEAT_MS);
  return {
    id,
    address,
    group: () => group,
    close: () => {
      clearInterval(beat);
      server.closeAllConnections();
      server.close();
    },
  };
}

// Stand-ins for the servers of an engine service: orders, groups, reports and streams.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

const REJOIN_MS = 200;
const FORM_MS = 100;
/** Before the first request, loads take a tenth of the time. */
const EARLY_LOAD_SHARE = 0.1;
/** Staged models that a host keeps. */
const RETAINED = 1;
/** A head that lost a member stands still for this long, and is broken then (`stallMs`). */
const STALL_MS = 6000;
const LOOK_MS = 20;
const HEARTBEAT_MS = 1200;

async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

/**
 * Starts `count` servers in one domain. `stream(req, res, body, server)` answers requests that run; `order(server,
 * order)`, if given, may return 'none' to leave an order without an answer. `onJoin(server, order)` is called before a
 * server takes a join of another group.
 */
export async function startEngines(options) {
  const { store, count, models, stream, record, order: onOrder, onJoin } = options;
  const servers = [];
  let hasRun = false;
  const withdrawn = new Set();
  const publish = (server) => {
    if (withdrawn.has(server)) return;
    server.rowSequence += 1;
    store.put('servers', server.id, {
      service: 'llm',
      address: server.address,
      zone: 'zone-a',
      version: 'v1',
      batchSize: 18,
      state: server.state,
      coldMs: 0,
      sequence: server.rowSequence,
      ...reportOf(server),
    });
  };
  const reportOf = ({ joined, staged }) => ({
    stage: 'both',
    models: joined ? [{ name: joined.model, version: 1, adapters: [] }] : [],
    domain: 'domain-0',
    staged,
    group: joined
      ? {
          name: joined.group,
          epoch: joined.epoch,
          rank: joined.rank,
          state: joined.state,
        }
      : null,
  });
  const isOf = (joined, { group, epoch }) => joined?.group === group && joined.epoch === epoch;

  const join = (server, order) => {
    const { group, epoch, members } = order;
    const { joined } = server;
    if (isOf(joined, order)) return joined.members.join() === members.join() ? 200 : 412;
    if (epoch < server.highestEpoch) return 412;
    onJoin?.(server, order);
    server.highestEpoch = epoch;
    const next = { group, epoch, members, model: order.model, state: 'joining' };
    next.rank = members.indexOf(server.id);
    server.joined = next;
    for (const res of server.running) res.destroy();
    publish(server);
    setTimeout(
      () => {
        if (server.joined !== next || next.state !== 'joining') return;
        next.state = 'ready';
        server.staged = [...new Set([order.model, ...server.staged])].slice(0, RETAINED);
        server.lastModel = order.model;
        publish(server);
      },
      joinMs(server, order.model),
    );
    return 202;
  };
  const joinMs = (server, model) => {
    const { loadS, warmS } = models.find(({ name }) => name === model);
    if (server.lastModel === model) return REJOIN_MS;
    if (server.staged.includes(model)) return warmS * 1000;
    return loadS * 1000 * (hasRun ? 1 : EARLY_LOAD_SHARE);
  };
  const open = (server, order) => {
    const { joined } = server;
    if (!isOf(joined, order) || joined.rank !== 0) return 409;
    if (joined.state === 'open' || joined.isOpening) return 200;
    if (joined.state !== 'ready') return 409;
    joined.isOpening = true;
    setTimeout(() => {
      joined.isOpening = false;
      if (server.joined !== joined || joined.state !== 'ready') return;
      joined.state = 'open';
      publish(server);
    }, FORM_MS);
    return 202;
  };
  const close = (server, order) => {
    const { joined } = server;
    if (!isOf(joined, order) || joined.rank !== 0) return 409;
    if (joined.state === 'ready') return 200;
    if (joined.state !== 'open' && joined.state !== 'closing') return 409;
    joined.state = 'closing';
    if (order.mode === 'abort') for (const res of server.running) res.destroy();
    finishClosing(server);
    publish(server);
    return 202;
  };
  const finishClosing = (server) => {
    const { joined, running } = server;
    if (joined?.state !== 'closing' || running.size > 0) return;
    joined.state = 'ready';
    publish(server);
  };
  const leave = (server, order) => {
    if (!isOf(server.joined, order)) return 200;
    server.joined = undefined;
    for (const res of server.running) res.destroy();
    publish(server);
    return 202;
  };
  const stage = (server, order) => {
    if (server.staged.includes(order.model)) return 200;
    const { loadS } = models.find(({ name }) => name === order.model);
    setTimeout(
      () => {
        server.staged = [order.model, ...server.staged].slice(0, RETAINED);
        publish(server);
      },
      loadS * 1000 * (hasRun ? 1 : EARLY_LOAD_SHARE),
    );
    return 202;
  };
  const ORDERS = { join, open, close, leave, stage };
  const carryOut = (server, order) => {
    const status = ORDERS[order.operation]?.(server, order) ?? 400;
    if (status === 202) server.orderSequence += 1;
    const { operation, group = '', epoch = 0 } = order;
    record('order', { server: server.id, operation, group, epoch, status });
    return status;
  };

  const serve = async (server, req, res) => {
    const expected = req.headers['x-nutmegstack-expect-instance'];
    if (expected !== undefined && expected !== server.id) {
      res.writeHead(421).end();
      return;
    }
    if (req.url === '/api/report') {
      const { running, orderSequence } = server;
      const load = { busy: false, active: running.size, queued: 0, pace: 1, kvInUse: 0 };
      const body = { ...reportOf(server), ...load, sequence: orderSequence, kvTotal: 1710000 };
      res.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(body));
      return;
    }
    const body = await readBody(req);
    if (res.destroyed) return;
    if (req.url === '/api/order') {
      const order = JSON.parse(body);
      if (onOrder?.(server, order, carryOut) === 'none') {
        res.destroy();
        return;
      }
      res.writeHead(carryOut(server, order)).end();
      return;
    }
    const id = req.headers['x-nutmegstack-request-id'];
    if (server.joined?.state !== 'open') {
      const headers = { 'X-Nutmegstack-Not-Executed': '1', 'X-Nutmegstack-Request-Id': id };
      res.writeHead(503, headers).end();
      return;
    }
    hasRun = true;
    record('run', { server: server.id, request: id });
    server.running.add(res);
    res.once('close', () => {
      server.running.delete(res);
      finishClosing(server);
    });
    stream(req, res, body, server);
  };

  const add = async (n) => {
    const server = { id: `i-llm-${n}`, state: 'ready', joined: undefined, lastModel: undefined };
    Object.assign(server, { highestEpoch: 0, rowSequence: 0, orderSequence: 0 });
    Object.assign(server, { running: new Set(), answers: 0, staged: [] });
    server.http = createServer((req, res) => {
      serve(server, req, res).catch(() => res.destroy());
    });
    await new Promise((resolve) => server.http.listen(0, '127.0.0.1', resolve));
    server.address = `127.0.0.1:${server.http.address().port}`;
    servers.push(server);
    publish(server);
  };
  for (let n = 0; n < count; n++) await add(n);
  const beat = setInterval(() => servers.forEach(publish), HEARTBEAT_MS);
  const isWhole = ({ group, epoch, members }) =>
    members.every((id) => isOf(servers.find((one) => one.id === id)?.joined, { group, epoch }));
  const look = setInterval(() => {
    for (const server of servers) {
      const { joined } = server;
      if (joined?.state !== 'open' && joined?.state !== 'closing') continue;
      if (isWhole(joined) && joined.stalledAt === undefined) continue;
      joined.stalledAt ??= Date.now();
      if (Date.now() < joined.stalledAt + STALL_MS) continue;
      joined.state = 'broken';
      for (const res of server.running) res.destroy();
      publish(server);
    }
  }, LOOK_MS);
  return {
    servers,
    publish,
    carryOut,
    /** Whether the group of the head stands still. */
    isStalled: ({ joined }) =>
      joined === undefined || joined.stalledAt !== undefined || !isWhole(joined),
    /** Starts a further server. */
    add: () => add(servers.length),
    /** The server crashes: its port refuses connections, and its entry is removed after three heartbeats. */
    crash: (server) => {
      withdrawn.add(server);
      server.joined = undefined;
      server.http.closeAllConnections();
      server.http.close();
      setTimeout(() => store.remove('servers', server.id), 3 * HEARTBEAT_MS);
    },
    /** The server has left: it reports nothing more, and its port refuses connections. */
    end: (server) => {
      withdrawn.add(server);
      store.remove('servers', server.id);
      server.joined = undefined;
      server.http.closeAllConnections();
      server.http.close();
    },
    close: () => {
      clearInterval(beat);
      clearInterval(look);
      for (const { http } of servers) {
        http.closeAllConnections();
        http.close();
      }
    },
  };
}

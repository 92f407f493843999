// Loaded into a daemon before its program: cuts the daemon off from the servers' ports when its parent says so.
// Message: `{ kind, firstPort, lastPort }`, with `delayMs` for the kind `delay`; without a kind the cut ends.
import { Socket } from 'node:net';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setImmediate, setTimeout } from 'node:timers';

const sockets = new Set();
const hanging = new Set();
/** What is on its way to the sockets on a delayed link, oldest first: `{ dueAt, deliver }`. */
const links = new Map();
const connect = Socket.prototype.connect;
let cut = {};

const ignore = () => undefined;

function refuse(socket, code) {
  socket.destroy(Object.assign(new Error(code), { code }));
}

/** Keeps the connection open and delivers nothing in either direction. */
function hang(socket) {
  hanging.add(socket);
  socket._handle?.readStop();
  Object.assign(socket, { _read: ignore, _write: ignore, _writev: ignore });
}

/** Delivers what is due on a link, in order; all of it once the delay has ended. */
function deliver(link) {
  clearTimeout(link.timer);
  while (link.queue.length > 0) {
    const waitMs = cut.kind === 'delay' ? link.queue[0].dueAt - performance.now() : 0;
    if (waitMs > 0) {
      link.timer = setTimeout(deliver, waitMs, link);
      return;
    }
    link.queue.shift().deliver();
  }
}

/** Passes on what the socket receives, its end and a reset included, after the delay in force on arrival. */
function delayReceived(socket) {
  if (links.has(socket)) return;
  const link = { queue: [], timer: undefined };
  links.set(socket, link);
  socket.once('close', () => {
    clearTimeout(link.timer);
    links.delete(socket);
  });
  const { push, destroy } = socket;
  let received = socket.bytesRead;
  const enqueue = (action) => {
    const delayMs = cut.kind === 'delay' ? cut.delayMs : 0;
    link.queue.push({ dueAt: performance.now() + delayMs, deliver: action });
    deliver(link);
  };
  // The daemon sees by this count whether its links bring anything.
  Object.defineProperty(socket, 'bytesRead', { get: () => received });
  socket.push = (chunk, encoding) => {
    enqueue(() => {
      if (socket.destroyed) return;
      received += chunk?.length ?? 0;
      push.call(socket, chunk, encoding);
      if (chunk === null) socket.read(0);
    });
    return true;
  };
  socket.destroy = (err, ...more) => {
    if (err?.syscall !== 'read') return destroy.call(socket, err, ...more);
    enqueue(() => destroy.call(socket, err, ...more));
    return socket;
  };
}

/** Establishes a connection later, by the delay; as if the answer to its first packet were delayed. */
function connectLater(socket, args) {
  const open = () => {
    if (!socket.destroyed) connect.apply(socket, args);
  };
  setTimeout(open, cut.delayMs);
  track(socket);
  delayReceived(socket);
}

function track(socket) {
  sockets.add(socket);
  socket.once('close', () => sockets.delete(socket));
}

/** What becomes of open connections, and of new ones. */
const KINDS = {
  hang: { open: hang, connect: ignore },
  reset: {
    open: (socket) => refuse(socket, 'ECONNRESET'),
    connect: (socket) => setImmediate(refuse, socket, 'ECONNREFUSED'),
  },
  'refuse-new': {
    open: ignore,
    connect: (socket) => setImmediate(refuse, socket, 'ECONNREFUSED'),
  },
  delay: { open: delayReceived, connect: connectLater },
};

Socket.prototype.connect = function (...args) {
  const [options] = Array.isArray(args[0]) ? args[0] : args;
  const port = Number(options?.port);
  const isToServer = port >= cut.firstPort && port <= cut.lastPort;
  if (isToServer && cut.kind !== undefined) {
    this.connecting = true;
    KINDS[cut.kind].connect(this, args);
    return this;
  }
  track(this);
  return connect.apply(this, args);
};

process.on('message', (message) => {
  cut = message;
  if (cut.kind !== 'delay') for (const link of links.values()) deliver(link);
  if (cut.kind === undefined) {
    for (const socket of hanging) refuse(socket, 'ECONNRESET');
    hanging.clear();
    return;
  }
  for (const socket of sockets) {
    const { remotePort } = socket;
    if (remotePort >= cut.firstPort && remotePort <= cut.lastPort) KINDS[cut.kind].open(socket);
  }
});

// Loaded into a daemon before its program: cuts the daemon off from the servers' ports when its parent says so.
// Message: `{ kind, firstPort, lastPort }`; without a kind the cut ends.
import { Socket } from 'node:net';
import { setImmediate } from 'node:timers';

const sockets = new Set();
const hanging = new Set();
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
};

Socket.prototype.connect = function (...args) {
  const [options] = Array.isArray(args[0]) ? args[0] : args;
  const port = Number(options?.port);
  const isToServer = port >= cut.firstPort && port <= cut.lastPort;
  if (isToServer && cut.kind !== undefined) {
    this.connecting = true;
    KINDS[cut.kind].connect(this);
    return this;
  }
  sockets.add(this);
  this.once('close', () => sockets.delete(this));
  return connect.apply(this, args);
};

process.on('message', (message) => {
  cut = message;
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

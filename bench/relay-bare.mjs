// A minimal relay over Node's `http`, as the baseline for the cost of a relay: it forwards requests
// to the backend servers in rotation and pipes the responses back, without any checks.
//
// node bench/relay-bare.mjs '[{"address": "127.0.0.1:1", "group": "g", "epoch": 1}]'
import { Agent, createServer, request } from 'node:http';

const backends = JSON.parse(process.argv[2] ?? '[]');
const agent = new Agent({ keepAlive: true, noDelay: true });
let turn = 0;

const server = createServer((req, res) => {
  const backend = backends[turn % backends.length];
  turn += 1;
  const [host, port] = backend.address.split(':');
  const headers = {
    ...req.headers,
    'nutmegstack-group': backend.group,
    'nutmegstack-epoch': String(backend.epoch),
    'nutmegstack-attempt': String(turn),
  };
  const upstream = request({ agent, host, port, method: req.method, path: req.url, headers });
  upstream.on('response', (answer) => {
    res.writeHead(answer.statusCode ?? 502, answer.headers);
    answer.pipe(res);
  });
  upstream.on('error', () => res.destroy());
  req.pipe(upstream);
});

server.listen(0, '127.0.0.1', () => {
  const { port } = server.address();
  process.stdout.write(`${JSON.stringify({ ready: true, address: `127.0.0.1:${port}` })}\n`);
});

// Callers in a process of their own, so that a busy test delays none of them. They send requests at a fixed rate whatever
// becomes of earlier ones. Reads one JSON object from its arguments and writes the outcome of each request as JSON.
import { Agent, request } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';

const options = JSON.parse(process.argv[2]);
const { addresses, kinds, perS, ms, waitMs, isKept, names } = options;
const PAUSE_MS = 2;
const agents = addresses.map(() => new Agent({ keepAlive: isKept, maxSockets: Infinity }));

function send(n) {
  const at = n % addresses.length;
  const [host, port] = addresses[at].split(':');
  const kind = kinds[Math.floor(n / addresses.length) % kinds.length];
  const body = `events=${options.events}&of=${n}`;
  const outcome = { kind, sentAt: performance.now(), ms: Infinity, status: 0, isWhole: false };
  return new Promise((resolve) => {
    const end = () => {
      clearTimeout(limit);
      outcome.ms = performance.now() - outcome.sentAt;
      resolve(outcome);
    };
    const req = request({
      ...{ host, port, path: `/${kind}/x`, method: 'POST', agent: agents[at] },
      headers: {
        ...options.headers,
        [names.requestId]: `${options.id}-${n}`,
        [names.waitMs]: String(waitMs),
        'Content-Length': String(body.length),
      },
    });
    const limit = setTimeout(() => req.destroy(new Error('no answer in time')), waitMs);
    req.on('error', end);
    req.on('response', (res) => {
      outcome.status = res.statusCode;
      outcome.retryAfter = res.headers['retry-after'];
      res.resume();
      res.on('error', () => undefined);
      res.on('close', () => {
        outcome.isWhole = res.complete;
        end();
      });
    });
    req.end(body);
  });
}

const { clearTimeout } = globalThis;
const startedAt = performance.now();
const sent = [];
const count = (perS * ms) / 1_000;
const sendDue = () => {
  const due = Math.min(count, ((performance.now() - startedAt) * perS) / 1_000);
  while (sent.length < due) sent.push(send(sent.length));
  if (sent.length < count) setTimeout(sendDue, PAUSE_MS);
  else
    void Promise.all(sent).then((outcomes) =>
      process.stdout.write(JSON.stringify(outcomes), () => process.exit(0)),
    );
};
sendDue();

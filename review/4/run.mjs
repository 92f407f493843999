/** Plain servers answer a small share of requests with a bare protocol switch; counts what is never answered. */

import { performance } from 'node:perf_hooks';
import { dirname } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { HAS_TROUBLE, runCase, sendAtRate } from '../lib/case.mjs';
import { call } from '../lib/client.mjs';
import { document, route } from '../lib/config.mjs';
import { createGarble } from '../lib/garble.mjs';
import { startPlainServer } from '../lib/servers.mjs';

const SERVERS = 5;
/** Two of five servers: 0.4; the pages allow 0.469. */
const FAULTY = new Set(['ledger-0', 'ledger-1']);
/** 1 / 47 = 0.0213; the pages allow 0.0215. */
const EVERY = 47;
const GARBLE_MS = 5600;
const GARBLE_AT_MS = 4000;
const SECONDS = 14;
const PER_SECOND = 520;
const TIMEOUT_MS = 2000;
/** Clients wait longer than the route's time-out, so that the daemon's own answer can reach them. */
const DEADLINE_MS = 4000;
/** The rule: so long after the time-out an answer is there, */
const SLACK_MS = 500;
/** or else it is broken from this number of requests on, if they are more than half of those unanswered by then. */
const MIN_UNANSWERED = 8;

/** Answers with a switch of protocols that nobody asked for: no byte of the server's answer follows. */
function switchProtocols({ res }) {
  res.socket.write(
    'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n',
  );
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ store, record, add, startDaemons }) => {
    let startAt = Infinity;
    const spoiledIds = new Set();
    const garble = createGarble({
      isFaulty: (server) => HAS_TROUBLE && FAULTY.has(server),
      startAt: () => startAt,
      forMs: GARBLE_MS,
      every: EVERY,
      spoil: (run) => {
        spoiledIds.add(run.requestId);
        record.note(`${run.server} answers ${run.requestId} with status 101`);
        switchProtocols(run);
      },
    });
    const onRun = ({ server, requestId }) => record.note(`${server} runs ${requestId}`);
    for (let n = 0; n < SERVERS; n++) {
      const id = `ledger-${n}`;
      const zone = `z${(n % 3) + 1}`;
      add(
        await startPlainServer({ store, id, service: 'ledger', zone, onRun, fault: garble.fault }),
      );
    }
    const timeout = { timeoutMs: TIMEOUT_MS };
    store.put(
      'op',
      'config',
      document({
        routes: [
          route('lookup', 'safe', 'ledger', timeout),
          route('booking', 'unsafe', 'ledger', { ...timeout, maxAttempts: 1 }),
        ],
      }),
    );
    const daemons = await startDaemons(3, { zones: ['z1', 'z2', 'z3'] });
    for (const { id, ended } of daemons)
      void ended.then(({ code, signal }) => record.note(`daemon ${id} ended, ${code ?? signal}`));
    await pause(3500);

    startAt = performance.now() + GARBLE_AT_MS;
    const answers = await sendAtRate({
      perSecond: PER_SECOND,
      seconds: SECONDS,
      send: async (n) => {
        const { id, listen } = daemons[n % daemons.length];
        const path = n % 2 === 0 ? '/lookup/' : '/booking/';
        const requestId = `request-${n}`;
        record.note(`client sends ${requestId} to ${id}, ${path}`);
        const answer = await call({
          address: listen,
          ...{ path, requestId, body: 'one', waitMs: DEADLINE_MS, patienceMs: DEADLINE_MS },
        });
        const { outcome, status = '', tookMs } = answer;
        record.note(`client gets ${outcome} ${status} for ${requestId} after ${tookMs} ms`);
        return { ...answer, daemon: id };
      },
    });
    record.note(`spoiled answers: ${garble.spoiled()} of ${garble.answers()}`);
    const answeredMs = answers
      .filter(({ outcome }) => outcome === 'answered')
      .map(({ tookMs }) => tookMs);
    record.note(
      `${answeredMs.length} requests answered, the slowest after ${Math.max(...answeredMs)} ms`,
    );

    const late = answers.filter(({ tookMs }) => tookMs >= TIMEOUT_MS);
    const unanswered = late.filter(
      ({ tookMs, outcome }) => outcome === 'no answer' || tookMs >= TIMEOUT_MS + SLACK_MS,
    );
    record.note(`${late.length} requests were unanswered at the time-out of their route`);
    record.note(`${unanswered.length} of them had no answer ${SLACK_MS} ms later`);
    if (unanswered.length < MIN_UNANSWERED || unanswered.length <= late.length / 2) return [];
    const ids = unanswered.map(({ requestId, daemon }) => `${requestId} at ${daemon}`);
    return [
      `CONFIG: ${unanswered.length} of ${late.length} requests that were unanswered at the time-out had no answer ${SLACK_MS} ms later, nor at their deadline: ${ids.join(', ')}`,
    ];
  },
);

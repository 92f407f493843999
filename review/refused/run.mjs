/** The answer to an unsafe request that has run is spoiled into a bare 503; the daemon passes it on. */

import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';

import { HAS_TROUBLE, runCase, sendAtRate } from '../lib/case.mjs';
import { call, callUntilServed } from '../lib/client.mjs';
import { document } from '../lib/config.mjs';
import { createGarble } from '../lib/garble.mjs';
import { startPlainServer } from '../lib/servers.mjs';

const SERVERS = 5;
const PER_SECOND = 80;
const SECONDS = 15;
/** Two of the five servers spoil three in a hundred answers for five seconds. */
const FAULTY = new Set(['ledger-0', 'ledger-1']);
const EVERY = 33;
const FAULT_AFTER_MS = 4000;
const FAULT_MS = 5000;

const BARE_503 = 'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n';

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ store, record, add, startDaemons }) => {
    let startAt = Infinity;
    const runs = new Map();
    const garble = createGarble({
      isFaulty: (server) => HAS_TROUBLE && FAULTY.has(server),
      startAt: () => startAt,
      forMs: FAULT_MS,
      every: EVERY,
      spoil: ({ server, requestId, req }) => {
        record.note(`${server} spoils its answer to ${requestId} into a bare 503`);
        req.socket.write(BARE_503);
      },
    });
    const onRun = ({ server, requestId, body }) => {
      runs.set(requestId, body);
      record.note(`${server} runs ${requestId} (${body})`);
    };
    for (let n = 0; n < SERVERS; n++) {
      const options = { store, id: `ledger-${n}`, service: 'ledger', zone: `z${(n % 3) + 1}` };
      add(await startPlainServer({ ...options, onRun, fault: garble.fault }));
    }
    store.put('op', 'config', document());
    const daemons = await startDaemons(3, { zones: ['z1', 'z2', 'z3'] });
    const book = async (address, requestId, body) => {
      record.note(`client sends ${requestId} (${body}) to ${address}`);
      const answer = await call({ address, path: '/booking/', requestId, body });
      record.note(`client gets ${answer.outcome} ${answer.status ?? ''} for ${requestId}`);
      return answer;
    };
    for (const { id, listen } of daemons)
      await callUntilServed((n) => book(listen, `first-${id}-${n}`, `first booking ${id}-${n}`));
    startAt = performance.now() + FAULT_AFTER_MS;
    const answers = await sendAtRate({
      perSecond: PER_SECOND,
      seconds: SECONDS,
      send: async (n) => {
        const { listen } = daemons[n % daemons.length];
        const answer = await book(listen, `r${n}`, `booking ${n}`);
        if (answer.status === 503) await book(listen, `r${n}-again`, `booking ${n}`);
        return answer;
      },
    });
    const bookings = [...runs.values()];
    const twice = bookings.filter((body, n) => bookings.indexOf(body) !== n);
    record.note(`spoiled answers: ${garble.spoiled()}; run twice: ${twice.join(', ') || 'none'}`);
    return answers
      .filter(({ requestId, status }) => status === 503 && runs.has(requestId))
      .map(({ requestId }) => `REFUSED: ${requestId} has run and is answered with 503`);
  },
);

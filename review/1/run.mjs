/** One digit in the status line of a stream is spoiled: the daemon ends, with the requests that it holds. */

import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';

import { HAS_TROUBLE, runCase } from '../lib/case.mjs';
import { createGarble } from '../lib/garble.mjs';
import { startDeployment } from '../lib/held.mjs';
import { eventText, responseHeaders } from '../lib/servers.mjs';

/** Half of the model servers spoil three in a hundred answers for five seconds. */
const FAULTY = new Set(['llm-0', 'llm-1', 'llm-2']);
const EVERY = 33;
const FAULT_AFTER_MS = 4000;
const FAULT_MS = 5000;

/** The server's answer to a stream, of which "HTTP/1.1 200 OK" has become "HTTP/1.1 000 OK". */
function spoil({ server, requestId, req }) {
  const headers = { 'Content-Type': 'text/event-stream', ...responseHeaders(server, requestId) };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  req.socket.end(`HTTP/1.1 000 OK\r\n${lines.join('')}\r\n${eventText(requestId, 1)}`);
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (frame) => {
  const { record } = frame;
  let startAt = Infinity;
  const garble = createGarble({
    isFaulty: (server) => HAS_TROUBLE && FAULTY.has(server),
    startAt: () => startAt,
    forMs: FAULT_MS,
    every: EVERY,
    spoil: (run) => {
      record.note(
        `${run.server} spoils its answer to ${run.requestId}: status 000 in place of 200`,
      );
      spoil(run);
    },
  });
  const { startTraffic, findLost } = await startDeployment(frame, garble.fault);
  startAt = performance.now() + FAULT_AFTER_MS;
  const answers = await startTraffic();
  record.note(
    `spoiled answers: ${garble.spoiled()} of those in the time of the fault (${garble.answers()})`,
  );
  return findLost(answers);
});

/** An event of a stream is out of order; the daemon leaves out the sound events before it as well. */

import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';

import { HAS_TROUBLE, runCase, sendAtRate } from '../lib/case.mjs';
import { call, callUntilServed } from '../lib/client.mjs';
import { document } from '../lib/config.mjs';
import { createGarble } from '../lib/garble.mjs';
import { eventText, responseHeaders, startModelServer } from '../lib/servers.mjs';

const SERVERS = 6;
const PER_SECOND = 20;
const SECONDS = 15;
const EVENTS = 8;
/** Half of the servers spoil three in a hundred answers for five seconds. */
const FAULTY = new Set(['llm-0', 'llm-1', 'llm-2']);
const EVERY = 33;
const FAULT_AFTER_MS = 4000;
const FAULT_MS = 5000;
const EVENT_MS = 30;

/** The event that does not belong after event 3: event 4 is left out, or event 3 comes twice. */
const WRONG_EVENTS = [5, 3];

/** Sends event 1, then in one write events 2 and 3 and the wrong one, then nothing. */
function spoil({ server, requestId, res }, wrong) {
  const headers = { 'Content-Type': 'text/event-stream' };
  res.writeHead(200, { ...headers, ...responseHeaders(server, requestId) });
  res.write(eventText(requestId, 1));
  const rest = [2, 3, wrong].map((n) => eventText(requestId, n)).join('');
  setTimeout(() => res.write(rest), EVENT_MS);
}

function eventIds(text) {
  return [...text.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ store, record, add, startDaemons }) => {
    let startAt = Infinity;
    let spoiled = 0;
    const garble = createGarble({
      isFaulty: (server) => HAS_TROUBLE && FAULTY.has(server),
      startAt: () => startAt,
      forMs: FAULT_MS,
      every: EVERY,
      spoil: (run) => {
        const wrong = WRONG_EVENTS[spoiled % WRONG_EVENTS.length];
        spoiled += 1;
        record.note(`${run.server} spoils its answer to ${run.requestId}: event ${wrong} after 3`);
        spoil(run, wrong);
      },
    });
    const onRun = ({ server, requestId, first }) => {
      record.note(`${server} runs ${requestId} from event ${first}`);
    };
    for (let n = 0; n < SERVERS; n++) {
      const place = { zone: `z${(n % 3) + 1}`, domain: 'd0' };
      const options = { store, id: `llm-${n}`, service: 'llm', eventMs: EVENT_MS, ...place };
      add(await startModelServer({ ...options, onRun, fault: garble.fault }));
    }
    store.put('op', 'config', document());
    const daemons = await startDaemons(3, { zones: ['z1', 'z2', 'z3'] });
    const ask = async (address, requestId) => {
      record.note(`client sends ${requestId} to ${address}`);
      const answer = await call({ address, path: '/ask/', requestId, body: `events=${EVENTS}` });
      const ids = eventIds(answer.text ?? '').join(' ');
      record.note(
        `client gets ${answer.outcome} ${answer.status ?? ''} for ${requestId}, events ${ids}`,
      );
      return answer;
    };
    for (const { id, listen } of daemons)
      await callUntilServed((n) => ask(listen, `first-${id}-${n}`));
    startAt = performance.now() + FAULT_AFTER_MS;
    const answers = await sendAtRate({
      perSecond: PER_SECOND,
      seconds: SECONDS,
      send: (n) => ask(daemons[n % daemons.length].listen, `r${n}`),
    });

    record.note(
      `spoiled answers: ${garble.spoiled()} of those in the time of the fault (${garble.answers()})`,
    );
    return answers.flatMap(({ requestId, outcome, status, text }) => {
      if (status !== 200) return [];
      const ids = eventIds(text);
      const isInOrder = ids.every((id, i) => id === i + 1);
      const isComplete = outcome === 'answered';
      if (isInOrder && (!isComplete || ids.length === EVENTS)) return [];
      const end = isComplete ? 'ends as complete' : 'is broken off';
      return [`ORDER: stream ${requestId} ${end} with events ${ids.join(' ')} of ${EVENTS}`];
    });
  },
);

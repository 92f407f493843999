/** A deployment whose daemons always hold plain requests from kept connections, and what became of these. */

import { Agent } from 'node:http';
import { performance } from 'node:perf_hooks';

import { sendAtRate } from './case.mjs';
import { call, callUntilServed } from './client.mjs';
import { document } from './config.mjs';
import { startModelServer, startPlainServer } from './servers.mjs';

const MODEL_SERVERS = 6;
const PLAIN_SERVERS = 5;
const WORK_MS = 150;
/** Clients of each daemon that send plain requests, each over a connection that it keeps. */
const CLIENTS = 8;
const STREAMS_PER_SECOND = 30;
const EVENTS = 8;
const SECONDS = 15;
/** Requests from kept connections that a daemon may lose. */
const LOST_ALLOWED = 3;

/**
 * Starts three daemons, six model servers that form groups of two, and five plain servers. `fault` may
 * answer in place of a model server. Resolves once groups serve, with the model servers and with
 * `startTraffic`, whose result resolves with the answers to the plain requests.
 */
export async function startDeployment({ store, record, add, startDaemons }, fault) {
  const runs = new Set();
  const onRun = ({ server, requestId }) => {
    runs.add(requestId);
    record.note(`${server} runs ${requestId}`);
  };
  const models = [];
  for (let n = 0; n < MODEL_SERVERS; n++) {
    const place = { zone: `z${(n % 3) + 1}`, domain: 'd0' };
    const options = { store, id: `llm-${n}`, service: 'llm', ...place, onRun, fault };
    models.push(add(await startModelServer(options)));
  }
  for (let n = 0; n < PLAIN_SERVERS; n++) {
    const options = { store, id: `ledger-${n}`, service: 'ledger', workMs: WORK_MS, onRun };
    add(await startPlainServer({ ...options, zone: `z${(n % 3) + 1}` }));
  }
  store.put('op', 'config', document());
  const daemons = await startDaemons(3, { zones: ['z1', 'z2', 'z3'] });
  for (const { id, ended } of daemons)
    void ended.then(({ code, signal }) =>
      record.note(
        signal === null ? `daemon ${id} ended by itself, code ${code}` : `daemon ${id} was ended`,
      ),
    );

  const send = async ({ id, listen }, more) => {
    record.note(`client sends ${more.requestId} to ${id}`);
    const answer = await call({ address: listen, ...more });
    const { outcome, status = '', requestId } = answer;
    record.note(`client gets ${outcome} ${status} for ${requestId}`);
    return { ...answer, daemon: id };
  };
  const stream = (daemon, requestId) =>
    send(daemon, { path: '/ask/', requestId, body: `events=${EVENTS}` });
  for (const daemon of daemons)
    await callUntilServed((n) => stream(daemon, `first-${daemon.id}-${n}`));

  /** Sends one request after the other over one connection, until one is not answered. */
  const keepSending = async (daemon, client, until) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const answers = [];
    for (let n = 0; performance.now() < until; n++) {
      const requestId = `${daemon.id}-client-${client}-${n}`;
      const path = client % 2 === 0 ? '/lookup/' : '/booking/';
      answers.push(await send(daemon, { path, requestId, agent, body: 'one' }));
      if (answers.at(-1).outcome !== 'answered') break;
    }
    agent.destroy();
    return answers;
  };

  const startTraffic = async () => {
    const until = performance.now() + SECONDS * 1000;
    const clients = daemons.flatMap((daemon) =>
      Array.from({ length: CLIENTS }, (_, client) => keepSending(daemon, client, until)),
    );
    await sendAtRate({
      perSecond: STREAMS_PER_SECOND,
      seconds: SECONDS,
      send: (n) => stream(daemons[n % daemons.length], `stream-${n}`),
    });
    return (await Promise.all(clients)).flat();
  };

  /** Findings against the rule LOST: requests that ran and whose kept connection was closed without an answer. */
  const findLost = (answers) =>
    daemons.flatMap(({ id }) => {
      const lost = answers.filter(
        ({ daemon, outcome, status, isKept, requestId }) =>
          daemon === id &&
          isKept &&
          outcome === 'broken' &&
          status === undefined &&
          runs.has(requestId),
      );
      if (lost.length <= LOST_ALLOWED) return [];
      const ids = lost.map(({ requestId }) => requestId).join(' ');
      return [
        `LOST: ${id} passed ${lost.length} requests from kept connections on and closed these without an answer: ${ids}`,
      ];
    });

  return { models, startTraffic, findLost };
}

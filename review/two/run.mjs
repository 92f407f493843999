/** An entry of an open head without `born`: its members are given to another group while it is open. */

import { dirname } from 'node:path';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { HAS_TROUBLE, runCase, sendAtRate } from '../lib/case.mjs';
import { call, callUntilServed } from '../lib/client.mjs';
import { document } from '../lib/config.mjs';
import { startModelServer } from '../lib/servers.mjs';

/** One group of three, and one server that is free. */
const SERVERS = 4;
const GROUP_SIZE = 3;
const PER_SECOND = 20;
const SECONDS = 15;
const ENTRY_AFTER_MS = 6000;
const POLL_MS = 5;
/** Fields that the entry of the other writer lacks. */
const MISSING = ['born', 'domain', 'models', 'staged', 'group'];

/** Notes each server that goes over to another group, and finds those whose head is open meanwhile. */
function watchGroups(servers, record) {
  const findings = [];
  const seen = new Map();
  const compare = () => {
    for (const server of servers) {
      const before = seen.get(server.id);
      const now = server.group();
      seen.set(server.id, now);
      if (!before || !now || before.name === now.name) continue;
      record.note(`${server.id} takes a join of ${now.name} while in ${before.name}`);
      const head = servers.find(({ id }) => id === before.members[0]).group();
      if (head?.name !== before.name || head.state !== 'open') continue;
      const group = `${before.name}, whose head ${before.members[0]} is open`;
      findings.push(`TWO: ${server.id} takes a join of ${now.name} while in ${group}`);
    }
  };
  const timer = setInterval(compare, POLL_MS);
  return { findings, stop: () => clearInterval(timer) };
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ store, record, add, startDaemons }) => {
    const servers = [];
    const onRun = ({ server, requestId }) => record.note(`${server} runs ${requestId}`);
    for (let n = 0; n < SERVERS; n++) {
      const place = { zone: `z${(n % 3) + 1}`, domain: 'd0' };
      servers.push(
        add(await startModelServer({ store, id: `llm-${n}`, service: 'llm', ...place, onRun })),
      );
    }
    store.put('op', 'config', document({ groupSize: GROUP_SIZE }));
    const daemons = await startDaemons(3, { zones: ['z1', 'z2', 'z3'] });
    const ask = async (address, requestId) => {
      record.note(`client sends ${requestId} to ${address}`);
      const answer = await call({ address, path: '/ask/', requestId, body: 'events=8' });
      record.note(`client gets ${answer.outcome} ${answer.status ?? ''} for ${requestId}`);
      return answer;
    };
    for (const { id, listen } of daemons)
      await callUntilServed((n) => ask(listen, `first-${id}-${n}`));
    const watch = watchGroups(servers, record);
    const traffic = sendAtRate({
      perSecond: PER_SECOND,
      seconds: SECONDS,
      send: (n) => ask(daemons[n % daemons.length].listen, `r${n}`),
    });
    await pause(ENTRY_AFTER_MS);
    const head = servers.find((server) => server.group()?.state === 'open');
    if (!head) throw new Error('no group serves');
    if (HAS_TROUBLE) {
      const { sequence } = store.get('servers', head.id);
      while (store.get('servers', head.id).sequence === sequence) await pause(POLL_MS);
      const entry = store.get('servers', head.id);
      const rest = Object.entries(entry).filter(([name]) => !MISSING.includes(name));
      const spoiled = { ...Object.fromEntries(rest), sequence: entry.sequence + 1 };
      store.put('servers', head.id, spoiled);
      record.note(`another writer writes the entry of ${head.id}: ${JSON.stringify(spoiled)}`);
    }
    await traffic;
    watch.stop();
    return watch.findings;
  },
);

/** Frame of a case: a small deployment on loopback addresses, a record of what happened, and the end of it all. */

import { existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { clearTimeout, setTimeout } from 'node:timers';
import { performance } from 'node:perf_hooks';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { killAll, startDaemons, waitReady } from './daemon.mjs';
import { startStore } from './store.mjs';

export const EXIT = { held: 0, broken: 1, notRun: 2 };
/** A case ends by itself long before its 120 seconds are over. */
const LIMIT_MS = 100_000;

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');

/** Whether the disruption is to be made. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Collects the lines of `record.txt`, with the time since the start. */
function createRecord(folder) {
  const startedAt = performance.now();
  const lines = [];
  return {
    note: (text) => {
      const seconds = ((performance.now() - startedAt) / 1000).toFixed(3);
      lines.push(`${seconds.padStart(8)} ${text}`);
    },
    save: () => writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`),
  };
}

/**
 * Runs a case: `play` gets the store, the record and functions to start servers and daemons, and
 * returns the findings that break the rule. Ends the process with the exit code of the case.
 */
export async function runCase(folder, play) {
  const record = createRecord(folder);
  const dir = mkdtempSync(join(tmpdir(), 'review-case-'));
  const closers = [];
  let daemons = [];
  let code = EXIT.notRun;
  const end = async () => {
    await killAll(daemons);
    for (const close of closers) close();
    if (process.env.KEEP_LOGS === undefined) rmSync(dir, { recursive: true, force: true });
    record.save();
  };
  const giveUp = (reason) => {
    record.note(reason);
    void end().finally(() => process.exit(EXIT.notRun));
  };
  const limit = setTimeout(() => giveUp('the case did not end in time'), LIMIT_MS);
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'])
    process.once(signal, () => giveUp(`the case was ended by ${signal}`));
  try {
    if (!existsSync(join(ROOT, 'target/daemon.cjs')))
      throw new Error('target/daemon.cjs is not built');
    const store = await startStore();
    closers.push(() => store.close());
    const findings = await play({
      store,
      record,
      add: (server) => {
        closers.push(() => server.close());
        return server;
      },
      startDaemons: async (count, more = {}) => {
        daemons = await startDaemons({ count, root: ROOT, dir, platform: store.address, ...more });
        const ready = await Promise.all(daemons.map((daemon) => waitReady(daemon)));
        if (ready.includes(false)) throw new Error('a daemon is not ready');
        for (const { id, listen } of daemons) record.note(`daemon ${id} is ready at ${listen}`);
        return daemons;
      },
    });
    for (const finding of findings) record.note(`BROKEN: ${finding}`);
    record.note(findings.length === 0 ? 'the rule held' : `findings: ${findings.length}`);
    code = findings.length === 0 ? EXIT.held : EXIT.broken;
    for (const finding of findings.slice(0, 10)) console.log(finding);
    console.log(findings.length === 0 ? 'the rule held' : `the rule is broken: ${findings.length}`);
  } catch (err) {
    record.note(`the case could not run: ${String(err)}`);
    console.error(`the case could not run: ${String(err)}`);
  }
  clearTimeout(limit);
  await end();
  process.exit(code);
}

/** Calls `send` at a constant rate for a time, and resolves with all results. */
export async function sendAtRate({ perSecond, seconds, send }) {
  const startedAt = performance.now();
  const results = [];
  const total = Math.round(perSecond * seconds);
  for (let n = 0; n < total; n++) {
    const dueIn = startedAt + (n * 1000) / perSecond - performance.now();
    if (dueIn > 0) await pause(dueIn);
    results.push(send(n));
  }
  return Promise.all(results);
}

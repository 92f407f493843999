/** Starts gateway daemons with the command of `deploy/system.toml` on loopback addresses. */

import { spawn } from 'node:child_process';
import { closeSync, openSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers/promises';

/** Returns ports that are free now. */
export async function freePorts(count) {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = [];
  for (const server of servers) {
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    ports.push(server.address().port);
  }
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** Bounds of the small deployments of the pages. */
const BOUNDS = {
  shutdownS: 8,
  leavingMs: 2000,
  configMs: 2000,
  settleMs: 3000,
  headBreakMs: 6000,
  retryRatio: 0.2,
  retryWindowS: 10,
  retrySlack: 132,
  loadWindowS: 5,
};

/** Starts `count` daemons; `dir` receives their settings and logs. */
export async function startDaemons({ count, root, dir, platform, zones = ['z1'], more = {} }) {
  const ports = await freePorts(4 * count);
  const at = (n) => `127.0.0.1:${ports[n]}`;
  const seeds = Array.from({ length: Math.min(3, count) }, (_, n) => at(4 * n + 2));
  const daemons = [];
  for (let n = 0; n < count; n++) {
    const id = `front-${n}`;
    const path = join(dir, `${id}.json`);
    const settings = {
      id,
      zone: zones[n % zones.length],
      cpuCores: 1,
      cpuShare: 0.675,
      listen: at(4 * n),
      readyListen: at(4 * n + 1),
      peerListen: at(4 * n + 2),
      forwardListen: at(4 * n + 3),
      seeds,
      platform,
      ...BOUNDS,
      ...more,
    };
    writeFileSync(path, JSON.stringify(settings));
    const log = openSync(join(dir, `${id}.log`), 'a');
    const child = spawn('node', ['--max-old-space-size=200', 'target/daemon.cjs'], {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        NUTMEGSTACK_CONFIG: path,
        NUTMEGSTACK_PEER_SECRET: 'set-by-the-operators-of-this-deployment',
      },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    const ended = new Promise((resolve) =>
      child.once('exit', (code, signal) => resolve({ code, signal })),
    );
    daemons.push({ id, child, ended, listen: at(4 * n), ready: at(4 * n + 1), settingsPath: path });
  }
  return daemons;
}

/** Status of the readiness check; 0 without an answer. */
function readyStatus(address) {
  return new Promise((resolve) => {
    const req = get(`http://${address}/api/ready`, (res) => {
      res.resume();
      resolve(res.statusCode);
    });
    req.on('error', () => resolve(0));
  });
}

/** Waits until the daemon answers its readiness check with 200; false if it does not in time. */
export async function waitReady({ ready }, timeoutMs = 15_000) {
  const until = performance.now() + timeoutMs;
  while (performance.now() < until) {
    if ((await readyStatus(ready)) === 200) return true;
    await setTimeout(100);
  }
  return false;
}

/** Ends the daemons at once. */
export async function killAll(daemons) {
  for (const { child } of daemons) if (child.exitCode === null) child.kill('SIGKILL');
  await Promise.all(daemons.map(({ ended }) => ended));
}

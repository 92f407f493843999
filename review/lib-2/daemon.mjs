// Starts gateway daemons with the command of deploy/system.toml and settings like its template's.
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

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

async function freePorts(count) {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** The words of the line `run` in the deploy file. */
function deployCommand() {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const words = /^run = "(.*)"$/m.exec(text)[1].split(' ');
  const [, secret] = /NUTMEGSTACK_PEER_SECRET = "(.*?)"/.exec(text);
  return { words, secret };
}

function isReady(address) {
  return new Promise((resolve) => {
    const req = get(`http://${address}/api/ready`, (res) => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.on('error', () => resolve(false));
  });
}

export async function createFleet({ count, store, zones = ['zone-a'], more = {} }) {
  const dir = mkdtempSync(join(tmpdir(), 'review-2-'));
  const { words, secret } = deployCommand();
  const ports = await freePorts(4 * count);
  const addressOf = (n, role) => `127.0.0.1:${ports[4 * n + role]}`;
  const daemons = Array.from({ length: count }, (_, n) => ({
    id: `daemon-${n}`,
    listen: addressOf(n, 0),
    ready: addressOf(n, 1),
    zone: zones[n % zones.length],
    child: undefined,
  }));
  const seeds = daemons.slice(0, 3).map((_, n) => addressOf(n, 2));
  daemons.forEach(({ id, zone, listen, ready }, n) => {
    const settings = {
      ...{ id, zone, cpuCores: 1, cpuShare: 0.675, listen, readyListen: ready },
      ...{ peerListen: addressOf(n, 2), forwardListen: addressOf(n, 3), seeds, platform: store },
      ...BOUNDS,
      ...more,
    };
    writeFileSync(join(dir, `${id}.json`), JSON.stringify(settings));
  });

  const start = (n) => {
    const daemon = daemons[n];
    const log = openSync(join(dir, `${daemon.id}.log`), 'a');
    daemon.child = spawn(words[0] === 'node' ? process.execPath : words[0], words.slice(1), {
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        NUTMEGSTACK_CONFIG: join(dir, `${daemon.id}.json`),
        NUTMEGSTACK_PEER_SECRET: secret,
      },
      stdio: ['ignore', log, log],
    });
    daemon.exited = new Promise((resolve) => {
      daemon.child.once('exit', (code, signal) => resolve({ code, signal }));
    });
  };
  // However this process ends, it leaves no daemon behind.
  process.once('exit', () => {
    for (const { child } of daemons) child?.kill('SIGKILL');
  });
  const untilReady = async (n, limitMs = 15_000) => {
    const until = Date.now() + limitMs;
    while (Date.now() < until) {
      if (await isReady(daemons[n].ready)) return;
      await pause(50);
    }
    throw new Error(`daemon ${n} is not ready`);
  };
  const close = async () => {
    for (const { child } of daemons) {
      if (!child || child.exitCode !== null || child.signalCode !== null) continue;
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(daemons.map(({ exited }) => exited));
    if (process.env.KEEP_LOGS === undefined) rmSync(dir, { recursive: true });
    else console.error(`logs in ${dir}`);
  };
  return { daemons, start, untilReady, close };
}

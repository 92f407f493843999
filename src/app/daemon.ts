/** Composition root of a daemon: creates its parts and starts them; `shutdown.ts` stops them. */

import { createEngine } from '../adapters/engine';
import { createInstanceList } from '../adapters/platform/instances';
import type { InstanceRegistry } from '../adapters/platform/instances';
import { createObjectStore } from '../adapters/platform/objects';
import { createTable } from '../adapters/platform/table';
import { createClock, createRandom } from '../adapters/runtime';
import { createLogger } from '../adapters/telemetry/logger';
import { createMetrics } from '../adapters/telemetry/metrics';
import { createTracer } from '../adapters/telemetry/tracer';
import { readTls } from '../adapters/tls-files';
import { brandAs } from '../core/ids';
import type { InstanceId } from '../core/ids';
import type { InstanceEntry } from '../ports/platform';
import type { Logger } from '../ports/runtime';
import { createAdmin } from './admin/admin';
import { withMetrics } from './admin/metrics-page';
import { createConfig } from './config/config';
import { createControl } from './control/control';
import { createEntry } from './entry';
import { listen } from './listen';
import type { HttpListener } from './listen';
import { createMembership } from './membership/membership';
import type { ConfigPart, Parts } from './parts';
import { createRequests } from './requests/requests';
import type { DaemonSettings, RunningDaemon } from './settings';
import { createShutdown } from './shutdown';

function ownEntry(settings: DaemonSettings, state: InstanceEntry['state']): InstanceEntry {
  return {
    id: brandAs<InstanceId>(settings.id),
    role: 'daemon',
    address: settings.peerListen,
    zone: settings.zone,
    accelerators: 0,
    state,
    checksFencing: false,
  };
}

/**
 * Registers the daemon in the instance list. The list is only a hint for discovery, so a failure is
 * logged and the daemon still serves.
 */
async function registerInstance(
  instances: InstanceRegistry,
  entry: InstanceEntry,
  logger: Logger,
): Promise<void> {
  const entered = await instances.enter(entry);
  if (entered.isOk()) return;
  logger.warn('could not register in the instance list', {
    step: 'start',
    code: entered.error.code,
  });
}

/** Starts a daemon. Resolves once it accepts connections. */
export async function startDaemon(settings: DaemonSettings): Promise<RunningDaemon> {
  const self = settings.id;
  const clock = createClock();
  const random = createRandom(settings.seed);
  const logger = createLogger({ level: settings.logLevel, fields: { daemon: self } });
  const metrics = createMetrics();
  const tracer = createTracer({
    service: 'nutmegstack',
    instance: self,
    ...(settings.otlpUrl === undefined ? {} : { otlpUrl: settings.otlpUrl }),
  });
  const platform = { address: settings.platform };
  const table = createTable(platform);
  const instances = createInstanceList(platform);
  const base = { self, table, clock, random, logger, metrics };

  const membership = createMembership({
    ...base,
    self: { id: self, address: settings.peerListen, zone: settings.zone },
    seeds: settings.seeds,
    secret: settings.peerSecret,
    ...(settings.peerTls === undefined ? {} : { tls: await readTls(settings.peerTls) }),
    instances,
    configVersion: () => config.current().version,
  });
  const { gossip } = membership;
  const config: ConfigPart = createConfig({
    ...base,
    gossip,
    direct: membership.direct,
    peers: () => membership.peers(),
  });
  const control = createControl({
    ...base,
    instances,
    engine: createEngine(),
    config,
    membership,
    gossip,
  });
  const requests = createRequests({
    ...base,
    config,
    groups: control,
    objects: createObjectStore(platform),
    gossip,
    tracer,
    daemonCount: () => membership.peers().length,
    settings: {
      maxBodyBytes: settings.maxBodyBytes,
      tableCommitsPerSecond: settings.claimCommitsPerSecond,
      claimShare: 1,
    },
  });
  const parts: Parts = { config, membership, control, requests };

  const listeners: HttpListener[] = [];
  const shutdown = createShutdown({
    settings,
    parts,
    listeners,
    logger,
    deregister: () => instances.leave(brandAs<InstanceId>(self)),
    flushTraces: () => tracer.close(),
  });
  await membership.start();
  await config.start();
  await control.start();
  await requests.start();
  const entry = createEntry({
    requests: requests.handler,
    isReady: () => !shutdown.isStopping(),
  });
  const bootstrap =
    settings.bootstrapKeyHash === undefined ? {} : { bootstrapKeyHash: settings.bootstrapKeyHash };
  const admin = createAdmin({
    ...parts,
    logger,
    drain: shutdown.drain,
    ...bootstrap,
  });
  const { maxHeaderBytes, maxConnections } = settings;
  const callerListener = await listen({
    address: settings.listen,
    handler: entry,
    maxHeaderBytes,
    maxConnections,
  });
  const adminListener = await listen({
    address: settings.adminListen,
    handler: withMetrics({ config, metrics, ...bootstrap }, admin),
  });
  listeners.push(callerListener, adminListener);
  await registerInstance(instances, ownEntry(settings, 'live'), logger);
  logger.info('started', { step: 'start' });
  return {
    addresses: {
      callers: callerListener.address,
      admin: adminListener.address,
      peers: settings.peerListen,
    },
    drain: shutdown.drain,
    stopped: shutdown.stopped,
  };
}

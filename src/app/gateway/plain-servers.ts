/** The servers of plain services, with this daemon's measurements of each, and the choice among them. */

import { choosePlain } from '../../core/gateway/balance';
import type { PlainCandidate } from '../../core/gateway/balance';
import type { BackendServer } from '../../core/gateway/types';
import type { InstanceId, ServiceId } from '../../core/ids';
import type { GatewayContext } from './context';
import type { EvacuatedZones } from './evacuations';
import { RETRY_AFTER_UNSERVED, retryAfterDelay } from './exchange';
import type { RetryAfter } from './exchange';
import type { ServerLinkWatch } from './server-links';
import type { ServerRegistry } from './server-registry';
import { minOrZero } from './throttle';
import type { Throttle } from './throttle';

export interface PlainServersDeps {
  readonly ctx: GatewayContext;
  readonly serverRegistry: ServerRegistry;
  readonly throttle: Throttle;
  readonly evacuations: EvacuatedZones;
  readonly serverLinks: Pick<ServerLinkWatch, 'isUnreachable'>;
}

/** Why a call has no server. */
export interface Unserved {
  readonly reason: string;
  readonly retryAfter?: RetryAfter;
}

/** Result of a call at a server. */
export interface CallOutcome {
  readonly hasFailed: boolean;
  /** Time to the answer, if there was one, milliseconds. */
  readonly answeredMs: number | undefined;
}

export interface PlainServers {
  /** Chooses a server that was not tried, and takes a token for the call. */
  take(service: ServiceId, tried: ReadonlySet<InstanceId>): BackendServer | undefined;
  /** Returns the token of a call that was not sent. */
  giveBack(server: BackendServer): void;
  noteSent(server: BackendServer): void;
  noteEnded(server: BackendServer, outcome: CallOutcome): void;
  /** Why no server can be chosen and when to retry, if known. */
  explainNone(service: ServiceId): Unserved;
}

/** Measurements of one server. */
interface ServerRecord {
  running: number;
  failures: number;
  latencyMs: number | undefined;
}

/** Weight of the latest call in a server's running means. */
const SMOOTHING = 0.15;

const NO_SERVER = 'no server of the service is known';
const EVACUATED = 'all servers of the service are in evacuated zones';
const UNREACHABLE = 'no server is reached, neither directly nor through a peer';
const NO_CAPACITY = 'all servers of the service are rate-limited or backing off';

export function createPlainServers({
  ctx,
  serverRegistry,
  throttle,
  evacuations,
  serverLinks,
}: PlainServersDeps): PlainServers {
  const records = new Map<InstanceId, ServerRecord>();

  const recordOf = (id: InstanceId): ServerRecord => {
    const known = records.get(id);
    if (known) return known;
    const record: ServerRecord = { running: 0, failures: 0, latencyMs: undefined };
    records.set(id, record);
    return record;
  };

  const registeredServers = (service: ServiceId): BackendServer[] =>
    [...serverRegistry.servers.values()].filter(
      (server) => server.service === service && !server.isDraining,
    );

  const serversOf = (service: ServiceId): BackendServer[] =>
    registeredServers(service).filter(({ zone }) => !evacuations.isEvacuated(zone));

  const candidates = (service: ServiceId, tried: ReadonlySet<InstanceId>): PlainCandidate[] =>
    serversOf(service)
      .filter(({ id }) => throttle.tokens(id) >= 1)
      .map(({ id, zone, batchSize }) => ({
        id,
        zone,
        batchSize,
        ...recordOf(id),
        isTried: tried.has(id),
      }));

  /**
   * Time until a server of the service accepts a request, under their rate limits and backoffs,
   * milliseconds.
   */
  const msUntilAnyAccepts = (service: ServiceId): number =>
    minOrZero(serversOf(service).map(({ id }) => throttle.msUntilAccepted(id)));

  return {
    take: (service, tried) => {
      if (serverLinks.isUnreachable(service)) return undefined;
      const { zone } = ctx.settings;
      const found = choosePlain(candidates(service, tried), zone, ctx.random.next());
      const server = found && serverRegistry.servers.get(found.id);
      if (server) throttle.takeToken(server.id);
      return server;
    },
    giveBack: ({ id }) => {
      throttle.returnToken(id);
    },
    noteSent: ({ id }) => {
      recordOf(id).running += 1;
    },
    noteEnded: ({ id }, { hasFailed, answeredMs }) => {
      const record = recordOf(id);
      record.running -= 1;
      record.failures += SMOOTHING * (Number(hasFailed) - record.failures);
      if (answeredMs === undefined) return;
      const mean = record.latencyMs ?? answeredMs;
      record.latencyMs = mean + SMOOTHING * (answeredMs - mean);
    },
    explainNone: (service) => {
      const isEvacuated = serversOf(service).length === 0 && registeredServers(service).length > 0;
      if (serverLinks.isUnreachable(service))
        return { reason: UNREACHABLE, retryAfter: RETRY_AFTER_UNSERVED };
      if (isEvacuated) return { reason: EVACUATED, retryAfter: RETRY_AFTER_UNSERVED };
      const acceptedInMs = msUntilAnyAccepts(service);
      if (acceptedInMs === 0) return { reason: NO_SERVER };
      return { reason: NO_CAPACITY, retryAfter: retryAfterDelay(acceptedInMs) };
    },
  };
}

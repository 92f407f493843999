/** Messages between gateway daemons and their validation on receipt. */

import * as z from 'zod';

import type { EvacuationReport } from '../../core/gateway/evacuations';
import type { BackendServer, GatewayConfig } from '../../core/gateway/types';
import { brandAs } from '../../core/ids';
import type {
  DaemonId,
  DomainId,
  FencingNumber,
  Fingerprint,
  GroupId,
  InstanceId,
  ServiceId,
  ZoneId,
} from '../../core/ids';
import { toStoreEra } from '../../core/store-era';

const natural = z.number().min(0);
const daemonIdSchema = z.string().transform((id) => brandAs<DaemonId>(id));
const instanceIdSchema = z.string().transform((id) => brandAs<InstanceId>(id));

const eraSchema = z.number().transform((value, ctx) => {
  const era = toStoreEra(value);
  if (era !== undefined) return era;
  ctx.addIssue({ code: 'custom', message: 'not a valid store era' });
  return z.NEVER;
});
const positionSchema = z.object({ era: eraSchema, revision: natural });

const servicesSchema = z.array(z.string().transform((name) => brandAs<ServiceId>(name)));
const zoneSchema = z.string().transform((zone) => brandAs<ZoneId>(zone));

/** Zones that the operator evacuated, as known at a position in the store's history. */
const evacuationsSchema = z
  .object({
    at: positionSchema,
    zones: z.array(zoneSchema),
    held: z.array(zoneSchema).optional(),
  })
  .transform(({ at, zones, held }): EvacuationReport => ({ at, zones, ...(held && { held }) }));

const fingerprintSchema = z.string().transform((text) => brandAs<Fingerprint>(text));

/**
 * Strikes: a group or plain server ended while it ran a request. Request, group, its domain, whether the
 * request was suspected before, for how long it had run, how long ago that was, for how long the strike counts,
 * milliseconds, and parts of its prompt that may be at fault. Cleared: requests and parts that were answered
 * completely, and how long ago, milliseconds.
 */
const crashesSchema = z.object({
  strikes: z.array(
    z.tuple([
      fingerprintSchema,
      z.string().transform((id) => brandAs<GroupId>(id)),
      z.string().transform((id) => brandAs<DomainId>(id)),
      z.boolean(),
      natural,
      natural,
      natural,
      z.array(fingerprintSchema).optional(),
    ]),
  ),
  cleared: z.array(z.tuple([fingerprintSchema, natural])),
});

/** How current a daemon's knowledge is, so that others can tell what it is missing. */
const progressSchema = {
  /** Version of the configuration in force; 0 for none. */
  configVersion: natural,
  /**
   * Position in the store's history at which the servers last changed, as far as the sender knows.
   */
  serversAt: positionSchema,
  /** The newest era of the store that the sender knows. */
  storeEra: eraSchema,
  /** The sender cannot reach the store. */
  isStoreLost: z.boolean(),
  /** Time since the store last answered the sender's poll for servers, milliseconds. */
  storeAgeMs: natural,
  /**
   * Time since the store last answered the sender's poll for the configuration, milliseconds;
   * optional.
   */
  configAgeMs: natural.optional(),
  hasTraffic: z.boolean(),
  /** Absent as long as the sender has seen no evacuation. */
  evacuations: evacuationsSchema.optional(),
  /** Differs between daemons that refuse different requests; absent if the sender refuses none. */
  refusedDigest: natural.optional(),
};

/** The lease row of a leader, so that other daemons need not read it. */
const leaseSchema = z.object({
  /** Era of the store: versions of different eras cannot be compared. */
  era: eraSchema,
  version: natural,
  row: z.object({
    holder: daemonIdSchema,
    session: z.string(),
    fencing: natural.transform((n) => brandAs<FencingNumber>(n)),
    ttlMs: natural,
    released: z.boolean(),
  }),
  fenceVersion: natural,
});

/** By head of a group: requests in flight, and the prompt tokens of those without an event. */
const runningSchema = z.array(z.tuple([instanceIdSchema, natural, natural]));

/** By head of a group: recent slowdown factor of its events. */
const slowdownsSchema = z.array(z.tuple([instanceIdSchema, z.number().min(1)]));

/**
 * By server: requests a second that it accepts from all daemons together, or null once it named no
 * limit any more; time since the request was sent whose answer named it, and since that answer was
 * read, milliseconds.
 */
const limitsSchema = z
  .array(z.tuple([instanceIdSchema, natural.nullable(), natural, natural]))
  .default([]);

/**
 * By cold server: time for which it stays cold as it told the sender itself, 0 if it did not,
 * milliseconds; requests a second that the sender may send to it.
 */
const coldSchema = z.array(z.tuple([instanceIdSchema, natural, natural]));

const stateSchema = z.object({
  kind: z.literal('state'),
  ...progressSchema,
  isStopping: z.boolean(),
  zone: zoneSchema,
  /** Processor cores that the daemon may use. */
  cores: natural,
  /** Whether this daemon hears from a leader or is the leader. */
  hearsLeader: z.boolean(),
  /** `host:port` at which the daemon forwards requests of peers, if it does. */
  forwardAddress: z.string().optional(),
  /** Services whose servers the daemon reaches through peers only. */
  cutOff: servicesSchema.default([]),
  lease: leaseSchema.optional(),
  running: runningSchema,
  /**
   * By head of a group with requests in flight here: time since the last event of any of them,
   * milliseconds.
   */
  quiet: z.array(z.tuple([instanceIdSchema, natural])),
  paces: slowdownsSchema,
  /** By model: requests that wait at this daemon for a group, and arrivals a second. */
  waiting: z.array(z.tuple([z.string(), natural, natural])),
  /** As servers named them to this daemon. */
  limits: limitsSchema,
  /** Servers that recently announced that they are leaving. */
  leaving: z.array(instanceIdSchema).default([]),
  cold: coldSchema.optional(),
  /** As seen by the sender. */
  crashes: crashesSchema.optional(),
});

/** What the leader of a large fleet publishes, in place of an exchange between all daemons. */
const loadsSchema = z.object({
  kind: z.literal('loads'),
  ...progressSchema,
  lease: leaseSchema,
  /** Daemons that the leader hears from, itself included. */
  daemons: natural,
  running: runningSchema,
  /** Means over the daemons that measured the groups; groups at normal speed are left out. */
  paces: slowdownsSchema,
  /**
   * By model: daemons with waiting requests for it, number of waiting requests, and arrivals a
   * second.
   */
  waiting: z.array(z.tuple([z.string(), natural, natural, natural])),
  /** As servers named them to any daemon. */
  limits: limitsSchema,
  leaving: z.array(instanceIdSchema).default([]),
  /** Registered daemons that do not respond. */
  silent: z.array(daemonIdSchema).default([]),
  /** Daemons that reach services through peers only, with these services. */
  cutOff: z.array(z.tuple([daemonIdSchema, servicesSchema])).default([]),
  /** As seen by any daemon. */
  crashes: crashesSchema.optional(),
});

/**
 * State of a suspected group: one daemon saw its streams fall silent, or could not reach it; enough
 * daemons reported it; or its members were inspected and some are lost.
 */
const findingSchema = z.enum(['seen', 'unreachable', 'confirmed', 'lost', 'alive']);

/** A group that seems to be stalled. */
const stalledSchema = z.object({
  kind: z.literal('stalled'),
  group: z.string().transform((id) => brandAs<GroupId>(id)),
  head: instanceIdSchema,
  finding: findingSchema,
  /** Of the finding `lost`; `silent` if absent, as from daemons that know no evidence. */
  evidence: z.enum(['ended', 'silent']).optional(),
});

/** Sent in this program's internal representation: all daemons run the same program. */
const configSchema = z.object({
  kind: z.literal('config'),
  config: z.custom<GatewayConfig>((value) => typeof value === 'object' && value !== null),
  /** A daemon without the store learns both together. */
  evacuations: evacuationsSchema.optional(),
});

const serversSchema = z.object({
  kind: z.literal('servers'),
  at: positionSchema,
  servers: z.array(z.custom<BackendServer>((value) => typeof value === 'object' && value !== null)),
});

/** Changes of the servers between two positions of one era of the store. */
const newsSchema = z.object({
  kind: z.literal('news'),
  since: positionSchema,
  upTo: positionSchema,
  changes: z.array(
    z.object({
      key: z.string(),
      value: z.custom<BackendServer>((value) => typeof value === 'object').optional(),
    }),
  ),
});

/** Rate limits that servers named, for the daemons that send to these servers. */
const limitsMessageSchema = z.object({ kind: z.literal('limits'), limits: limitsSchema });

/**
 * From the leader: by cold server the requests a second that each sender may send, the time for
 * which it stays cold, milliseconds, and its senders; none if they are not assigned yet.
 */
const coldSendersSchema = z.object({
  kind: z.literal('cold-senders'),
  fencing: natural.transform((n) => brandAs<FencingNumber>(n)),
  servers: z.array(z.tuple([instanceIdSchema, natural, natural, z.array(daemonIdSchema)])),
});

/**
 * Requests that the sender refuses because they crash servers, with the milliseconds that remain, and those
 * until each may run once more; null if it may not.
 */
const refusedSchema = z.object({
  kind: z.literal('refused'),
  requests: z.array(z.tuple([fingerprintSchema, natural, z.number().nullable()])),
});

/** A message of the leader; `to` are the addresses that the receiver forwards it to. */
const relayedSchema = z.object({
  kind: z.literal('relayed'),
  to: z.array(z.string()),
  origin: z.object({ id: daemonIdSchema, address: z.string() }),
  message: z.discriminatedUnion('kind', [
    loadsSchema,
    newsSchema,
    stalledSchema,
    coldSendersSchema,
  ]),
});

/** States of several daemons, collected by a relay for the leader. */
const statesSchema = z.object({
  kind: z.literal('states'),
  states: z.array(z.object({ id: daemonIdSchema, address: z.string(), state: stateSchema })),
});

const messageSchema = z.discriminatedUnion('kind', [
  stateSchema,
  statesSchema,
  stalledSchema,
  configSchema,
  serversSchema,
  newsSchema,
  loadsSchema,
  limitsMessageSchema,
  coldSendersSchema,
  refusedSchema,
  relayedSchema,
]);

export type PeerProgress = Pick<
  PeerState,
  | 'configVersion'
  | 'serversAt'
  | 'storeEra'
  | 'isStoreLost'
  | 'storeAgeMs'
  | 'configAgeMs'
  | 'refusedDigest'
>;
export type LoadsMessage = z.output<typeof loadsSchema>;
export type PeerState = z.output<typeof stateSchema>;
export type ColdSendersMessage = z.output<typeof coldSendersSchema>;
export type ColdReport = z.output<typeof coldSchema>;
export type StallFinding = z.output<typeof findingSchema>;
export type GatewayMessage = z.output<typeof messageSchema>;
type Relayed = z.output<typeof relayedSchema>;
/** Messages that the leader of a large fleet sends to all daemons. */
export type LeaderMessage = Relayed['message'];
/** A message of one daemon, whether it came directly or through a relay. */
export type PlainMessage = Exclude<GatewayMessage, { readonly kind: 'relayed' | 'states' }>;
export type StateEntry = z.output<typeof statesSchema>['states'][number];

/** Parses the message of a frame; undefined if it is invalid. */
export function parseGatewayMessage(frame: unknown): GatewayMessage | undefined {
  return messageSchema.safeParse(frame).data;
}

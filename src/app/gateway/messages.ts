/** What gateway daemons tell each other, checked on arrival. */

import * as z from 'zod';

import type { BackendServer, GatewayConfig } from '../../core/gateway/types';
import { brandAs } from '../../core/ids';
import type { DaemonId, FencingNumber, GroupId, InstanceId, ZoneId } from '../../core/ids';
import { toStoreEra } from '../../core/store-era';

const natural = z.number().min(0);
const daemonIdSchema = z.string().transform((id) => brandAs<DaemonId>(id));
const instanceIdSchema = z.string().transform((id) => brandAs<InstanceId>(id));

const eraSchema = z.number().transform((value, ctx) => {
  const era = toStoreEra(value);
  if (era !== undefined) return era;
  ctx.addIssue({ code: 'custom', message: 'no era of a store' });
  return z.NEVER;
});
const positionSchema = z.object({ era: eraSchema, revision: natural });

/** How far a daemon is, so that others can tell whether it lacks anything. */
const progressSchema = {
  /** Version of the configuration in force; 0 for none. */
  configVersion: natural,
  /** Point in the store's history at which the servers last changed, as far as is known there. */
  serversAt: positionSchema,
  /** The newest era of the store that is known there. */
  storeEra: eraSchema,
  /** The store cannot be reached from there. */
  isStoreLost: z.boolean(),
  /** Time since the store last answered there about the servers, milliseconds. */
  storeAgeMs: natural,
  /** Time since the store last answered there about the configuration, milliseconds; absent where it is not told. */
  configAgeMs: natural.optional(),
  hasTraffic: z.boolean(),
};

/** The lease row of a leader, so that others need not read it. */
const leaseSchema = z.object({
  /** Of the store: versions of other eras say nothing of it. */
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

/** By head of a group: how many times slower than usual its events came of late. */
const pacesSchema = z.array(z.tuple([instanceIdSchema, z.number().min(1)]));

/**
 * By server: requests a second that it takes from all daemons, null once it named none any more; time since the request
 * was sent whose answer said so, and since that was read, milliseconds.
 */
const limitsSchema = z
  .array(z.tuple([instanceIdSchema, natural.nullable(), natural, natural]))
  .default([]);

const stateSchema = z.object({
  kind: z.literal('state'),
  ...progressSchema,
  isStopping: z.boolean(),
  zone: z.string().transform((zone) => brandAs<ZoneId>(zone)),
  /** Processor cores that the daemon may use. */
  cores: natural,
  /** Whether this daemon hears a leader, or leads. */
  hearsLeader: z.boolean(),
  lease: leaseSchema.optional(),
  running: runningSchema,
  /** By head of a group with requests in flight here: time since any of them gave an event, milliseconds. */
  quiet: z.array(z.tuple([instanceIdSchema, natural])),
  paces: pacesSchema,
  /** By model: requests that wait here for a group, and how many come here in a second. */
  waiting: z.array(z.tuple([z.string(), natural, natural])),
  /** As servers said to this daemon. */
  limits: limitsSchema,
  /** Servers that said of late that they leave. */
  leaving: z.array(instanceIdSchema).default([]),
});

/** What the leader of a large fleet tells all, in place of what each would tell each. */
const loadsSchema = z.object({
  kind: z.literal('loads'),
  ...progressSchema,
  lease: leaseSchema,
  /** Daemons that the leader hears of, itself included. */
  daemons: natural,
  running: runningSchema,
  /** Means over the daemons that saw the groups; those at their usual pace are left out. */
  paces: pacesSchema,
  /** By model: daemons with requests that wait for it, how many wait, and how many come in a second. */
  waiting: z.array(z.tuple([z.string(), natural, natural, natural])),
  /** As servers said to any daemon. */
  limits: limitsSchema,
  leaving: z.array(instanceIdSchema).default([]),
  /** Daemons that are entered and give no sign. */
  silent: z.array(daemonIdSchema).default([]),
});

/**
 * What is believed of a group that gives no sign: one daemon saw its streams fall silent, or could not
 * reach it; enough daemons saw it; or its members were asked, and some are lost.
 */
const findings = z.enum(['seen', 'unreachable', 'confirmed', 'lost']);

/** A group that seems to stand still. */
const stalledSchema = z.object({
  kind: z.literal('stalled'),
  group: z.string().transform((id) => brandAs<GroupId>(id)),
  head: instanceIdSchema,
  finding: findings,
});

/** Sent on in the form in which this program holds them: all daemons run the same program. */
const configSchema = z.object({
  kind: z.literal('config'),
  config: z.custom<GatewayConfig>((value) => typeof value === 'object' && value !== null),
});

const serversSchema = z.object({
  kind: z.literal('servers'),
  at: positionSchema,
  servers: z.array(z.custom<BackendServer>((value) => typeof value === 'object' && value !== null)),
});

/** Changes of the servers from one point of an era of the store to a later one. */
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

/** What a server said, for those that send to it. */
const limitsMessageSchema = z.object({ kind: z.literal('limits'), limits: limitsSchema });

/** What a leader says to all; `to` are addresses that the receiver passes it on to. */
const relayedSchema = z.object({
  kind: z.literal('relayed'),
  to: z.array(z.string()),
  origin: z.object({ id: daemonIdSchema, address: z.string() }),
  message: z.discriminatedUnion('kind', [loadsSchema, newsSchema, stalledSchema]),
});

/** Statements of several daemons, as a relay collected them for the leader. */
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
  relayedSchema,
]);

export type PeerProgress = Pick<
  PeerState,
  'configVersion' | 'serversAt' | 'storeEra' | 'isStoreLost' | 'storeAgeMs' | 'configAgeMs'
>;
export type LoadsMessage = z.output<typeof loadsSchema>;
export type PeerState = z.output<typeof stateSchema>;
export type StallFinding = z.output<typeof findings>;
export type GatewayMessage = z.output<typeof messageSchema>;
type Relayed = z.output<typeof relayedSchema>;
/** What the leader of a large fleet says to all. */
export type LeaderMessage = Relayed['message'];
/** One statement of one daemon, however it came here. */
export type PlainMessage = Exclude<GatewayMessage, { readonly kind: 'relayed' | 'states' }>;
export type StateEntry = z.output<typeof statesSchema>['states'][number];

/** The message in a frame; undefined if no daemon sends such a one. */
export function parseGatewayMessage(frame: unknown): GatewayMessage | undefined {
  return messageSchema.safeParse(frame).data;
}

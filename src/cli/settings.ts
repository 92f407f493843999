/** Settings of `serve`: one table of flags and environment variables, validated together. */

import { randomInt } from 'node:crypto';
import { isIP } from 'node:net';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as z from 'zod';

import { brandAs } from '../core/ids';
import type { DaemonId, ZoneId } from '../core/ids';
import type { DaemonSettings } from '../app/settings';

const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const HASH = /^[0-9a-f]{64}$/;
const MAX_PORT = 65_535;
const MIN_SECRET_CHARS = 16;
const MAX_SEED = 0xffff_ffff;
const HOUR_MS = 3_600_000;

function isAddress(text: string): boolean {
  const colon = text.lastIndexOf(':');
  const host = text.slice(0, colon).replace(/^\[|\]$/g, '');
  const port = text.slice(colon + 1);
  return isIP(host) !== 0 && /^\d{1,5}$/.test(port) && Number(port) <= MAX_PORT;
}

function splitList(text: string): string[] {
  return text
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item !== '');
}

const address = z.string().refine(isAddress, 'must be an IP number and a port, as 10.0.0.1:8080');
const name = z
  .string()
  .regex(NAME, 'must be 1 to 63 letters, digits, dots, underscores or hyphens');
const path = z.string().min(1);

function integer(min: number, max: number): z.ZodType<number, string> {
  return z
    .string()
    .regex(/^\d+$/, 'must be a whole number')
    .transform(Number)
    .pipe(z.number().min(min).max(max));
}

/** One setting. The name of its environment variable is derived from the flag. */
export interface SettingSpec {
  readonly flag: string;
  readonly help: string;
  /** Default, as text. Where absent, the schema decides whether the setting is required. */
  readonly byDefault?: string;
  readonly schema: z.ZodType<unknown, string | undefined>;
}

/** Every setting of `serve`, by its field in `DaemonSettings`. */
export const SETTINGS = {
  id: { flag: 'id', help: 'Name of this daemon, unlike all others', schema: name },
  zone: { flag: 'zone', help: 'Availability zone of this instance', schema: name },
  listen: {
    flag: 'listen',
    help: 'Address for callers, host:port',
    byDefault: '127.0.0.1:8080',
    schema: address,
  },
  adminListen: {
    flag: 'admin-listen',
    help: 'Address for operators, host:port',
    byDefault: '127.0.0.1:8081',
    schema: address,
  },
  peerListen: {
    flag: 'peer-listen',
    help: 'Address for other daemons, host:port; they must reach it',
    byDefault: '127.0.0.1:8082',
    schema: address,
  },
  seeds: {
    flag: 'seeds',
    help: 'Peer addresses to join by, with commas between',
    byDefault: '',
    schema: z.string().transform(splitList).pipe(z.array(address)),
  },
  peerSecret: {
    flag: 'peer-secret',
    help: 'Shared by all daemons; better given by variable, since flags are seen in process lists',
    schema: z.string().min(MIN_SECRET_CHARS, `must have at least ${MIN_SECRET_CHARS} characters`),
  },
  peerTlsCert: {
    flag: 'peer-tls-cert',
    help: 'Certificate file for links between daemons',
    schema: path.optional(),
  },
  peerTlsKey: {
    flag: 'peer-tls-key',
    help: 'Private key file of that certificate',
    schema: path.optional(),
  },
  peerTlsCa: {
    flag: 'peer-tls-ca',
    help: 'Certificate authority file that peers are checked by',
    schema: path.optional(),
  },
  platform: {
    flag: 'platform',
    help: "Address of the platform's services, host:port",
    schema: address,
  },
  bootstrapKeyHash: {
    flag: 'bootstrap-key-hash',
    help: 'SHA-256 (hex) of a key that may submit the first configuration',
    schema: z.string().regex(HASH, 'must be a SHA-256 in lower-case hex').optional(),
  },
  otlpUrl: {
    flag: 'otlp-url',
    help: 'Where traces go by OTLP over HTTP; left out: nowhere',
    schema: z.url({ protocol: /^https?$/ }).optional(),
  },
  logLevel: {
    flag: 'log-level',
    help: 'error, warn, info or debug',
    byDefault: 'info',
    schema: z.enum(['error', 'warn', 'info', 'debug']),
  },
  seed: {
    flag: 'seed',
    help: 'Seed of every random choice; left out: a new one with each start',
    schema: integer(0, MAX_SEED).optional(),
  },
  maxBodyBytes: {
    flag: 'max-body-bytes',
    help: "Longest body of a caller's request",
    byDefault: '4194304',
    schema: integer(1024, 1 << 30),
  },
  maxHeaderBytes: {
    flag: 'max-header-bytes',
    help: "Longest header of a caller's request",
    byDefault: '16384',
    schema: integer(1024, 1 << 20),
  },
  maxConnections: {
    flag: 'max-connections',
    help: 'Open connections of callers',
    byDefault: '10000',
    schema: integer(1, 1_000_000),
  },
  drainWaitMs: {
    flag: 'drain-wait-ms',
    help: 'At a planned stop, time for the balancer to see that this daemon is not ready',
    byDefault: '5000',
    schema: integer(0, HOUR_MS),
  },
  drainLimitMs: {
    flag: 'drain-limit-ms',
    help: 'At a planned stop, longest wait for streams to finish',
    byDefault: '600000',
    schema: integer(0, 24 * HOUR_MS),
  },
  claimCommitsPerSecond: {
    flag: 'claim-commits-per-second',
    help: 'Transactions of claims a second that all daemons together may commit',
    byDefault: '200',
    schema: integer(1, 100_000),
  },
} as const satisfies Readonly<Record<string, SettingSpec>>;

type SettingName = keyof typeof SETTINGS;

/** One invalid or missing setting. */
export interface SettingFault {
  readonly flag: string;
  readonly variable: string;
  readonly message: string;
}

/** Parsed flags; the parser may have turned text into numbers or booleans. */
export type Flags = Readonly<Record<string, unknown>>;
/** Environment variables. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** The environment variable of a flag. */
export function variableOf(flag: string): string {
  return `NUTMEGSTACK_${flag.replaceAll('-', '_').toUpperCase()}`;
}

type Shape = { readonly [K in SettingName]: (typeof SETTINGS)[K]['schema'] };

const SHAPE = Object.fromEntries(
  Object.entries(SETTINGS).map(([key, spec]) => [key, spec.schema]),
) as unknown as Shape;

const SCHEMA = z.object(SHAPE);
type ParsedSettings = z.output<typeof SCHEMA>;

/** The text of a setting: flag, then environment variable, then default. */
function rawValue(spec: SettingSpec, flags: Flags, env: Environment): string | undefined {
  const flag = flags[spec.flag];
  if (typeof flag === 'string') return flag;
  if (typeof flag === 'number' || typeof flag === 'boolean') return String(flag);
  return env[variableOf(spec.flag)] ?? spec.byDefault;
}

function faultOf(spec: SettingSpec, message: string): SettingFault {
  return { flag: `--${spec.flag}`, variable: variableOf(spec.flag), message };
}

function faultsOf(
  error: z.ZodError,
  raw: Readonly<Record<string, string | undefined>>,
): SettingFault[] {
  return error.issues.map(({ path: [key], message }) => {
    const spec = SETTINGS[key as SettingName];
    return faultOf(spec, raw[key as SettingName] === undefined ? 'must be given' : message);
  });
}

/** Peer TLS needs all three files, or none. */
function checkTls(parsed: ParsedSettings): SettingFault[] {
  const { peerTlsCert, peerTlsKey, peerTlsCa } = parsed;
  const given = [peerTlsCert, peerTlsKey, peerTlsCa].filter((file) => file !== undefined);
  if (given.length === 0 || given.length === 3) return [];
  const message = 'certificate, key and certificate authority must be given together';
  return [SETTINGS.peerTlsCert, SETTINGS.peerTlsKey, SETTINGS.peerTlsCa]
    .filter((_, i) => [peerTlsCert, peerTlsKey, peerTlsCa][i] === undefined)
    .map((spec) => faultOf(spec, message));
}

function toSettings(parsed: ParsedSettings): DaemonSettings {
  const { id, zone, peerTlsCert, peerTlsKey, peerTlsCa, ...rest } = parsed;
  const { bootstrapKeyHash, otlpUrl, seed, ...required } = rest;
  const hasTls = peerTlsCert !== undefined && peerTlsKey !== undefined && peerTlsCa !== undefined;
  return {
    ...required,
    id: brandAs<DaemonId>(id),
    zone: brandAs<ZoneId>(zone),
    seed: seed ?? randomInt(MAX_SEED),
    ...(bootstrapKeyHash === undefined ? {} : { bootstrapKeyHash }),
    ...(otlpUrl === undefined ? {} : { otlpUrl }),
    ...(hasTls
      ? { peerTls: { certFile: peerTlsCert, keyFile: peerTlsKey, caFile: peerTlsCa } }
      : {}),
  };
}

/** Reads and validates the settings of `serve`; on failure, reports every invalid one. */
export function readSettings(
  flags: Flags,
  env: Environment,
): Result<DaemonSettings, readonly SettingFault[]> {
  const raw = Object.fromEntries(
    Object.entries(SETTINGS).map(([key, spec]) => [key, rawValue(spec, flags, env)]),
  );
  const parsed = SCHEMA.safeParse(raw);
  if (!parsed.success) return err(faultsOf(parsed.error, raw));
  const faults = checkTls(parsed.data);
  return faults.length > 0 ? err(faults) : ok(toSettings(parsed.data));
}

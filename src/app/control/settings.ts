/** Settings of the control plane, and its intervals, which grow with the size of the system. */

import { DOMAIN_SETTINGS } from '../../core/groups/domain-types';
import type { DomainSettings } from '../../core/groups/domain-types';
import { LEASE_SETTINGS } from '../../core/lease/types';
import type { LeaseSettings } from '../../core/lease/types';

/** Settings of the control plane; times in milliseconds. */
export interface ControlSettings {
  readonly lease: LeaseSettings;
  readonly domain: DomainSettings;
  /** Interval at which deadlines are checked. */
  readonly tickMs: number;
  /** Minimum interval between probes of one instance by this daemon. */
  readonly probeMs: number;
  /** Maximum bytes per second that this daemon spends on probes. */
  readonly probeBytesPerSecond: number;
  /** Minimum interval between scans of all groups, and of all leases. */
  readonly pollMs: number;
  /** Maximum bytes per second for scans of all groups, which only back up the faster gossip. */
  readonly pollBytesPerSecond: number;
  /** Maximum scans of groups per second by all daemons together, and as many of leases. */
  readonly scansPerSecond: number;
  /** Minimum interval between reads of the instance list. */
  readonly listMs: number;
  /** Maximum bytes per second for the instance list, unless this daemon is a lister. */
  readonly listBytesPerSecond: number;
  /** Minimum interval between statements that groups are complete. */
  readonly statementMs: number;
  /** Number of daemons besides the domain's holder that probe a group. */
  readonly observers: number;
  /** Maximum on-demand probes per second. */
  readonly onDemandProbesPerSecond: number;
  /** Maximum time that a stop waits for leases to be released. */
  readonly stopTimeoutMs: number;
}

export const CONTROL_SETTINGS: ControlSettings = {
  lease: LEASE_SETTINGS,
  domain: DOMAIN_SETTINGS,
  tickMs: 100,
  probeMs: 1_000,
  probeBytesPerSecond: 8_000,
  pollMs: 2_000,
  pollBytesPerSecond: 4_000,
  scansPerSecond: 200,
  listMs: 1_000,
  listBytesPerSecond: 2_000,
  statementMs: 1_000,
  observers: 1,
  onDemandProbesPerSecond: 64,
  stopTimeoutMs: 3_000,
};

/** Partial settings; the rest take their defaults. */
export interface ControlOverrides extends Partial<Omit<ControlSettings, 'lease' | 'domain'>> {
  readonly lease?: Partial<LeaseSettings>;
  readonly domain?: Partial<DomainSettings>;
}

/** Fills in the defaults. */
export function settingsFrom(overrides: ControlOverrides = {}): ControlSettings {
  return {
    ...CONTROL_SETTINGS,
    ...overrides,
    lease: { ...LEASE_SETTINGS, ...overrides.lease },
    domain: { ...DOMAIN_SETTINGS, ...overrides.domain },
  };
}

/** Bytes of one probe and its answer on the wire, without TCP headers. */
const PROBE_BYTES = 475;
/** Bytes of one entry of the instance list. */
const LIST_ENTRY_BYTES = 150;
/** Bytes of a group's row divided by its members; computed for 4 members. */
const GROUP_MEMBER_BYTES = 120;
const MS_PER_SECOND = 1_000;
/** Minimum interval between statements for each peer; bounds the receivers' time spent on them. */
const STATEMENT_MS_PER_PEER = 80;
/** Number of intervals for which an observation is valid. */
const VALID_INTERVALS = 3;

/** Counts that the intervals depend on. */
export interface SystemSize {
  /** Instances that this daemon probes. */
  readonly probedInstances: number;
  readonly peers: number;
  readonly listedInstances: number;
  /** Total members of all groups. */
  readonly groupMembers: number;
  /** Whether this daemon is one of the few that read the instance list often. */
  readonly isLister: boolean;
}

/** Assumed until the first instance list and groups are read. */
export const INITIAL_SIZE: SystemSize = {
  probedInstances: 0,
  peers: 1,
  listedInstances: 0,
  groupMembers: 0,
  isLister: true,
};

/** Current intervals of the control plane's periodic work, milliseconds. */
export interface Intervals {
  readonly probeMs: number;
  readonly statementMs: number;
  /** How long an observation by this daemon's own probe is valid. */
  readonly probeValidMs: number;
  /** How much longer a statement is valid than the probes it is based on. */
  readonly statementExtraMs: number;
  readonly pollMs: number;
  /** Between scans of all leases; the takeover of a lapsed lease waits for one. */
  readonly leaseMs: number;
  readonly listMs: number;
}

/** Computes intervals that bound a daemon's probes, scans and messages in a fleet of any size. */
export function intervalsFor(settings: ControlSettings, size: SystemSize): Intervals {
  const intervalMs = (bytes: number, budget: number) => (bytes / budget) * MS_PER_SECOND;
  const probeBudgetMs = intervalMs(
    size.probedInstances * PROBE_BYTES,
    settings.probeBytesPerSecond,
  );
  const probeMs = Math.max(settings.probeMs, probeBudgetMs);
  const statementMs = Math.max(settings.statementMs, size.peers * STATEMENT_MS_PER_PEER);
  const scanBudgetMs = (size.peers * MS_PER_SECOND) / settings.scansPerSecond;
  const rowBytes = size.groupMembers * GROUP_MEMBER_BYTES;
  const readBudgetMs = intervalMs(rowBytes, settings.pollBytesPerSecond);
  const listBudgetMs = intervalMs(
    size.listedInstances * LIST_ENTRY_BYTES,
    settings.listBytesPerSecond,
  );
  return {
    probeMs,
    statementMs,
    probeValidMs: VALID_INTERVALS * probeMs,
    // Statements that are sent less often must be valid for longer.
    statementExtraMs: (VALID_INTERVALS - 1) * (statementMs - settings.statementMs),
    pollMs: Math.max(settings.pollMs, scanBudgetMs, readBudgetMs),
    leaseMs: Math.max(settings.pollMs, scanBudgetMs),
    listMs: size.isLister ? settings.listMs : Math.max(settings.listMs, listBudgetMs),
  };
}

/** Settings of the control plane, and how its rates follow the size of the system. */

import { DOMAIN_SETTINGS } from '../../core/groups/domain-types';
import type { DomainSettings } from '../../core/groups/domain-types';
import { LEASE_SETTINGS } from '../../core/lease/types';
import type { LeaseSettings } from '../../core/lease/types';

export interface ControlSettings {
  readonly lease: LeaseSettings;
  readonly domain: DomainSettings;
  /** How often deadlines are looked at. */
  readonly tickMs: number;
  /** Shortest time between two probes of one instance by this daemon. */
  readonly probeMs: number;
  /** Most bytes a second that this daemon spends on probes. */
  readonly probeBytesPerSecond: number;
  /** Shortest time between two reads of all groups, and of all leases. */
  readonly pollMs: number;
  /** Bytes a second that this daemon spends on reading all groups; gossip is faster. */
  readonly pollBytesPerSecond: number;
  /** Scans a second that all daemons together may spend on groups, and as many on leases. */
  readonly scansPerSecond: number;
  /** Shortest time between two reads of the instance list. */
  readonly listMs: number;
  /** Bytes a second that this daemon spends on the instance list, unless it is a lister. */
  readonly listBytesPerSecond: number;
  /** Shortest time between two statements that groups are well. */
  readonly stateMs: number;
  /** Daemons besides the domain's holder that probe a group. */
  readonly observers: number;
  /** Probes a second on the request plane's demand. */
  readonly demandPerSecond: number;
  /** Longest wait for leases to be handed back at stop. */
  readonly stopMs: number;
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
  stateMs: 1_000,
  observers: 1,
  demandPerSecond: 64,
  stopMs: 3_000,
};

/** Any part of the settings. */
export interface ControlOverrides extends Partial<Omit<ControlSettings, 'lease' | 'domain'>> {
  readonly lease?: Partial<LeaseSettings>;
  readonly domain?: Partial<DomainSettings>;
}

export function settingsFrom(overrides: ControlOverrides = {}): ControlSettings {
  return {
    ...CONTROL_SETTINGS,
    ...overrides,
    lease: { ...LEASE_SETTINGS, ...overrides.lease },
    domain: { ...DOMAIN_SETTINGS, ...overrides.domain },
  };
}

/** What one probe and its answer take on the wire, without TCP's own headers. */
const PROBE_BYTES = 475;
/** One entry of the instance list, bytes. */
const LIST_ENTRY_BYTES = 150;
/** One member's part of a group's row, the rest of the row shared out; computed for 4 members. */
const GROUP_MEMBER_BYTES = 120;
const MS_PER_SECOND = 1_000;
/** Statements of a peer that cost the receivers this much time between two of them. */
const STATE_MS_PER_PEER = 80;
/** An observation counts for this many of the intervals that renew it. */
const FRESH_INTERVALS = 3;

/** What the rates depend on. */
export interface Load {
  readonly probed: number;
  readonly peers: number;
  readonly listed: number;
  /** Members of all groups. */
  readonly grouped: number;
  /** One of the few daemons that read the instance list often. */
  readonly isLister: boolean;
}

/** Before anything is known. */
export const NO_LOAD: Load = { probed: 0, peers: 1, listed: 0, grouped: 0, isLister: true };

export interface Pace {
  readonly probeMs: number;
  readonly stateMs: number;
  /** How long an own probe counts. */
  readonly freshMs: number;
  /** How much longer a statement counts than the probes that it rests on. */
  readonly statedExtraMs: number;
  readonly pollMs: number;
  /** Between two reads of all leases, on which their takeover waits. */
  readonly leaseMs: number;
  readonly listMs: number;
}

/** Intervals that keep a daemon's share of probes, scans and messages bounded at any size. */
export function paceOf(settings: ControlSettings, load: Load): Pace {
  const perSecond = (bytes: number, budget: number) => (bytes / budget) * MS_PER_SECOND;
  const probing = perSecond(load.probed * PROBE_BYTES, settings.probeBytesPerSecond);
  const probeMs = Math.max(settings.probeMs, probing);
  const stateMs = Math.max(settings.stateMs, load.peers * STATE_MS_PER_PEER);
  const polling = (load.peers * MS_PER_SECOND) / settings.scansPerSecond;
  const rowBytes = load.grouped * GROUP_MEMBER_BYTES;
  const reading = perSecond(rowBytes, settings.pollBytesPerSecond);
  const listing = perSecond(load.listed * LIST_ENTRY_BYTES, settings.listBytesPerSecond);
  return {
    probeMs,
    stateMs,
    freshMs: FRESH_INTERVALS * probeMs,
    // Statements that come seldom must hold for longer.
    statedExtraMs: (FRESH_INTERVALS - 1) * (stateMs - settings.stateMs),
    pollMs: Math.max(settings.pollMs, polling, reading),
    leaseMs: Math.max(settings.pollMs, polling),
    listMs: load.isLister ? settings.listMs : Math.max(settings.listMs, listing),
  };
}

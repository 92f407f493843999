/** Reads and commits the control plane's rows in the table service. */

import { okAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';

import type { GroupTransaction, GroupWrite } from '../../core/groups/domain-types';
import { GROUP_PREFIX, instanceKey, keyOf } from '../../core/groups/rows';
import type { GroupRow, InstanceRow, Versioned } from '../../core/groups/types';
import type { DomainId, Epoch, FencingNumber, InstanceId } from '../../core/ids';
import type { FenceRow, LeaseEffect, LeaseRow } from '../../core/lease/types';
import type { Condition, Row, Table, Write } from '../../ports/platform';
import type { StepError } from '../../utils/errors';
import {
  decodeFence,
  decodeGroup,
  decodeInstance,
  decodeLease,
  encode,
  decodeVersioned,
} from './codec';

const LEASE_PREFIX = 'lease/';
const FENCE_SUFFIX = '#fence';
const DRAIN_PREFIX = 'drain/';

/** A domain's lease row and fence row, where they exist. */
export interface LeaseRows {
  readonly domain: DomainId;
  readonly lease?: Versioned<LeaseRow>;
  readonly fence?: Versioned<FenceRow>;
}

/** Rows that the holder of a domain reads once it has acquired the lease. */
export interface DomainRows {
  readonly groups: readonly Versioned<GroupRow>[];
  readonly instances: readonly Versioned<InstanceRow>[];
  /** Instances that operators marked for draining. */
  readonly drained: readonly InstanceId[];
}

/** Commit effect of the lease reducer. */
export type LeaseCommit = Extract<LeaseEffect, { kind: 'commit' }>;

/** Versions of a lease's two rows after a commit. */
export interface LeaseVersions {
  readonly version: number;
  readonly fenceVersion: number;
}

/** Typed access to the control plane's rows; errors are those of the table. */
export interface ControlStore {
  scanLeases(): ResultAsync<readonly LeaseRows[], StepError>;
  readLease(domain: DomainId): ResultAsync<LeaseRows, StepError>;
  commitLease(domain: DomainId, commit: LeaseCommit): ResultAsync<LeaseVersions, StepError>;
  scanGroups(): ResultAsync<readonly Versioned<GroupRow>[], StepError>;
  readDomain(
    domain: DomainId,
    instances: readonly InstanceId[],
  ): ResultAsync<DomainRows, StepError>;
  /** Commits on condition that the domain's fence row is unchanged; returns the new versions by key. */
  commitGroups(
    domain: DomainId,
    tx: GroupTransaction,
  ): ResultAsync<Readonly<Record<string, number>>, StepError>;
  /** Records an operator's request to drain an instance. */
  markDrained(instance: InstanceId): ResultAsync<void, StepError>;
}

function leaseKey(domain: DomainId): string {
  return `${LEASE_PREFIX}${domain}`;
}

function fenceKey(domain: DomainId): string {
  return `${leaseKey(domain)}${FENCE_SUFFIX}`;
}

/** All rows whose keys begin with `prefix`, read page by page. */
function scanAll(
  table: Table,
  prefix: string,
  after?: string,
): ResultAsync<readonly Row[], StepError> {
  return table.scan(prefix, after).andThen((page) => {
    if (page.after === undefined) return okAsync(page.rows);
    return scanAll(table, prefix, page.after).map((others) => [...page.rows, ...others]);
  });
}

function leaseRows(domain: DomainId, rows: ReadonlyMap<string, Row>): LeaseRows {
  const lease = decodeVersioned(rows.get(leaseKey(domain)), decodeLease);
  const fence = decodeVersioned(rows.get(fenceKey(domain)), decodeFence);
  return { domain, ...(lease && { lease }), ...(fence && { fence }) };
}

function byKey(rows: readonly Row[]): ReadonlyMap<string, Row> {
  return new Map(rows.map((row) => [row.key, row]));
}

function groupRows(rows: readonly Row[]): readonly Versioned<GroupRow>[] {
  return rows.flatMap((row) => decodeVersioned(row, decodeGroup) ?? []);
}

function emptyInstanceRow(instance: InstanceId): Versioned<InstanceRow> {
  return { version: 0, row: { instance, epoch: 0 as Epoch, fencing: 0 as FencingNumber } };
}

function toWrite(write: GroupWrite): Write {
  const key = keyOf(write);
  return write.row ? { key, value: encode(write.row) } : { key };
}

export function createStore(table: Table): ControlStore {
  return {
    scanLeases: () =>
      scanAll(table, LEASE_PREFIX).map((rows) => {
        const keyed = byKey(rows);
        const keys = rows.map((row) => row.key).filter((key) => !key.endsWith(FENCE_SUFFIX));
        return keys.map((key) => leaseRows(key.slice(LEASE_PREFIX.length) as DomainId, keyed));
      }),
    readLease: (domain) =>
      table
        .read([leaseKey(domain), fenceKey(domain)])
        .map((rows) => leaseRows(domain, byKey(rows))),
    commitLease: (domain, commit) => {
      const conditions: Condition[] = [{ key: leaseKey(domain), version: commit.leaseVersion }];
      const writes: Write[] = [{ key: leaseKey(domain), value: encode(commit.row) }];
      if (commit.fenceVersion !== undefined) {
        const fence: FenceRow = { fencing: commit.row.fencing };
        conditions.push({ key: fenceKey(domain), version: commit.fenceVersion });
        writes.push({ key: fenceKey(domain), value: encode(fence) });
      }
      return table.commit({ conditions, writes }).map(({ versions }) => ({
        version: versions[leaseKey(domain)] ?? 0,
        fenceVersion: versions[fenceKey(domain)] ?? 0,
      }));
    },
    scanGroups: () => scanAll(table, GROUP_PREFIX).map(groupRows),
    readDomain: (domain, instances) => readDomain(table, domain, instances),
    commitGroups: (domain, tx) => {
      const guarded = tx.writes.flatMap(({ write, version }) =>
        version === undefined ? [] : [{ key: keyOf(write), version }],
      );
      const fence = { key: fenceKey(domain), version: tx.fenceVersion };
      const writes = tx.writes.map(({ write }) => toWrite(write));
      return table
        .commit({ conditions: [fence, ...guarded], writes })
        .map(({ versions }) => versions);
    },
    markDrained: (instance) =>
      table
        .commit({
          conditions: [],
          writes: [{ key: `${DRAIN_PREFIX}${instance}`, value: { instance } }],
        })
        .map(() => undefined),
  };
}

function readDomain(
  table: Table,
  domain: DomainId,
  instances: readonly InstanceId[],
): ResultAsync<DomainRows, StepError> {
  return scanAll(table, `${GROUP_PREFIX}${domain}.`).andThen((scanned) => {
    const groups = groupRows(scanned).filter(({ row }) => row.domain === domain);
    const members = groups.flatMap(({ row }) => row.members.map((member) => member.instance));
    const ids = [...new Set([...instances, ...members])];
    const keys = ids.flatMap((id) => [instanceKey(id), `${DRAIN_PREFIX}${id}`]);
    const read = keys.length === 0 ? okAsync([]) : table.read(keys);
    return read.map((rows) => {
      const keyed = byKey(rows);
      return {
        groups,
        instances: ids.map(
          (id) =>
            decodeVersioned(keyed.get(instanceKey(id)), decodeInstance) ?? emptyInstanceRow(id),
        ),
        drained: ids.filter((id) => keyed.has(`${DRAIN_PREFIX}${id}`)),
      };
    });
  });
}

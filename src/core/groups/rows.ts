/** Keys of group, instance and slot rows, and the transactions that write them. */

import type { Epoch, FencingNumber, GroupId, InstanceId, ModelId } from '../ids';
import type { DomainState, GroupTransaction, ConditionalWrite, GroupWrite } from './domain-types';
import type { GroupRow, InstanceRow, Member } from './types';

/** Prefix of the keys of all group rows. */
export const GROUP_PREFIX = 'group/';

/** The key of a group's row. */
export function groupKey(id: GroupId): string {
  return `${GROUP_PREFIX}${id}`;
}

/** The key of an instance's row. */
export function instanceKey(id: InstanceId): string {
  return `instance/${id}`;
}

/** The key of the row of a model's replica slot. */
export function slotKey(model: ModelId, slot: number): string {
  return `slot/${model}/${slot}`;
}

const KEY_OF: {
  readonly [K in GroupWrite['kind']]: (write: Extract<GroupWrite, { kind: K }>) => string;
} = {
  group: ({ id }) => groupKey(id),
  instance: ({ id }) => instanceKey(id),
  slot: ({ model, slot }) => slotKey(model, slot),
};

/** The key of the row that a write affects. */
export function keyOf(write: GroupWrite): string {
  const key = KEY_OF[write.kind] as (write: GroupWrite) => string;
  return key(write);
}

function instanceVersion(state: DomainState, id: InstanceId): number {
  return state.instanceRows[id]?.version ?? 0;
}

function instanceWrite(
  state: DomainState,
  id: InstanceId,
  row: Pick<InstanceRow, 'epoch' | 'fencing'> & { readonly group?: GroupId },
): ConditionalWrite {
  return {
    write: { kind: 'instance', id, row: { instance: id, ...row } },
    version: instanceVersion(state, id),
  };
}

/** Fields of a group's row that a change may set. */
export interface GroupChange {
  readonly epoch?: Epoch;
  readonly phase?: GroupRow['phase'];
  readonly members?: readonly Member[];
}

/** The transaction that creates a group and fills its slot. */
export function formGroup(state: DomainState, row: GroupRow, fenceVersion: number) {
  const writes: ConditionalWrite[] = [
    { write: { kind: 'group', id: row.id, row }, version: 0 },
    ...row.members.map(({ instance }) =>
      instanceWrite(state, instance, { group: row.id, epoch: row.epoch, fencing: row.fencing }),
    ),
  ];
  if (row.slot !== undefined) {
    const slot = { model: row.model, slot: row.slot, group: row.id };
    writes.push({
      write: { kind: 'slot', model: row.model, slot: row.slot, row: slot },
      version: 0,
    });
  }
  return transaction(state, 'form', fenceVersion, writes);
}

/** The transaction that changes a group's row and the rows of members that join or leave it. */
export function changeGroup(
  state: DomainState,
  id: GroupId,
  change: GroupChange,
  reason: string,
): GroupTransaction | undefined {
  const current = state.groups[id];
  if (!current || !state.lease) return undefined;
  const { fencing, fenceVersion } = state.lease;
  const row: GroupRow = { ...current.row, ...change, fencing };
  const before = current.row.members.map(({ instance }) => instance);
  const after = row.members.map(({ instance }) => instance);
  const writes: ConditionalWrite[] = [
    { write: { kind: 'group', id, row }, version: current.version },
    ...freeInstances(state, difference(before, after), row.epoch, fencing),
    ...difference(after, before).map((instance) =>
      instanceWrite(state, instance, { group: id, epoch: row.epoch, fencing }),
    ),
  ];
  return transaction(state, reason, fenceVersion, writes);
}

/** The transaction that dissolves a group: deletes its row and slot, and frees its instances. */
export function dissolveGroup(
  state: DomainState,
  id: GroupId,
  reason: string,
): GroupTransaction | undefined {
  const current = state.groups[id];
  if (!current || !state.lease) return undefined;
  const { fencing, fenceVersion } = state.lease;
  const { model, slot, members, epoch } = current.row;
  const instances = members.map(({ instance }) => instance);
  const writes: ConditionalWrite[] = [
    { write: { kind: 'group', id }, version: current.version },
    ...freeInstances(state, instances, epoch, fencing),
  ];
  if (slot !== undefined) writes.push({ write: { kind: 'slot', model, slot } });
  return transaction(state, reason, fenceVersion, writes);
}

function freeInstances(
  state: DomainState,
  instances: readonly InstanceId[],
  epoch: Epoch,
  fencing: FencingNumber,
): readonly ConditionalWrite[] {
  return instances.map((instance) => instanceWrite(state, instance, { epoch, fencing }));
}

function difference(
  from: readonly InstanceId[],
  others: readonly InstanceId[],
): readonly InstanceId[] {
  return from.filter((instance) => !others.includes(instance));
}

function transaction(
  state: DomainState,
  reason: string,
  fenceVersion: number,
  writes: readonly ConditionalWrite[],
): GroupTransaction {
  return { id: state.seq, reason, fenceVersion, writes };
}

/** The state after a committed transaction; `versions` are those of the written rows, by key. */
export function applyTransaction(
  state: DomainState,
  tx: GroupTransaction,
  versions: Readonly<Record<string, number>>,
): DomainState {
  const groups = { ...state.groups };
  const instanceRows = { ...state.instanceRows };
  for (const { write } of tx.writes) {
    const version = versions[keyOf(write)] ?? 0;
    if (write.kind === 'instance') instanceRows[write.id] = { version, row: write.row };
    if (write.kind !== 'group') continue;
    if (write.row) groups[write.id] = { version, row: write.row };
    else Reflect.deleteProperty(groups, write.id);
  }
  return { ...state, groups, instanceRows };
}

/** Keys of the rows of groups, and the transactions that change them. */

import type { Epoch, FencingNumber, GroupId, InstanceId, ModelId } from '../ids';
import type { DomainState, GroupTransaction, ConditionalWrite, GroupWrite } from './domain-types';
import type { GroupRow, InstanceRow, Member } from './types';

export const GROUP_PREFIX = 'group/';

export function groupKey(id: GroupId): string {
  return `${GROUP_PREFIX}${id}`;
}

export function instanceKey(id: InstanceId): string {
  return `instance/${id}`;
}

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

/** The key of the row that a write changes. */
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

/** What a change of a group's row may set. */
export interface GroupChange {
  readonly epoch?: Epoch;
  readonly phase?: GroupRow['phase'];
  readonly members?: readonly Member[];
}

/** The transaction that forms a group and takes its slot. */
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

/** The transaction that changes a group's row and the rows of members that come or go. */
export function changeGroup(
  state: DomainState,
  id: GroupId,
  change: GroupChange,
  reason: string,
): GroupTransaction | undefined {
  const held = state.groups[id];
  if (!held || !state.lease) return undefined;
  const { fencing, fenceVersion } = state.lease;
  const row: GroupRow = { ...held.row, ...change, fencing };
  const before = held.row.members.map(({ instance }) => instance);
  const after = row.members.map(({ instance }) => instance);
  const writes: ConditionalWrite[] = [
    { write: { kind: 'group', id, row }, version: held.version },
    ...freed(state, without(before, after), row.epoch, fencing),
    ...without(after, before).map((instance) =>
      instanceWrite(state, instance, { group: id, epoch: row.epoch, fencing }),
    ),
  ];
  return transaction(state, reason, fenceVersion, writes);
}

/** The transaction that ends a group: its row and slot go, its instances are free. */
export function dissolveGroup(
  state: DomainState,
  id: GroupId,
  reason: string,
): GroupTransaction | undefined {
  const held = state.groups[id];
  if (!held || !state.lease) return undefined;
  const { fencing, fenceVersion } = state.lease;
  const { model, slot, members, epoch } = held.row;
  const instances = members.map(({ instance }) => instance);
  const writes: ConditionalWrite[] = [
    { write: { kind: 'group', id }, version: held.version },
    ...freed(state, instances, epoch, fencing),
  ];
  if (slot !== undefined) writes.push({ write: { kind: 'slot', model, slot } });
  return transaction(state, reason, fenceVersion, writes);
}

function freed(
  state: DomainState,
  instances: readonly InstanceId[],
  epoch: Epoch,
  fencing: FencingNumber,
): readonly ConditionalWrite[] {
  return instances.map((instance) => instanceWrite(state, instance, { epoch, fencing }));
}

function without(
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

/** The state after a transaction whose commit is known. */
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

/** Members as gossip entries; one version number orders incarnations and states. */

import * as z from 'zod';

import type { ConfigVersion, DaemonId, EpochTime, ZoneId } from '../ids';
import { brandAs, later } from '../ids';
import { MEMBER_STATES } from './types';
import type { Entry, MemberRecord, MemberState } from './types';

/** Topic of the entries of members. */
export const MEMBER_TOPIC = 'member';

const NEVER = brandAs<EpochTime>(Number.MAX_SAFE_INTEGER);

const valueSchema = z.object({
  address: z.string().min(1),
  zone: z.string().transform((text) => brandAs<ZoneId>(text)),
  state: z.enum(MEMBER_STATES),
  incarnation: z.int().min(0),
  configVersion: z
    .int()
    .min(0)
    .transform((n) => brandAs<ConfigVersion>(n)),
});

/** Orders by incarnation, then by state: a dead member stays dead until it raises its incarnation. */
export function memberVersion(incarnation: number, state: MemberState): number {
  return incarnation * MEMBER_STATES.length + MEMBER_STATES.indexOf(state);
}

/** The entry of a member; by default it never expires. */
export function memberEntry(record: MemberRecord, expiresAt: EpochTime = NEVER): Entry {
  const { id, ...value } = record;
  return {
    topic: MEMBER_TOPIC,
    key: id,
    origin: id,
    version: memberVersion(record.incarnation, record.state),
    value,
    expiresAt,
  };
}

/** The entry of a member that has failed to `state` in its current incarnation. */
export function failedMemberEntry(
  record: MemberRecord,
  state: MemberState,
  epoch: EpochTime,
  ttlMs: number,
): Entry {
  return memberEntry({ ...record, state }, state === 'dead' ? later(epoch, ttlMs) : NEVER);
}

/** The member that an entry describes; undefined if the entry is malformed. */
export function parseMember(entry: Entry): MemberRecord | undefined {
  const parsed = valueSchema.safeParse(entry.value);
  if (!parsed.success || entry.origin !== entry.key) return undefined;
  const record: MemberRecord = { id: entry.key as DaemonId, ...parsed.data };
  return memberVersion(record.incarnation, record.state) === entry.version ? record : undefined;
}

/** Whether the member is not dead. */
export function isPresent(record: MemberRecord): boolean {
  return record.state !== 'dead';
}

/** Members as entries: states and incarnations ordered by one version number. */

import * as z from 'zod';

import type { ConfigVersion, DaemonId, EpochTime, ZoneId } from '../ids';
import { brandAs, later } from '../ids';
import { MEMBER_STATES } from './types';
import type { Entry, MemberRecord, MemberState } from './types';

export const MEMBER_TOPIC = 'member';

const FOREVER = brandAs<EpochTime>(Number.MAX_SAFE_INTEGER);

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

/** Orders by incarnation, then by state: the dead stay dead until they raise their incarnation. */
export function memberVersion(incarnation: number, state: MemberState): number {
  return incarnation * MEMBER_STATES.length + MEMBER_STATES.indexOf(state);
}

export function memberEntry(record: MemberRecord, expiresAt: EpochTime = FOREVER): Entry {
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

/** The entry that says that a member has fallen to `state` in its present incarnation. */
export function failedMemberEntry(
  record: MemberRecord,
  state: MemberState,
  epoch: EpochTime,
  ttlMs: number,
): Entry {
  return memberEntry({ ...record, state }, state === 'dead' ? later(epoch, ttlMs) : FOREVER);
}

/** The member that an entry tells of; undefined if the entry is not in order. */
export function parseMember(entry: Entry): MemberRecord | undefined {
  const parsed = valueSchema.safeParse(entry.value);
  if (!parsed.success || entry.origin !== entry.key) return undefined;
  const record: MemberRecord = { id: entry.key as DaemonId, ...parsed.data };
  return memberVersion(record.incarnation, record.state) === entry.version ? record : undefined;
}

export function isPresent(record: MemberRecord): boolean {
  return record.state !== 'dead';
}

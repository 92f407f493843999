/** Chooses replica groups by the decisions of `core/routing`, and tells them how attempts went. */

import type { RoutableGroup } from '../../core/groups/types';
import type { AttemptId, GroupId, OrganisationId } from '../../core/ids';
import { brandAs } from '../../core/ids';
import {
  chooseGroup,
  createRouting,
  onEnd,
  onFirstToken,
  onLoadReport,
  onSent,
} from '../../core/routing/routing';
import type { Clock, Random } from '../../ports/runtime';
import { hashParts } from '../../utils/common';

/** Prefixes of a prompt that are looked at, at most. */
const MAX_PREFIXES = 8;
const LOAD = /^(\d+)\/(\d+)\/\d+$/;

/** What the choice depends on. */
export interface GroupQuery {
  readonly groups: readonly RoutableGroup[];
  readonly tried: ReadonlySet<string>;
  readonly prefixKeys: readonly string[];
  readonly organisation: OrganisationId;
}

/** What is kept of a request that was sent. */
export interface SentRequest extends Pick<GroupQuery, 'prefixKeys' | 'organisation'> {
  /** Only the first token of a stream tells how fast a group begins. */
  readonly streams: boolean;
}

export interface GroupSelector {
  select(req: GroupQuery): RoutableGroup | undefined;
  sent(attempt: AttemptId, group: GroupId, req: SentRequest): void;
  firstToken(attempt: AttemptId): void;
  /** To be called for each attempt that was chosen, sent or not. */
  end(attempt: AttemptId, tokens: number): void;
  /** Takes the load header of an answer; one that cannot be read is passed over. */
  load(group: GroupId, header: string | undefined): void;
}

/** Hashes of the prompt's beginnings, shortest first: each part joined to those before it. */
export function prefixKeysOf(parts: readonly string[]): readonly string[] {
  const keys: string[] = [];
  for (const part of parts.slice(0, MAX_PREFIXES)) keys.push(hashParts(keys.at(-1) ?? '', part));
  return keys;
}

export function createGroupSelector(clock: Clock, random: Random): GroupSelector {
  const state = createRouting();
  const now = () => ({ now: clock.now() });
  return {
    select: ({ groups, tried, prefixKeys, organisation }) => {
      const exclude = new Set([...tried].map((id) => brandAs<GroupId>(id)));
      const req = { groups, exclude, prefixKeys, organisation };
      return chooseGroup(state, req, { now: clock.now(), random }).group;
    },
    sent: (attempt, group, sent) => {
      onSent(state, { attempt, group, ...sent }, now());
    },
    firstToken: (attempt) => {
      onFirstToken(state, { attempt }, now());
    },
    end: (attempt, tokens) => {
      onEnd(state, { attempt, tokens }, now());
    },
    load: (group, header) => {
      const found = LOAD.exec(header ?? '');
      if (found === null) return;
      const report = { group, inFlight: Number(found[1]), queued: Number(found[2]) };
      onLoadReport(state, report, now());
    },
  };
}

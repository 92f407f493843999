/**
 * Selects replica groups. The decisions are made in `core/routing`, which learns from how attempts
 * went.
 */

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

/** Maximum number of prompt prefixes used for routing. */
const MAX_PREFIXES = 8;
/** The load header: running, queued and maximum requests of the engine's batch. */
const LOAD = /^(\d+)\/(\d+)\/\d+$/;

/** Input of a group selection. */
export interface GroupQuery {
  readonly groups: readonly RoutableGroup[];
  readonly tried: ReadonlySet<string>;
  readonly prefixKeys: readonly string[];
  readonly organisation: OrganisationId;
}

/** Properties of a sent request that routing tracks. */
export interface SentRequest extends Pick<GroupQuery, 'prefixKeys' | 'organisation'> {
  /** Whether the answer is streamed: only streams show the time to the first token. */
  readonly streams: boolean;
}

/** Selects groups and reports attempts to routing. */
export interface GroupSelector {
  /** Returns the selected group, or undefined if no untried group is eligible. */
  select(req: GroupQuery): RoutableGroup | undefined;
  /** Called when an attempt is sent. */
  sent(attempt: AttemptId, group: GroupId, req: SentRequest): void;
  /** Called when the first token of an answer arrives. */
  firstToken(attempt: AttemptId): void;
  /** Must be called for each attempt whose group was selected, whether it was sent or not. */
  end(attempt: AttemptId, tokens: number): void;
  /** Applies the load header of an answer. Malformed headers are ignored. */
  load(group: GroupId, header: string | undefined): void;
}

/**
 * Returns the hashes of the prompt's prefixes, shortest first. Each hash covers one more part than
 * the one before.
 */
export function prefixKeysOf(parts: readonly string[]): readonly string[] {
  const keys: string[] = [];
  for (const part of parts.slice(0, MAX_PREFIXES)) keys.push(hashParts(keys.at(-1) ?? '', part));
  return keys;
}

/** Creates a group selector with its own routing state. */
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
      const match = LOAD.exec(header ?? '');
      if (match === null) return;
      const report = { group, inFlight: Number(match[1]), queued: Number(match[2]) };
      onLoadReport(state, report, now());
    },
  };
}

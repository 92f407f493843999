/** State of a simulated engine server. */

import type { MemberState } from '../../src/core/gateway/types';
import type { DomainId, EpochTime, InstanceId, ModelId, ServerName } from '../../src/core/ids';

/** The group that a server joined. */
export interface Joined {
  readonly group: string;
  readonly epoch: number;
  readonly members: readonly InstanceId[];
  readonly model: ModelId;
  state: MemberState;
  readyAt: number;
  openAt: number | undefined;
  /** When the head began to wait for a lost member. */
  stalledAt: number | undefined;
}

/** Whether the head of the group runs requests: all of them, or those that it had when it was closed. */
export function isServing({ state }: Joined): boolean {
  return state === 'open' || state === 'closing';
}

/** Moves the times that a paused server waits for. */
export function postpone(joined: Joined, ms: number): void {
  joined.readyAt += ms;
  if (joined.openAt !== undefined) joined.openAt += ms;
  if (joined.stalledAt !== undefined) joined.stalledAt += ms;
}

export interface SimServer {
  readonly id: InstanceId;
  readonly name: ServerName;
  /** Start of this incarnation. */
  readonly startedAt: EpochTime;
  readonly address: string;
  readonly domain: DomainId;
  isAlive: boolean;
  diedAt: number;
  /** What its row contains; rows of dead servers remain until they lapse. */
  shown: Joined | undefined;
  /** Alive but partitioned: orders do not reach it and its row lapses. */
  isCut: boolean;
  cutAt: number;
  /** Its process does not run: its own times do not count, and it is cut off meanwhile. */
  isPaused: boolean;
  isDraining: boolean;
  staged: ModelId | undefined;
  lastModel: ModelId | undefined;
  joined: Joined | undefined;
  highestEpoch: number;
  /** Requests that it runs as the head of its group. */
  running: number;
}

/** Takes a place in a group for a stream. */

import { chooseGroup, countToLookAt, hasRoom, sample } from '../../core/gateway/balance';
import type { InstanceId, ModelId, ServiceId } from '../../core/ids';
import type { Board, BoardGroup } from './board';
import type { GatewayContext } from './context';

export interface PlacingDeps {
  readonly ctx: GatewayContext;
  readonly board: Board;
  /** Daemons that choose as well, this one included. */
  readonly daemons: () => number;
}

export interface PlaceRequest {
  readonly service: ServiceId;
  readonly model: ModelId;
  readonly promptTokens: number;
  /** Longest pause between events that its caller takes for on time, milliseconds. */
  readonly maxPauseMs: number;
  /** Heads of the groups that it was sent to before. */
  readonly tried: ReadonlySet<InstanceId>;
}

/** The group in which a place was taken; undefined where none has room for this daemon. */
export function takePlace(
  { ctx, board, daemons }: PlacingDeps,
  { service, model, promptTokens, maxPauseMs, tried }: PlaceRequest,
): BoardGroup | undefined {
  const candidates = board.candidates(service, model, maxPauseMs, tried);
  const open = candidates.filter(
    (candidate) => !candidate.isTried && hasRoom(candidate, promptTokens),
  );
  const some = sample(open, countToLookAt(open.length, daemons()), () => ctx.random.next());
  const found = chooseGroup(some, promptTokens, ctx.settings.zone, ctx.random.next());
  const group = found && board.find(found.head);
  // The place is taken in the same tick, so that the next request in turn sees it taken.
  if (group) board.noteSent(group.head.id, promptTokens);
  return group;
}

/** Takes a place in a group for a stream. */

import { chooseGroup, drawGroup, hasRoom } from '../../core/gateway/balance';
import type { GroupCandidate } from '../../core/gateway/balance';
import type { Arrivals } from './arrivals';
import type { Board, BoardGroup, GroupNeeds } from './board';
import type { GatewayContext } from './context';
import type { WaitingRoom } from './waiting';

export interface PlacingDeps {
  readonly ctx: GatewayContext;
  readonly board: Board;
  readonly waiting: WaitingRoom;
  readonly arrivals: Arrivals;
  /** Daemons that may choose as well, this one included. */
  readonly daemons: () => number;
}

export interface PlaceRequest extends GroupNeeds {
  readonly promptTokens: number;
}

/** So few daemons hear of each other soon enough to choose the least filled group. */
const FEW_DAEMONS = 10;

/** The group in which a place was taken; undefined where none has room for this daemon. */
export function takePlace(
  { ctx, board, waiting, arrivals, daemons }: PlacingDeps,
  { promptTokens, ...needs }: PlaceRequest,
): BoardGroup | undefined {
  const { model } = needs;
  const candidates = board.candidates(needs);
  const here = { waiting: waiting.count(model), perSecond: arrivals.rate(model) };
  if (board.mayTake(model, candidates, here) < 1) return undefined;
  const open = candidates.filter((one) => !one.isTried && hasRoom(one, promptTokens));
  const { zone } = ctx.settings;
  const random = (): number => ctx.random.next();
  const choose = (): GroupCandidate | undefined =>
    daemons() > FEW_DAEMONS
      ? drawGroup(open, zone, random)
      : chooseGroup(open, promptTokens, zone, random());
  const found = choose();
  const group = found && board.find(found.head);
  // The place is taken in the same tick, so that the next request in turn sees it taken.
  if (group) board.noteSent(group.head.id, promptTokens);
  return group;
}

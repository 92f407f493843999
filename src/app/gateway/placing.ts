/** Takes a place in a group for a stream. */

import { chooseGroup, drawGroup, hasRoom, mayRead } from '../../core/gateway/balance';
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
  /** Time that the request may wait for a place in all and still be on time, milliseconds. */
  readonly slackMs: number;
  /** Whether that time has passed. */
  readonly isLate: boolean;
}

/** So few daemons hear of each other soon enough to choose the least filled group. */
const FEW_DAEMONS = 10;

/** Groups in which this daemon has a place to itself go first. */
function preferGranted(
  { board }: PlacingDeps,
  groups: readonly GroupCandidate[],
  promptTokens: number,
): readonly GroupCandidate[] {
  const own = groups.flatMap((one) => {
    const room = board.granted(one.head);
    return room < 1 ? [] : [{ ...one, room }];
  });
  return own.length > 0 ? own : groups.filter((one) => hasRoom(one, promptTokens));
}

/** The group in which a place was taken; undefined where none has room for this daemon. */
export function takePlace(
  deps: PlacingDeps,
  { promptTokens, slackMs, isLate, ...needs }: PlaceRequest,
): BoardGroup | undefined {
  const { ctx, board, waiting, arrivals, daemons } = deps;
  const { model } = needs;
  const here = { waiting: waiting.count(model), perSecond: arrivals.rate(model) };
  const admission = board.admit(model, board.candidates(needs), { here, slackMs, isLate });
  const untried = admission.groups.filter((one) => !one.isTried && mayRead(one, promptTokens));
  const open = preferGranted(deps, untried, promptTokens);
  const { zone } = ctx.settings;
  const random = (): number => ctx.random.next();
  const found =
    daemons() > FEW_DAEMONS
      ? drawGroup(open, zone, random)
      : chooseGroup(open, promptTokens, zone, random());
  const group = found && board.find(found.head);
  if (!group) return undefined;
  // The place is taken in the same tick, so that the next request in turn sees it taken.
  admission.noteSent();
  board.noteSent(group.head.id, promptTokens);
  return group;
}

/**
 * Sends a stream of a group that was found silent or lost to another, once it is silent itself and a slot in another
 * group and a retry can be taken. It keeps its connection until the other group gives an event.
 */

import { merge } from 'rxjs';

import { decideMove } from '../../core/gateway/stream-moves';
import type { MoveDecision } from '../../core/gateway/stream-moves';
import type { LossEvidence } from '../../core/gateway/suspicion';
import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';
import type { Exchange } from './exchange';
import type { GroupRegistry, Stall } from './group-registry';
import type { ServingGroup } from './group-index';
import type { GroupFinding } from './group-suspicions';
import type { Retries } from './retries';
import type { RunControl, Slot, StreamState } from './stream-relay';
import type { Throttle } from './throttle';
import type { Waiter, WaitQueue } from './wait-queue';

export interface MoveDeps {
  readonly ctx: GatewayContext;
  readonly groupRegistry: GroupRegistry;
  readonly retries: Retries;
  readonly throttle: Throttle;
  readonly waitQueue: WaitQueue;
}

/** How a stream gets a slot in another group. */
export interface SlotSource {
  /** Its place among the requests that wait for a slot. */
  readonly place: () => Omit<Waiter, 'until' | 'gone' | 'choose'>;
  readonly take: () => ServingGroup | undefined;
}

export interface MovableStream {
  readonly exchange: Exchange;
  readonly group: ServingGroup;
  readonly state: StreamState;
  readonly slot: Slot;
  readonly slots: SlotSource;
  readonly run: RunControl;
}

export interface MoveWatch {
  /** Notes an event of the stream: it is not moved unless its group is found silent again. */
  noteEvent(): void;
  /** The finding about the group for which the stream was to be moved. */
  finding(): GroupFinding | undefined;
  end(): void;
}

/**
 * Groups that a request may try in vain because their heads are unreachable. Nothing was sent to
 * them, so this is not a retry; the limit applies when this daemon's own link is down.
 */
export const MAX_UNREACHABLE_HEADS = 4;
/** Slots and retries also become available without notice, milliseconds. */
const RETRY_INTERVAL_MS = 100;

/** Returns a slot that was taken for a request which was not sent. */
export function returnSlot(
  { groupRegistry, throttle }: Pick<MoveDeps, 'groupRegistry' | 'throttle'>,
  { head }: ServingGroup,
  promptTokens: number,
): void {
  throttle.returnToken(head.id);
  groupRegistry.noteEnded(head.id, promptTokens);
}

/** Groups that a stream may still be sent to. */
function attemptsLeft(
  { maxAttempts }: Exchange['route'],
  { attempts, unreached, hasStarted }: StreamState,
): number {
  return hasStarted || unreached < MAX_UNREACHABLE_HEADS ? maxAttempts - attempts : 0;
}

export function watchForMove(deps: MoveDeps, stream: MovableStream): MoveWatch {
  const { ctx, groupRegistry, retries, waitQueue } = deps;
  const { exchange, group, state, slot, slots, run } = stream;
  const { route, service, answerBy, facts } = exchange;
  /** Evidence of the finding that is being acted on. */
  let evidence: LossEvidence | undefined;
  let finding: GroupFinding | undefined;
  let seeking = new AbortController();
  let isSeeking = false;

  /** Whether the group is suspended, or was ended meanwhile. */
  const isSuspected = (): boolean =>
    groupRegistry.finding(group.id) !== undefined ||
    groupRegistry.find(group.head.id)?.id !== group.id;

  const silentSince = (): MonoTime | undefined => {
    const since = slot.lastEventAt ?? slot.writtenAt;
    const observingSince = groupRegistry.observingSince();
    return since !== undefined && since < observingSince ? observingSince : since;
  };

  const decide = (): MoveDecision => {
    const now = ctx.clock.now();
    if (evidence === undefined) return { kind: 'keep' };
    // What it sends is not read at present.
    if (slot.isHeld) return { kind: 'wait', until: later(now, RETRY_INTERVAL_MS) };
    const suspected = {
      evidence,
      isSuspected: isSuspected(),
      silentSince: silentSince(),
      isResumable: route.isResumable && (!state.hasStarted || state.lastId !== undefined),
      isLatest: run.isLatest(),
      attemptsLeft: attemptsLeft(route, state),
      answerBy,
    };
    return decideMove(suspected, now);
  };

  const note = (outcome: 'moved' | NonNullable<StreamState['lacked']>): void => {
    if (state.lacked === outcome) return;
    ctx.metrics.count('nutmegstack_stream_moves_total', { outcome });
    state.lacked = outcome === 'moved' ? undefined : outcome;
  };

  /** The retry is taken last, as it cannot be returned to the budget. */
  const takeNext = (): ServingGroup | undefined => {
    if (!state.hasRetry && !retries.hasRetry(service)) {
      note('retry');
      return undefined;
    }
    const next = slots.take();
    if (!next) {
      note('slot');
      return undefined;
    }
    if (state.hasRetry || retries.mayRetry(service)) {
      state.hasRetry = false;
      return next;
    }
    returnSlot(deps, next, facts.promptTokens);
    return undefined;
  };

  const tryMove = (): ServingGroup | undefined => {
    if (decide().kind !== 'move') return undefined;
    const next = takeNext();
    if (!next) return undefined;
    note('moved');
    run.begin(next);
    return next;
  };

  const waitFor = (until: MonoTime): Promise<ServingGroup | undefined> =>
    waitQueue.wait({
      ...slots.place(),
      until: until < answerBy ? until : answerBy,
      gone: seeking.signal,
      choose: tryMove,
    });

  const seek = async (): Promise<void> => {
    if (isSeeking) return;
    isSeeking = true;
    for (;;) {
      const decision = decide();
      if (decision.kind === 'keep' && decision.lacked) note(decision.lacked);
      if (decision.kind === 'give-up') run.stop.abort(new Error('its group has ended'));
      if (decision.kind === 'keep' || decision.kind === 'give-up' || tryMove()) break;
      const retryAt = later(ctx.clock.now(), RETRY_INTERVAL_MS);
      await waitFor(decision.kind === 'wait' ? decision.until : retryAt);
    }
    isSeeking = false;
  };

  const stop = (): void => {
    evidence = undefined;
    seeking.abort();
    seeking = new AbortController();
  };

  const onStall = (stall: Stall): void => {
    if (stall.group !== group.id || stall.head !== group.head.id) return;
    finding = groupRegistry.finding(group.id);
    evidence = stall.evidence ?? 'silent';
    void seek();
  };

  const subscriptions = merge(groupRegistry.stalls, groupRegistry.evacuated).subscribe(onStall);
  subscriptions.add(
    run.ends.subscribe(() => {
      void seek();
    }),
  );

  return {
    noteEvent: () => {
      if (evidence === undefined) return;
      stop();
      finding = undefined;
      state.lacked = undefined;
    },
    finding: () => finding,
    end: () => {
      subscriptions.unsubscribe();
      stop();
    },
  };
}

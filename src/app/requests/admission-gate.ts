/** Lets calls in by the decisions of `core/admission`, and has them wait or sends them away. */

import {
  admit,
  createAdmission,
  expire,
  nextExpiry,
  release,
  setCapacity,
} from '../../core/admission/admission';
import type {
  AdmissionRequest,
  RefusalCode,
  Refused,
  QueueUpdate,
} from '../../core/admission/types';
import type { EpochTime, ModelId, MonoTime, RequestId } from '../../core/ids';
import { later } from '../../core/ids';
import type { Clock, Random } from '../../ports/runtime';
import type { StepError } from '../../utils/errors';
import { fail } from '../../utils/errors';
import type { Call } from './exchange';

/** What a call asks for. */
export interface GateRequest {
  readonly call: Call;
  /** Model or service; they share one name space here. */
  readonly target: ModelId;
  /** Expected time in a slot, milliseconds. */
  readonly estimateMs: number;
  /** The target's capacity at this instant; asked again while the call waits. */
  readonly capacity: () => Capacity;
}

/** What this daemon may have in flight towards one target. */
export interface Capacity {
  readonly slots: number;
  /** When there is capacity again, if there is none. */
  readonly expectedAt: EpochTime | undefined;
}

export type GateVerdict =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'refused'; readonly error: StepError; readonly retryAt: EpochTime };

export interface AdmissionGate {
  /** Resolves at once unless the call has to wait for a slot. */
  enter(req: GateRequest): Promise<GateVerdict>;
  /** To be called when an admitted call is over; gives its slot to the next. */
  leave(id: RequestId): void;
}

const MESSAGES: Readonly<Record<RefusalCode, string>> = {
  'too-many-requests': 'too many requests in flight',
  overloaded: 'no room for the request',
  'deadline-exceeded': 'the deadline cannot be met',
};

/** How often the capacity that waiting calls need is looked at. */
const LOOK_MS = 25;

export function createAdmissionGate(clock: Clock, random: Random): AdmissionGate {
  const state = createAdmission();
  const waiting = new Map<RequestId, (verdict: GateVerdict) => void>();
  /** Targets that some call may wait for. */
  const wanted = new Map<ModelId, () => Capacity>();
  let timer: NodeJS.Timeout | undefined;
  let looking: NodeJS.Timeout | undefined;

  const context = () => ({ now: clock.now(), random });
  const toEpoch = (at: MonoTime): EpochTime => later(clock.epoch(), at - clock.now());
  const toMono = (at: EpochTime): MonoTime => later(clock.now(), at - clock.epoch());

  const refusal = ({ code, reason, retryAt }: Refused): GateVerdict => {
    const error = fail(code, `${MESSAGES[code]} (${reason})`, { step: 'admission' });
    return { kind: 'refused', error, retryAt: toEpoch(retryAt) };
  };

  const settle = (id: RequestId, verdict: GateVerdict): void => {
    const resolve = waiting.get(id);
    waiting.delete(id);
    resolve?.(verdict);
  };

  const arm = (): void => {
    clearTimeout(timer);
    const at = nextExpiry(state);
    if (at === undefined) return;
    timer = setTimeout(
      () => {
        apply(expire(state, context()));
      },
      Math.max(0, at - clock.now()),
    ).unref();
  };

  const apply = ({ admitted, refused }: Pick<QueueUpdate, 'admitted' | 'refused'>): void => {
    admitted.forEach((id) => {
      settle(id, { kind: 'admitted' });
    });
    refused.forEach(({ id, verdict }) => {
      settle(id, refusal(verdict));
    });
    arm();
  };

  const update = (target: ModelId, { slots, expectedAt }: Capacity): void => {
    const expected = expectedAt === undefined ? undefined : toMono(expectedAt);
    apply(setCapacity(state, target, slots, context(), expected));
  };

  const leave = (id: RequestId): void => {
    waiting.delete(id);
    apply(release(state, id, context()));
  };

  /** Capacity may come without a request that would tell of it. */
  const look = (): void => {
    looking = undefined;
    for (const [target, capacity] of wanted) update(target, capacity());
    if (waiting.size === 0) wanted.clear();
    else lookSoon();
  };

  const lookSoon = (): void => {
    looking ??= setTimeout(look, LOOK_MS).unref();
  };

  const queue = ({ call, target, capacity }: GateRequest): Promise<GateVerdict> =>
    new Promise((resolve) => {
      const { id, gone } = call.exchange;
      wanted.set(target, capacity);
      lookSoon();
      const onGone = (): void => {
        const error = fail('cancelled', 'caller went away', { step: 'admission' });
        settle(id, { kind: 'refused', error, retryAt: clock.epoch() });
        leave(id);
      };
      gone.addEventListener('abort', onGone, { once: true });
      waiting.set(id, (verdict) => {
        gone.removeEventListener('abort', onGone);
        resolve(verdict);
      });
    });

  return {
    enter: (asked) => {
      const { call, target, estimateMs, capacity } = asked;
      update(target, capacity());
      const { organisation, class: callerClass } = call.caller;
      const req: AdmissionRequest = {
        id: call.exchange.id,
        organisation: organisation.id,
        class: callerClass,
        share: organisation.share,
        model: target,
        deadline: call.terms.deadline,
        estimateMs,
      };
      const { verdict, admitted, refused } = admit(state, req, context());
      const answer =
        verdict.kind === 'queued'
          ? queue(asked)
          : Promise.resolve(verdict.kind === 'refused' ? refusal(verdict) : verdict);
      apply({ admitted, refused });
      return answer;
    },
    leave,
  };
}

/** Admits, queues or refuses calls. The decisions are made in `core/admission`. */

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

/** An admission request for one call. */
export interface GateRequest {
  readonly call: Call;
  /** Model or service; both share one namespace. */
  readonly target: ModelId;
  /** Expected time that the call occupies a slot, milliseconds. */
  readonly estimateMs: number;
  /** Returns the target's current capacity. Polled while the call is queued. */
  readonly capacity: () => Capacity;
}

/** How many calls this daemon may have in flight to one target. */
export interface Capacity {
  readonly slots: number;
  /** When capacity is expected to return, if there is none now. */
  readonly expectedAt: EpochTime | undefined;
}

/** Outcome of an admission request. `retryAt` becomes the `Retry-After` header. */
export type GateVerdict =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'refused'; readonly error: StepError; readonly retryAt: EpochTime };

/** Admission control of this daemon. */
export interface AdmissionGate {
  /** Resolves immediately unless the call is queued for a slot. */
  enter(req: GateRequest): Promise<GateVerdict>;
  /** Releases the slot of an admitted call. Must be called once the call has ended. */
  leave(id: RequestId): void;
}

const MESSAGES: Readonly<Record<RefusalCode, string>> = {
  'too-many-requests': 'too many requests in flight',
  overloaded: 'no free capacity for the request',
  'deadline-exceeded': 'the request cannot complete before its deadline',
};

/** Interval at which the capacity of targets with queued calls is polled, milliseconds. */
const CAPACITY_POLL_MS = 25;

/** Creates the admission gate of a daemon. */
export function createAdmissionGate(clock: Clock, random: Random): AdmissionGate {
  const state = createAdmission();
  const waiting = new Map<RequestId, (verdict: GateVerdict) => void>();
  /** Capacity of each target that may have queued calls. */
  const capacitySources = new Map<ModelId, () => Capacity>();
  let expiryTimer: NodeJS.Timeout | undefined;
  let pollTimer: NodeJS.Timeout | undefined;

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

  const armExpiryTimer = (): void => {
    clearTimeout(expiryTimer);
    const at = nextExpiry(state);
    if (at === undefined) return;
    expiryTimer = setTimeout(
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
    armExpiryTimer();
  };

  const update = (target: ModelId, { slots, expectedAt }: Capacity): void => {
    const expected = expectedAt === undefined ? undefined : toMono(expectedAt);
    apply(setCapacity(state, target, slots, context(), expected));
  };

  const leave = (id: RequestId): void => {
    waiting.delete(id);
    apply(release(state, id, context()));
  };

  /** Updates capacity while calls are queued, since it can return without any new request. */
  const pollCapacity = (): void => {
    pollTimer = undefined;
    for (const [target, capacity] of capacitySources) update(target, capacity());
    if (waiting.size === 0) capacitySources.clear();
    else schedulePoll();
  };

  const schedulePoll = (): void => {
    pollTimer ??= setTimeout(pollCapacity, CAPACITY_POLL_MS).unref();
  };

  const queue = ({ call, target, capacity }: GateRequest): Promise<GateVerdict> =>
    new Promise((resolve) => {
      const { id, gone } = call.exchange;
      capacitySources.set(target, capacity);
      schedulePoll();
      const onDisconnect = (): void => {
        const error = fail('cancelled', 'the caller disconnected while queued', {
          step: 'admission',
        });
        settle(id, { kind: 'refused', error, retryAt: clock.epoch() });
        leave(id);
      };
      gone.addEventListener('abort', onDisconnect, { once: true });
      waiting.set(id, (verdict) => {
        gone.removeEventListener('abort', onDisconnect);
        resolve(verdict);
      });
    });

  return {
    enter: (gateReq) => {
      const { call, target, estimateMs, capacity } = gateReq;
      update(target, capacity());
      const { organisation, class: callerClass } = call.caller;
      const req: AdmissionRequest = {
        id: call.exchange.id,
        organisation: organisation.id,
        class: callerClass,
        share: organisation.share,
        model: target,
        deadline: call.options.deadline,
        estimateMs,
      };
      const { verdict, admitted, refused } = admit(state, req, context());
      const answer =
        verdict.kind === 'queued'
          ? queue(gateReq)
          : Promise.resolve(verdict.kind === 'refused' ? refusal(verdict) : verdict);
      apply({ admitted, refused });
      return answer;
    },
    leave,
  };
}

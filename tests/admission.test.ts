import { describe, expect, test } from 'vitest';

import {
  admit,
  createAdmission,
  expire,
  nextExpiry,
  release,
  setCapacity,
} from '../src/core/admission/admission';
import type { AdmissionOptions, AdmissionState } from '../src/core/admission/types';
import { brandAs } from '../src/core/ids';
import type { MonoTime, RequestId } from '../src/core/ids';
import type { RequestOptions } from './fuzz/admission-fixtures';
import { at, MODEL, request } from './fuzz/admission-fixtures';

function withSlots(slots: number, opts: Partial<AdmissionOptions> = {}): AdmissionState {
  return setCapacity(createAdmission(opts), MODEL, slots, at(0)).state;
}

function ask(state: AdmissionState, opts: RequestOptions, now = 0) {
  return admit(state, request(opts), at(now));
}

function end(state: AdmissionState, id: string, now: number) {
  return release(state, brandAs<RequestId>(id), at(now));
}

describe('slots', () => {
  test('a request gets a free slot at once, the next one waits for it', () => {
    const state = withSlots(1);
    expect(ask(state, { id: '1' }).verdict.kind).toBe('admitted');
    expect(ask(state, { id: '2' }).verdict.kind).toBe('queued');
    expect(end(state, '1', 50).admitted).toEqual(['2']);
  });

  test('a queued request that is cancelled never gets a slot', () => {
    const state = withSlots(1);
    ask(state, { id: '1' });
    ask(state, { id: '2' });
    ask(state, { id: '3' });
    expect(end(state, '2', 10).admitted).toEqual([]);
    expect(end(state, '1', 50).admitted).toEqual(['3']);
  });

  test('a second release of the same request frees nothing', () => {
    const state = withSlots(1);
    ask(state, { id: '1' });
    ask(state, { id: '2' });
    ask(state, { id: '3' });
    expect(end(state, '1', 50).admitted).toEqual(['2']);
    expect(end(state, '1', 51).admitted).toEqual([]);
  });

  test('new capacity lets queued requests in', () => {
    const state = withSlots(1);
    for (const id of ['1', '2', '3']) ask(state, { id });
    expect(setCapacity(state, MODEL, 3, at(5)).admitted).toEqual(['2', '3']);
  });

  test('less capacity cuts off nothing in flight and admits nothing until it is free', () => {
    const state = withSlots(2);
    for (const id of ['1', '2', '3']) ask(state, { id });
    setCapacity(state, MODEL, 1, at(5));
    expect(end(state, '1', 10).admitted).toEqual([]);
    expect(end(state, '2', 20).admitted).toEqual(['3']);
  });
});

describe('refusals', () => {
  test('a refusal comes at once and says when to come back', () => {
    const { verdict } = ask(createAdmission(), { id: '1' }, 10);
    expect(verdict).toMatchObject({ kind: 'refused', code: 'overloaded', reason: 'no-capacity' });
    expect(verdict.kind === 'refused' && verdict.retryAt).toBeGreaterThan(10);
  });

  test('a request whose deadline cannot be met behind the queue is refused on arrival', () => {
    const state = withSlots(1);
    for (const id of ['1', '2', '3']) ask(state, { id });
    const { verdict } = ask(state, { id: '4', deadline: 250 });
    expect(verdict).toMatchObject({ kind: 'refused', reason: 'deadline-unreachable' });
  });

  test('the wait is estimated from the measured time in a slot', () => {
    const state = withSlots(1);
    ask(state, { id: '1' });
    end(state, '1', 300);
    ask(state, { id: '2' }, 300);
    const { verdict } = ask(state, { id: '3', deadline: 600 }, 300);
    expect(verdict).toMatchObject({ kind: 'refused', reason: 'deadline-unreachable' });
  });

  test('expire refuses queued requests that can no longer be in time, at the announced instant', () => {
    const state = withSlots(1);
    ask(state, { id: '1' });
    ask(state, { id: '2', deadline: 500 });
    expect(nextExpiry(state)).toBe(400);
    expect(expire(state, at(399)).refused).toEqual([]);
    const { refused } = expire(state, at(400));
    expect(refused).toMatchObject([{ id: '2', verdict: { reason: 'deadline-unreachable' } }]);
    expect(nextExpiry(state)).toBeUndefined();
  });

  test('a class is held to its limit and leaves other classes alone', () => {
    const state = withSlots(10);
    ask(state, { id: '1', class: { maxInFlight: 1 } });
    const second = ask(state, { id: '2', class: { maxInFlight: 1 } });
    expect(second.verdict).toMatchObject({ code: 'too-many-requests', reason: 'class-limit' });
    expect(ask(state, { id: '3', class: { name: 'urgent' } }).verdict.kind).toBe('admitted');
    end(state, '1', 10);
    expect(ask(state, { id: '4', class: { maxInFlight: 1 } }).verdict.kind).toBe('admitted');
  });

  test('an organisation is held to its limit and leaves other organisations alone', () => {
    const state = withSlots(10, { organisationLimit: 1 });
    ask(state, { id: '1' });
    expect(ask(state, { id: '2' }).verdict).toMatchObject({ reason: 'organisation-limit' });
    expect(ask(state, { id: '3', organisation: 'b' }).verdict.kind).toBe('admitted');
  });

  test('when capacity goes, requests wait only if it is expected back in time', () => {
    const state = withSlots(1);
    ask(state, { id: '1' });
    ask(state, { id: '2', deadline: 500 });
    ask(state, { id: '3', deadline: 5_000 });
    const { refused } = setCapacity(state, MODEL, 0, at(10), brandAs<MonoTime>(2_000));
    expect(refused).toMatchObject([{ id: '2', verdict: { reason: 'no-capacity' } }]);
    expect(setCapacity(state, MODEL, 2, at(1_900)).admitted).toEqual(['3']);
  });
});

describe('capacity that was expected', () => {
  function waiting(): AdmissionState {
    const state = createAdmission({ expectedGraceMs: 100 });
    setCapacity(state, MODEL, 0, at(0), brandAs<MonoTime>(1_000));
    expect(ask(state, { id: '1' }).verdict.kind).toBe('queued');
    return state;
  }

  test('has those that wait for it admitted when it comes', () => {
    expect(setCapacity(waiting(), MODEL, 1, at(1_050)).admitted).toEqual(['1']);
  });

  test('has them refused when it is overdue, long before their deadline', () => {
    const state = waiting();
    expect(nextExpiry(state)).toBe(1_100);
    expect(expire(state, at(1_099)).refused).toEqual([]);
    const { refused } = expire(state, at(1_100));
    expect(refused).toMatchObject([{ id: '1', verdict: { reason: 'no-capacity' } }]);
    expect(ask(state, { id: '2' }, 1_100).verdict.kind).toBe('refused');
  });
});

describe('worth', () => {
  const urgent = { name: 'urgent', worth: 10 };

  test('of one organisation the request of greater worth goes first, then the earlier deadline', () => {
    const state = withSlots(1);
    ask(state, { id: '1' });
    ask(state, { id: 'late', deadline: 9_000 });
    ask(state, { id: 'early', deadline: 8_000 });
    ask(state, { id: 'urgent', class: urgent, deadline: 10_000 });
    expect(end(state, '1', 100).admitted).toEqual(['urgent']);
    expect(end(state, 'urgent', 200).admitted).toEqual(['early']);
    expect(end(state, 'early', 300).admitted).toEqual(['late']);
  });

  test('a request that an urgent one makes late is given up at once', () => {
    const state = withSlots(1);
    ask(state, { id: '1' });
    ask(state, { id: '2', deadline: 250 });
    const { verdict, refused } = ask(state, { id: '3', class: urgent });
    expect(verdict.kind).toBe('queued');
    expect(refused).toMatchObject([{ id: '2', verdict: { reason: 'displaced' } }]);
  });

  test('a full queue gives up its least dense request for a denser one, never the reverse', () => {
    const state = withSlots(1, { queuePerSlot: 1, minQueue: 1 });
    ask(state, { id: '1' });
    ask(state, { id: '2' });
    expect(ask(state, { id: '3' }).verdict).toMatchObject({ reason: 'queue-full' });
    const { verdict, refused } = ask(state, { id: '4', class: urgent });
    expect(verdict.kind).toBe('queued');
    expect(refused.map(({ id }) => id)).toEqual(['2']);
  });
});

describe('shares', () => {
  function admittedOver(state: AdmissionState, ends: number): Map<string, number> {
    const running = ['first'];
    const counts = new Map<string, number>();
    for (let i = 0; i < ends; i++) {
      const { admitted } = end(state, running.shift() ?? '', (i + 1) * 100);
      for (const id of admitted) {
        running.push(id);
        const organisation = id.split('-')[0] ?? '';
        counts.set(organisation, (counts.get(organisation) ?? 0) + 1);
      }
    }
    return counts;
  }

  test('organisations with queued requests get slots by their shares, however many they queue', () => {
    const state = withSlots(1, { minQueue: 1_000 });
    ask(state, { id: 'first', organisation: 'x' });
    for (let i = 0; i < 200; i++) ask(state, { id: `a-${i}`, organisation: 'a', share: 1 });
    for (let i = 0; i < 40; i++) ask(state, { id: `b-${i}`, organisation: 'b', share: 3 });
    const counts = admittedOver(state, 40);
    expect(counts.get('a')).toBe(10);
    expect(counts.get('b')).toBe(30);
  });

  test('an organisation below its share takes a place in a full queue from the one above it', () => {
    const state = withSlots(1, { queuePerSlot: 1, minQueue: 4 });
    ask(state, { id: 'first', organisation: 'x' });
    for (let i = 0; i < 4; i++) ask(state, { id: `a-${i}`, organisation: 'a' });
    const { verdict, refused } = ask(state, { id: 'b-0', organisation: 'b' });
    expect(verdict.kind).toBe('queued');
    expect(refused).toHaveLength(1);
    expect(refused[0]?.id).toMatch(/^a-/);
  });

  test('work that takes longer than estimated is charged when it ends', () => {
    const state = withSlots(2, { minQueue: 1_000 });
    ask(state, { id: 'a-0', organisation: 'a' });
    ask(state, { id: 'b-0', organisation: 'b' });
    for (let i = 1; i < 20; i++) ask(state, { id: `a-${i}`, organisation: 'a' });
    for (let i = 1; i < 20; i++) ask(state, { id: `b-${i}`, organisation: 'b' });
    end(state, 'b-0', 100);
    const next = [end(state, 'a-0', 400), end(state, 'b-1', 500), end(state, 'b-2', 600)];
    expect(next.map(({ admitted }) => admitted[0])).toEqual(['b-1', 'b-2', 'b-3']);
  });
});

/** Admission: slots, refusals, expected capacity, order by worth, and shares of organisations. */

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

function submit(state: AdmissionState, opts: RequestOptions, now = 0) {
  return admit(state, request(opts), at(now));
}

function end(state: AdmissionState, id: string, now: number) {
  return release(state, brandAs<RequestId>(id), at(now));
}

describe('slots', () => {
  test('a request gets a free slot at once, and the next one is queued', () => {
    const state = withSlots(1);
    expect(submit(state, { id: '1' }).verdict.kind).toBe('admitted');
    expect(submit(state, { id: '2' }).verdict.kind).toBe('queued');
    expect(end(state, '1', 50).admitted).toEqual(['2']);
  });

  test('a queued request that is cancelled never gets a slot', () => {
    const state = withSlots(1);
    submit(state, { id: '1' });
    submit(state, { id: '2' });
    submit(state, { id: '3' });
    expect(end(state, '2', 10).admitted).toEqual([]);
    expect(end(state, '1', 50).admitted).toEqual(['3']);
  });

  test('a second release of the same request frees nothing', () => {
    const state = withSlots(1);
    submit(state, { id: '1' });
    submit(state, { id: '2' });
    submit(state, { id: '3' });
    expect(end(state, '1', 50).admitted).toEqual(['2']);
    expect(end(state, '1', 51).admitted).toEqual([]);
  });

  test('new capacity admits queued requests', () => {
    const state = withSlots(1);
    for (const id of ['1', '2', '3']) submit(state, { id });
    expect(setCapacity(state, MODEL, 3, at(5)).admitted).toEqual(['2', '3']);
  });

  test('reduced capacity interrupts nothing in flight and admits nothing until a slot is free', () => {
    const state = withSlots(2);
    for (const id of ['1', '2', '3']) submit(state, { id });
    setCapacity(state, MODEL, 1, at(5));
    expect(end(state, '1', 10).admitted).toEqual([]);
    expect(end(state, '2', 20).admitted).toEqual(['3']);
  });
});

describe('refusals', () => {
  test('a refusal is immediate and has a retry time', () => {
    const { verdict } = submit(createAdmission(), { id: '1' }, 10);
    expect(verdict).toMatchObject({ kind: 'refused', code: 'overloaded', reason: 'no-capacity' });
    expect(verdict.kind === 'refused' && verdict.retryAt).toBeGreaterThan(10);
  });

  test('a request whose deadline cannot be met behind the queue is refused on arrival', () => {
    const state = withSlots(1);
    for (const id of ['1', '2', '3']) submit(state, { id });
    const { verdict } = submit(state, { id: '4', deadline: 250 });
    expect(verdict).toMatchObject({ kind: 'refused', reason: 'deadline-unreachable' });
  });

  test('the wait is estimated from the measured service time', () => {
    const state = withSlots(1);
    submit(state, { id: '1' });
    end(state, '1', 300);
    submit(state, { id: '2' }, 300);
    const { verdict } = submit(state, { id: '3', deadline: 600 }, 300);
    expect(verdict).toMatchObject({ kind: 'refused', reason: 'deadline-unreachable' });
  });

  test('expire refuses queued requests whose deadline is unreachable, at the instant of nextExpiry', () => {
    const state = withSlots(1);
    submit(state, { id: '1' });
    submit(state, { id: '2', deadline: 500 });
    expect(nextExpiry(state)).toBe(400);
    expect(expire(state, at(399)).refused).toEqual([]);
    const { refused } = expire(state, at(400));
    expect(refused).toMatchObject([{ id: '2', verdict: { reason: 'deadline-unreachable' } }]);
    expect(nextExpiry(state)).toBeUndefined();
  });

  test('the limit of a class applies and does not affect other classes', () => {
    const state = withSlots(10);
    submit(state, { id: '1', class: { maxInFlight: 1 } });
    const second = submit(state, { id: '2', class: { maxInFlight: 1 } });
    expect(second.verdict).toMatchObject({ code: 'too-many-requests', reason: 'class-limit' });
    expect(submit(state, { id: '3', class: { name: 'urgent' } }).verdict.kind).toBe('admitted');
    end(state, '1', 10);
    expect(submit(state, { id: '4', class: { maxInFlight: 1 } }).verdict.kind).toBe('admitted');
  });

  test('the limit of an organisation applies and does not affect other organisations', () => {
    const state = withSlots(10, { organisationLimit: 1 });
    submit(state, { id: '1' });
    expect(submit(state, { id: '2' }).verdict).toMatchObject({ reason: 'organisation-limit' });
    expect(submit(state, { id: '3', organisation: 'b' }).verdict.kind).toBe('admitted');
  });

  test('without capacity, requests stay queued only if it is expected back in time', () => {
    const state = withSlots(1);
    submit(state, { id: '1' });
    submit(state, { id: '2', deadline: 500 });
    submit(state, { id: '3', deadline: 5_000 });
    const { refused } = setCapacity(state, MODEL, 0, at(10), brandAs<MonoTime>(2_000));
    expect(refused).toMatchObject([{ id: '2', verdict: { reason: 'no-capacity' } }]);
    expect(setCapacity(state, MODEL, 2, at(1_900)).admitted).toEqual(['3']);
  });
});

describe('expected capacity', () => {
  function waiting(): AdmissionState {
    const state = createAdmission({ expectedGraceMs: 100 });
    setCapacity(state, MODEL, 0, at(0), brandAs<MonoTime>(1_000));
    expect(submit(state, { id: '1' }).verdict.kind).toBe('queued');
    return state;
  }

  test('admits the requests that wait for it when it arrives', () => {
    expect(setCapacity(waiting(), MODEL, 1, at(1_050)).admitted).toEqual(['1']);
  });

  test('refuses them when it is overdue, long before their deadline', () => {
    const state = waiting();
    expect(nextExpiry(state)).toBe(1_100);
    expect(expire(state, at(1_099)).refused).toEqual([]);
    const { refused } = expire(state, at(1_100));
    expect(refused).toMatchObject([{ id: '1', verdict: { reason: 'no-capacity' } }]);
    expect(submit(state, { id: '2' }, 1_100).verdict.kind).toBe('refused');
  });
});

describe('worth', () => {
  const urgent = { name: 'urgent', worth: 10 };

  test('within one organisation, greater worth goes first, then the earlier deadline', () => {
    const state = withSlots(1);
    submit(state, { id: '1' });
    submit(state, { id: 'late', deadline: 9_000 });
    submit(state, { id: 'early', deadline: 8_000 });
    submit(state, { id: 'urgent', class: urgent, deadline: 10_000 });
    expect(end(state, '1', 100).admitted).toEqual(['urgent']);
    expect(end(state, 'urgent', 200).admitted).toEqual(['early']);
    expect(end(state, 'early', 300).admitted).toEqual(['late']);
  });

  test('a request that can no longer meet its deadline behind an urgent one is refused at once', () => {
    const state = withSlots(1);
    submit(state, { id: '1' });
    submit(state, { id: '2', deadline: 250 });
    const { verdict, refused } = submit(state, { id: '3', class: urgent });
    expect(verdict.kind).toBe('queued');
    expect(refused).toMatchObject([{ id: '2', verdict: { reason: 'displaced' } }]);
  });

  test('a full queue drops its least dense request for a denser one, never the reverse', () => {
    const state = withSlots(1, { queuePerSlot: 1, minQueue: 1 });
    submit(state, { id: '1' });
    submit(state, { id: '2' });
    expect(submit(state, { id: '3' }).verdict).toMatchObject({ reason: 'queue-full' });
    const { verdict, refused } = submit(state, { id: '4', class: urgent });
    expect(verdict.kind).toBe('queued');
    expect(refused.map(({ id }) => id)).toEqual(['2']);
  });
});

describe('shares', () => {
  function countAdmitted(state: AdmissionState, ends: number): Map<string, number> {
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

  test('backlogged organisations get slots by their shares, however many requests they queue', () => {
    const state = withSlots(1, { minQueue: 1_000 });
    submit(state, { id: 'first', organisation: 'x' });
    for (let i = 0; i < 200; i++) submit(state, { id: `a-${i}`, organisation: 'a', share: 1 });
    for (let i = 0; i < 40; i++) submit(state, { id: `b-${i}`, organisation: 'b', share: 3 });
    const counts = countAdmitted(state, 40);
    expect(counts.get('a')).toBe(10);
    expect(counts.get('b')).toBe(30);
  });

  test('an organisation below its share displaces a request of one above it from a full queue', () => {
    const state = withSlots(1, { queuePerSlot: 1, minQueue: 4 });
    submit(state, { id: 'first', organisation: 'x' });
    for (let i = 0; i < 4; i++) submit(state, { id: `a-${i}`, organisation: 'a' });
    const { verdict, refused } = submit(state, { id: 'b-0', organisation: 'b' });
    expect(verdict.kind).toBe('queued');
    expect(refused).toHaveLength(1);
    expect(refused[0]?.id).toMatch(/^a-/);
  });

  test('time beyond the estimate is charged when the request ends', () => {
    const state = withSlots(2, { minQueue: 1_000 });
    submit(state, { id: 'a-0', organisation: 'a' });
    submit(state, { id: 'b-0', organisation: 'b' });
    for (let i = 1; i < 20; i++) submit(state, { id: `a-${i}`, organisation: 'a' });
    for (let i = 1; i < 20; i++) submit(state, { id: `b-${i}`, organisation: 'b' });
    end(state, 'b-0', 100);
    const next = [end(state, 'a-0', 400), end(state, 'b-1', 500), end(state, 'b-2', 600)];
    expect(next.map(({ admitted }) => admitted[0])).toEqual(['b-1', 'b-2', 'b-3']);
  });
});

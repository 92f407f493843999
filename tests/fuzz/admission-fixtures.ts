/** Fixtures for the tests of admission and routing. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';

import type { AdmissionRequest } from '../../src/core/admission/types';
import type { CallerClass } from '../../src/core/config/types';
import type { RoutableGroup } from '../../src/core/groups/types';
import { brandAs } from '../../src/core/ids';
import type {
  DomainId,
  Epoch,
  GroupId,
  ModelId,
  MonoTime,
  OrganisationId,
  RequestId,
} from '../../src/core/ids';
import type { RandomContext, Random } from '../../src/core/random';

const RANGE = 0x7fff_ffff;

export const MODEL = brandAs<ModelId>('model');

/** A deterministic random source. */
export function seeded(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return { next: () => uniformInt(generator, 0, RANGE - 1) / RANGE };
}

/** The context of a call at this time. */
export function at(now: number, random: Random = seeded(1)): RandomContext {
  return { now: brandAs<MonoTime>(now), random };
}

export function callerClass(overrides: Partial<CallerClass> = {}): CallerClass {
  return { name: 'standard', worth: 1, deadlineMs: 1_000, maxInFlight: 1_000, ...overrides };
}

export interface RequestOptions {
  readonly id: string;
  readonly organisation?: string;
  readonly class?: Partial<CallerClass>;
  readonly share?: number;
  readonly deadline?: number;
  readonly estimateMs?: number;
}

export function request(opts: RequestOptions): AdmissionRequest {
  return {
    id: brandAs<RequestId>(opts.id),
    organisation: brandAs<OrganisationId>(opts.organisation ?? 'a'),
    class: callerClass(opts.class),
    share: opts.share ?? 1,
    model: MODEL,
    deadline: brandAs<MonoTime>(opts.deadline ?? 100_000),
    estimateMs: opts.estimateMs ?? 100,
  };
}

export function routableGroup(id: string, overrides: Partial<RoutableGroup> = {}): RoutableGroup {
  return {
    id: brandAs<GroupId>(id),
    model: MODEL,
    domain: brandAs<DomainId>('domain'),
    epoch: brandAs<Epoch>(1),
    address: '127.0.0.1:1',
    members: [],
    maxBatch: 8,
    routableUntil: brandAs<MonoTime>(Number.MAX_SAFE_INTEGER),
    ...overrides,
  };
}

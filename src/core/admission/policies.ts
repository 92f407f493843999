/**
 * Admission policies and the baselines they are compared with. A policy defines the order of
 * requests, which requests are refused early, and whether organisations have shares.
 */

import type { AdmissionPolicyName, AdmissionRequest, Entry } from './types';

/** Buckets per doubling of worth density. */
const BUCKETS_PER_OCTAVE = 2;
/** Buckets of an organisation's queue; the middle one holds a worth density of 1 per second. */
export const BUCKET_COUNT = 64;

/** How requests are ordered and which are refused. */
export interface AdmissionPolicy {
  /** Whether slots are shared between organisations by weight; otherwise all use one account. */
  readonly fair: boolean;
  /** Whether requests may wait for a slot. */
  readonly queues: boolean;
  /** Whether a request is refused as soon as its deadline is known to be unreachable. */
  readonly refusesEarly: boolean;
  /** Whether a full queue drops its lowest-ranked request for a higher-ranked one. */
  readonly displaces: boolean;
  /** The bucket of a request; lower ones go first. */
  bucketOf(req: AdmissionRequest): number;
  /** Order within a bucket. */
  before(a: Entry, b: Entry): boolean;
}

/** Worth per second of slot time, on a logarithmic scale; the densest requests get bucket 0. */
function densityBucket(req: AdmissionRequest): number {
  const density = (req.class.worth * 1_000) / req.estimateMs;
  const level = Math.round(Math.log2(density) * BUCKETS_PER_OCTAVE);
  const bucket = BUCKET_COUNT / 2 - level;
  return Math.min(BUCKET_COUNT - 1, Math.max(0, bucket));
}

function byDeadline(a: Entry, b: Entry): boolean {
  if (a.req.deadline !== b.req.deadline) return a.req.deadline < b.req.deadline;
  return a.seq < b.seq;
}

function byArrival(a: Entry, b: Entry): boolean {
  return a.seq < b.seq;
}

const singleBucket = () => 0;

/** All policies by name; `first-come` and `limit-only` are baselines. */
export const ADMISSION_POLICIES: Readonly<Record<AdmissionPolicyName, AdmissionPolicy>> = {
  'fair-worth': {
    fair: true,
    queues: true,
    refusesEarly: true,
    displaces: true,
    bucketOf: densityBucket,
    before: byDeadline,
  },
  'fair-deadline': {
    fair: true,
    queues: true,
    refusesEarly: true,
    displaces: true,
    bucketOf: singleBucket,
    before: byDeadline,
  },
  'shared-worth': {
    fair: false,
    queues: true,
    refusesEarly: true,
    displaces: true,
    bucketOf: densityBucket,
    before: byDeadline,
  },
  'first-come': {
    fair: false,
    queues: true,
    refusesEarly: false,
    displaces: false,
    bucketOf: singleBucket,
    before: byArrival,
  },
  'limit-only': {
    fair: false,
    queues: false,
    refusesEarly: false,
    displaces: false,
    bucketOf: singleBucket,
    before: byArrival,
  },
};

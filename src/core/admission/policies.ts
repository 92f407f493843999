/**
 * The policies of admission, beside their plain baselines. Each says how requests are ordered, what
 * is refused ahead of time, and whether organisations have shares.
 */

import type { AdmissionPolicyName, AdmissionRequest, Entry } from './types';

/** Buckets per doubling of worth density. */
const BUCKETS_PER_OCTAVE = 2;
/** Buckets of an organisation's queue; the middle one is a density of 1 per second. */
export const BUCKET_COUNT = 64;

export interface AdmissionPolicy {
  /** Whether organisations take turns by their shares; otherwise all are one. */
  readonly fair: boolean;
  /** Whether requests may wait for a slot. */
  readonly queues: boolean;
  /** Whether a request that cannot meet its deadline is refused on arrival or as soon as seen. */
  readonly refusesEarly: boolean;
  /** Whether a full queue gives up its least request for a better one. */
  readonly displaces: boolean;
  /** The bucket of a request; lower ones go first. */
  bucketOf(req: AdmissionRequest): number;
  /** Order within a bucket. */
  before(a: Entry, b: Entry): boolean;
}

/** Worth a second in a slot, on a logarithmic scale; the densest requests get bucket 0. */
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

const ONE_BUCKET = () => 0;

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
    bucketOf: ONE_BUCKET,
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
    bucketOf: ONE_BUCKET,
    before: byArrival,
  },
  'limit-only': {
    fair: false,
    queues: false,
    refusesEarly: false,
    displaces: false,
    bucketOf: ONE_BUCKET,
    before: byArrival,
  },
};

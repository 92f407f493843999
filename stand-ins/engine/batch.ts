/** Continuous batching: each step gives every running job one token. */

import { sleep, thawed } from '../shared/gate';
import type { GateFaults } from '../shared/gate';

/** One request in the batch. */
export interface Job {
  /** Higher runs first. */
  readonly priority: number;
  /** Not begun after this, milliseconds since the Unix epoch. */
  readonly deadline: number;
  begin(): void;
  /** Advances by one token; `wait` when its reader is behind. */
  step(): 'more' | 'wait' | 'end';
  /** Never begun: the deadline passed in the queue. */
  expire(): void;
  /** The group broke. */
  tear(): void;
}

export interface BatchOptions {
  readonly maxBatch: number;
  readonly maxQueue: number;
  /** Time of a step, milliseconds; read before each. */
  readonly tokenMs: () => number;
  readonly faults: GateFaults;
}

export interface Batch {
  /** False when the queue is full. */
  submit(job: Job): boolean;
  /** Forgets a job whose caller went away. */
  cancel(job: Job): void;
  tearAll(): void;
  running(): number;
  queued(): number;
}

function pause(ms: number): Promise<void> {
  if (ms > 0) return sleep(ms);
  return new Promise((resolve) => setImmediate(resolve));
}

export function createBatch({ maxBatch, maxQueue, tokenMs, faults }: BatchOptions): Batch {
  const active = new Set<Job>();
  let queue: Job[] = [];
  let looping = false;

  const admit = (): void => {
    while (active.size < maxBatch) {
      const job = queue.shift();
      if (job === undefined) return;
      if (job.deadline < Date.now()) {
        job.expire();
        continue;
      }
      active.add(job);
      job.begin();
    }
  };

  const loop = async (): Promise<void> => {
    looping = true;
    while (active.size + queue.length > 0) {
      await thawed(faults);
      admit();
      for (const job of [...active]) {
        if (active.has(job) && job.step() === 'end') active.delete(job);
      }
      await pause(tokenMs());
    }
    looping = false;
  };

  return {
    submit: (job) => {
      if (queue.length >= maxQueue && active.size >= maxBatch) return false;
      const at = queue.findIndex(({ priority }) => priority < job.priority);
      queue.splice(at === -1 ? queue.length : at, 0, job);
      if (!looping) void loop();
      return true;
    },
    cancel: (job) => {
      active.delete(job);
      queue = queue.filter((other) => other !== job);
    },
    tearAll: () => {
      const all = [...active, ...queue];
      active.clear();
      queue = [];
      for (const job of all) job.tear();
    },
    running: () => active.size,
    queued: () => queue.length,
  };
}

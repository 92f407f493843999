/** Continuous batching: each step generates one token for every running job. */

import { sleep, thawed } from '../shared/gate';
import type { GateFaults } from '../shared/gate';

/** One request in the batch. */
export interface Job {
  /** Higher runs first. */
  readonly priority: number;
  /** Expires if not started by then, milliseconds since the Unix epoch. */
  readonly deadline: number;
  /** Called when the job is admitted to the batch. */
  begin(): void;
  /** Generates one token; `wait` where the client reads too slowly. */
  step(): 'more' | 'wait' | 'end';
  /** Called instead of `begin` where the deadline passed in the queue. */
  expire(): void;
  /** Aborts the job: its group broke. */
  abort(): void;
}

export interface BatchOptions {
  readonly maxBatch: number;
  readonly maxQueue: number;
  /** Duration of a step, milliseconds; read after each step. */
  readonly tokenMs: () => number;
  readonly faults: GateFaults;
}

export interface Batch {
  /** False when the queue is full. */
  submit(job: Job): boolean;
  /** Removes a job whose client disconnected. */
  cancel(job: Job): void;
  /** Aborts all running and queued jobs. */
  abortAll(): void;
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

  const admitQueued = (): void => {
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
      admitQueued();
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
    abortAll: () => {
      const all = [...active, ...queue];
      active.clear();
      queue = [];
      for (const job of all) job.abort();
    },
    running: () => active.size,
    queued: () => queue.length,
  };
}

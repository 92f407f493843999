/** History of the load of a member, so that it can be reported with a lag. */

export interface Load {
  readonly inFlight: number;
  readonly queued: number;
}

interface Sample extends Load {
  readonly at: number;
}

const MAX_SAMPLES = 512;

export interface LaggingLoad {
  /** Records the current load. */
  sample(load: Load): void;
  /** The load as of `instant`. */
  at(instant: number): Load;
}

export function createLaggingLoad(): LaggingLoad {
  let samples: Sample[] = [];
  return {
    sample: ({ inFlight, queued }) => {
      samples.push({ inFlight, queued, at: Date.now() });
      if (samples.length > MAX_SAMPLES) samples = samples.slice(-MAX_SAMPLES / 2);
    },
    at: (instant) => samples.findLast(({ at }) => at <= instant) ?? { inFlight: 0, queued: 0 },
  };
}

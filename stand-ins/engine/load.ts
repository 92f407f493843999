/** The load that a member reports, as it was some time ago. */

export interface Load {
  readonly inFlight: number;
  readonly queued: number;
}

interface Sample extends Load {
  readonly at: number;
}

const SAMPLES_KEPT = 512;

export interface LaggingLoad {
  /** Notes the load of this moment. */
  sample(load: Load): void;
  /** The load as of `instant`. */
  at(instant: number): Load;
}

export function createLaggingLoad(): LaggingLoad {
  let samples: Sample[] = [];
  return {
    sample: ({ inFlight, queued }) => {
      samples.push({ inFlight, queued, at: Date.now() });
      if (samples.length > SAMPLES_KEPT) samples = samples.slice(-SAMPLES_KEPT / 2);
    },
    at: (instant) => samples.findLast(({ at }) => at <= instant) ?? { inFlight: 0, queued: 0 },
  };
}

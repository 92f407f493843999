/** Error codes, and the error class that all parts use. */

/** HTTP status of each code, as a caller or operator sees it. */
export const ERROR_STATUS = {
  'bad-request': 400,
  unauthorized: 401,
  forbidden: 403,
  'not-found': 404,
  'model-not-found': 404,
  'method-not-allowed': 405,
  conflict: 409,
  'in-progress': 409,
  'body-too-large': 413,
  'key-reused': 422,
  quarantined: 422,
  'precondition-required': 428,
  'too-many-requests': 429,
  'headers-too-large': 431,
  internal: 500,
  'bad-answer': 502,
  'backend-lost': 502,
  'backend-refused': 502,
  overloaded: 503,
  unavailable: 503,
  draining: 503,
  'no-group': 503,
  'store-unavailable': 503,
  'store-unknown': 503,
  'deadline-exceeded': 504,
  cancelled: 499,
  'history-gone': 410,
} as const;

export type ErrorCode = keyof typeof ERROR_STATUS;

/** Where an error occurred. */
export interface ErrorOrigin {
  /** The step that failed, for instance `claim`, `send` or `first-byte`. */
  readonly step: string;
  /** The remote side of that step: an address or an id. */
  readonly peer?: string;
  readonly cause?: unknown;
}

/** An error with its code, and the step and peer at which it occurred. */
export class StepError extends Error {
  readonly code: ErrorCode;
  readonly step: string;
  readonly peer: string | undefined;

  constructor(code: ErrorCode, message: string, origin: ErrorOrigin) {
    super(message, { cause: origin.cause });
    this.name = 'StepError';
    this.code = code;
    this.step = origin.step;
    this.peer = origin.peer;
  }
}

/** Creates a `StepError`. Use this instead of the constructor. */
export function fail(code: ErrorCode, message: string, origin: ErrorOrigin): StepError {
  return new StepError(code, message, origin);
}

/** The HTTP status of an error code. */
export function statusOf(code: ErrorCode): number {
  return ERROR_STATUS[code];
}

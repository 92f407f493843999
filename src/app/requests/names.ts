/** Names of headers and metrics. */

/** Header names, in lower case as Node reports them. */
export const HEADER = {
  attempt: 'nutmegstack-attempt',
  cacheSalt: 'nutmegstack-cache-salt',
  cachedTokens: 'nutmegstack-cached-tokens',
  deadline: 'nutmegstack-deadline',
  epoch: 'nutmegstack-epoch',
  group: 'nutmegstack-group',
  idempotencyKey: 'idempotency-key',
  load: 'nutmegstack-load',
  organisation: 'nutmegstack-organisation',
  outcome: 'nutmegstack-outcome',
  priority: 'nutmegstack-priority',
  refused: 'nutmegstack-refused',
  repeatable: 'nutmegstack-repeatable',
  requestId: 'nutmegstack-request-id',
  retryAfter: 'retry-after',
  traceparent: 'traceparent',
} as const;

/**
 * Prefix of the system's own headers. None of them is forwarded between caller and backend server.
 */
export const OWN_HEADER_PREFIX = 'nutmegstack-';

/** Metric names. */
export const METRIC = {
  requests: 'nutmegstack_requests_total',
  attempts: 'nutmegstack_attempts_total',
  retries: 'nutmegstack_retries_total',
  inFlight: 'nutmegstack_requests_in_flight',
  firstToken: 'nutmegstack_first_token_ms',
  betweenTokens: 'nutmegstack_between_tokens_ms',
  queueing: 'nutmegstack_queueing_ms',
  duration: 'nutmegstack_request_ms',
  claims: 'nutmegstack_claims_total',
  claimCommit: 'nutmegstack_claim_commit_ms',
  strikes: 'nutmegstack_strikes_total',
  quarantined: 'nutmegstack_quarantined_total',
} as const;

/** Content type of a stream of server-sent events. */
export const EVENT_STREAM = 'text/event-stream';
